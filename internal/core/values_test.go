package core

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// valued is a core of one controller whose store keeps values of so many bytes, and a
// job with a slice in its only part.
func valued(bytes, tasks int) (*Core, *slice) {
	c := New(Config{Label: "n", Zones: []string{"a", "b", "c"}, ValueBytes: bytes})
	j := c.newJob("job-1", Spec{Class: "work", Team: "red", Tasks: tasks, Need: Amount{Cores: 2}}, 7)
	j.split = map[string]ranges{"a": {{0, tasks}}}
	return c, &slice{job: j, waiting: ranges{{0, tasks}}, tasks: map[int]*task{}}
}

func TestASliceNeverOutgrowsItsValueWhateverEndsWhere(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		c, s := valued(1<<10+r.IntN(5<<10), 1+r.IntN(1000))
		perHost, hosts, most := 1+r.IntN(12), 0, 0
		for range 20 {
			l := c.ledgerOf(s)
			n := min(l.most(perHost, "vm-000000"), s.waiting.count())
			for k, i := range s.waiting.first(n) {
				if r.IntN(3) > 0 { // machines hold fewer than was reckoned
					hosts++
				}
				h := &host{name: fmt.Sprintf("vm-%06d", hosts+k/perHost)}
				if !l.take(h.name) {
					break
				}
				s.next++
				s.waiting.remove(i)
				s.tasks[i] = &task{id: TaskID{"job-1", i}, slice: s, host: h, attempt: s.next}
			}
			hosts += 1 + n/perHost
			most = max(most, len(s.tasks))
			for _, i := range sorted(s.tasks) {
				switch r.IntN(6) {
				case 0:
					s.done.add(i)
					delete(s.tasks, i)
				case 1, 2:
					s.waiting.add(i)
					delete(s.tasks, i)
				}
				if r.IntN(8) == 0 {
					require.LessOrEqual(t, len(c.encodeSlice(s.valueOf(s.job, 1<<50))), c.cfg.ValueBytes, "seed %d", seed)
				}
			}
		}
		if c.cfg.ValueBytes >= 4<<10 {
			assert.GreaterOrEqual(t, most, min(s.job.spec.Tasks, c.cfg.ValueBytes/bytesListed), "no fewer than were listed, seed %d", seed)
		}
	}
}

func TestPlacedTasksComeBackFromEitherForm(t *testing.T) {
	want := placedTasks{{0, "vm-1", 5}, {1, "vm-1", 6}, {2, "vm-2", 7}, {3, "vm-2", 7}, {9, "vm-1", 2}}
	list, err := json.Marshal([]placed(want))
	require.NoError(t, err)
	groups, err := json.Marshal(want.grouped())
	require.NoError(t, err)
	assert.Equal(t, `{"vm-1":[[0,2,5],[9,1,2]],"vm-2":[[2,1,7],[3,1,7]]}`, string(groups))
	for _, b := range [][]byte{list, groups} {
		var got placedTasks
		require.NoError(t, json.Unmarshal(b, &got))
		assert.Equal(t, want, got)
	}
	assert.Error(t, json.Unmarshal(groups, &[]placed{}), "who reads lists only refuses")
}
