package fake

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// tables counts the entries of all a controller remembers, by where they are: the maps
// and lists below it, however they are called. Final standings are not counted.
func tables(c *core.Core) map[string]int {
	out, seen := map[string]int{}, map[uintptr]bool{}
	var count func(v reflect.Value, path string)
	count = func(v reflect.Value, path string) {
		switch v.Kind() {
		case reflect.Pointer:
			if !v.IsNil() && !seen[v.Pointer()] {
				seen[v.Pointer()] = true
				count(v.Elem(), path)
			}
		case reflect.Interface:
			count(v.Elem(), path)
		case reflect.Struct:
			for i := range v.NumField() {
				if name := v.Type().Field(i).Name; name != "finished" && name != "cfg" && name != "rng" && name != "effects" {
					count(v.Field(i), path+"."+name)
				}
			}
		case reflect.Map:
			out[path] += v.Len()
			for it := v.MapRange(); it.Next(); {
				count(it.Value(), path)
			}
		case reflect.Slice:
			out[path] += v.Len()
			for i := range v.Len() {
				count(v.Index(i), path)
			}
		}
	}
	count(reflect.ValueOf(c), "")
	return out
}

func TestOneTaskJobsInAStreamAreTakenAnsweredAndForgottenButForTheirEnd(t *testing.T) {
	w := day(t, 170)
	w.Store.RPS = 150
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 6
	}
	ends(t, w, w.Submit(spec("job-0", "red", 1, 1), time.Second), time.Minute) // names are known
	require.True(t, w.Until(2*time.Minute, allGone(w)))
	w.Run(w.Cfg.CancelWithin + 20*time.Second)
	var before []map[string]int
	for _, n := range w.Nodes {
		before = append(before, tables(n.Core))
	}
	const each, minutes = 250 * time.Millisecond, 3
	var jobs []*Job
	most := map[string]int{} // of any table, by minute and in the first
	for i := range int(minutes * time.Minute / each) {
		s := spec(fmt.Sprintf("job-%d", 1000+i), []string{"red", "blue"}[i%2], 1, 1)
		s.Priority = i % 4
		job := w.Submit(s, time.Duration(2+i%5)*time.Second)
		jobs = append(jobs, job)
		if i%4 == 3 {
			w.After(time.Duration(i%11)*300*time.Millisecond, func() { w.Cancel(job) })
		}
		w.Run(each)
		for _, j := range jobs[max(0, i-60):] {
			require.True(t, j.Accepted || w.Now < j.Came+5*time.Second, "%s is taken soon", j.Spec.ID)
		}
		if i%40 == 39 {
			for _, node := range w.Nodes {
				for path, k := range tables(node.Core) {
					if w.Now < jobs[0].Came+70*time.Second {
						most[path] = max(most[path], k)
						continue
					}
					assert.LessOrEqual(t, k, 2*most[path]+50, "%s of %s grows", path, node.Name)
				}
			}
		}
	}
	ended := map[model.JobState]int{}
	for _, j := range jobs {
		ends(t, w, j, 2*time.Minute)
		ended[j.Told]++
	}
	assert.Greater(t, ended[model.JobCancelled], len(jobs)/6, "a quarter is cancelled, some too late")
	assert.Greater(t, ended[model.JobDone], len(jobs)/2)
	require.True(t, w.Until(3*time.Minute, allGone(w)))
	w.Run(w.Cfg.CancelWithin + 20*time.Second)
	for i, node := range w.Nodes {
		for path, k := range tables(node.Core) {
			assert.LessOrEqual(t, k, before[i][path]+20, "%s of %s after %d jobs", path, node.Name, len(jobs))
		}
	}
	for key := range w.Store.rows {
		assert.False(t, strings.HasPrefix(key, "slice/"), key)
	}
	for _, j := range jobs { // and each has its answer at every node, for ever
		w.Poll(j, 1)
		w.Run(50 * time.Millisecond)
	}
	assert.Equal(t, 2*len(w.Nodes)*len(jobs), w.Users.Polls)
}
