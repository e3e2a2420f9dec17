package fake

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// replicas is a service of n of them, spread over zones.
func replicas(id string, n int) model.JobSpec {
	s := spec(id, "red", n, 2)
	s.Service, s.SpreadZones, s.Class, s.EstimateSeconds = true, true, "live", 0
	return s
}

// queueOf is the row of the class that a controller shows with the longest wait.
func queueOf(node *Node, class string) core.Queue {
	for _, q := range node.Core.Status().Queues {
		if q.Class == class {
			return q
		}
	}
	return core.Queue{}
}

// serviceOf is a controller's row of a service.
func serviceOf(node *Node, id string) core.ServiceStatus {
	for _, s := range node.Core.Status().Services {
		if s.Job == id {
			return s
		}
	}
	return core.ServiceStatus{}
}

// because says whether a controller gives the reason for a service's missing replicas.
func because(s core.ServiceStatus, why core.Reason) bool {
	for _, w := range s.Reasons {
		if w.Reason == why {
			return true
		}
	}
	return false
}

func TestEveryControllerSaysWhichReplicasOfAServiceAreUp(t *testing.T) {
	w := day(t, 8301)
	service := w.Submit(replicas("job-1", 6), 0)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 6)))
	w.Run(4 * time.Second)
	zones := map[string]bool{}
	for k := range w.On("job-1") {
		zones[k.zone] = true
	}
	require.Greater(t, len(zones), 1, "it has replicas in parts of several owners")
	for _, node := range w.Nodes {
		s := serviceOf(node, "job-1")
		assert.Equal(t, core.ServiceStatus{Job: "job-1", Class: "live", Team: "red", Wanted: 6, TaskCounts: core.TaskCounts{Running: 6}}, s, node.Name)
	}
	replicas := 0
	for _, node := range w.Nodes {
		for _, q := range node.Core.Gauges().Replicas {
			replicas += q.Running
		}
	}
	assert.Equal(t, 6, replicas, "summed over controllers, gauges count each once")
	w.Cloud.Room = map[string]int{} // nothing more to be had
	worker := anyOn(w, "job-1")
	for other := range w.Workers { // and no room elsewhere
		if o := w.Workers[other]; !o.gone && o != worker && o.zone == worker.zone && w.On("job-1")[o] == 0 {
			o.Die()
		}
	}
	lost := w.On("job-1")[worker]
	worker.Die()
	seen := map[string]bool{}
	require.True(t, w.Until(60*time.Second, func() bool {
		for _, node := range w.Nodes {
			s := serviceOf(node, "job-1")
			if s.Running == 6-lost && s.Running+s.Starting+s.Fetching+s.Waiting+s.Unaccounted == 6 && s.MissingSeconds > 0 && len(s.Reasons) > 0 {
				seen[node.Name] = true
			}
		}
		return len(seen) == len(w.Nodes)
	}), "all of them show %d lost: %v", lost, seen)
	w.Cancel(service)
	ends(t, w, service, 30*time.Second)
	w.Run(2 * time.Second)
	for _, n := range w.Nodes {
		assert.Empty(t, n.Core.Status().Services)
	}
}

func TestAQueueThatIsStuckNamesWhatBindsItAtEveryController(t *testing.T) {
	nothing := func(w *World) { w.Cloud.Room = map[string]int{} }
	for _, c := range []struct {
		why     core.Reason
		trouble func(w *World, s *model.JobSpec)
		atAll   bool // at every controller, not only at one
	}{
		{core.ReasonAtLimit, func(_ *World, s *model.JobSpec) { s.Tasks, s.Zone = 30, "a" }, true},
		{core.ReasonNoCapacity, func(w *World, _ *model.JobSpec) { nothing(w) }, true},
		{core.ReasonBooting, func(w *World, _ *model.JobSpec) { w.Cloud.BootS = func(string) float64 { return 20 } }, true},
		{core.ReasonImageFetch, func(_ *World, s *model.JobSpec) { s.ImageGB = 20 }, true},
		{core.ReasonHeldBack, func(w *World, s *model.JobSpec) {
			nothing(w)
			s.Team, s.Priority = "guest", 3
		}, true},
		{core.ReasonStoreUnavailable, func(w *World, _ *model.JobSpec) {
			nothing(w)
			w.After(10*time.Second, func() { w.Store.Outage(20 * time.Second) })
		}, true},
		{core.ReasonSuspectJob, func(_ *World, _ *model.JobSpec) {}, false},
	} {
		t.Run(c.why.Name(), func(t *testing.T) {
			w := New(8302, guests(Settings()))
			t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
			w.Run(3 * time.Second)
			s := spec("job-1", "red", 6, 2)
			c.trouble(w, &s)
			job := w.Submit(s, 60*time.Second)
			job.Broken = c.why == core.ReasonSuspectJob
			told := map[string]core.Queue{}
			w.Until(90*time.Second, func() bool {
				for _, node := range w.Nodes {
					if q := queueOf(node, "work"); q.Reason == c.why && q.WaitSeconds > 2 {
						told[node.Name] = q
					}
				}
				return len(told) == len(w.Nodes)
			})
			require.NotEmpty(t, told)
			assert.True(t, !c.atAll || len(told) == len(w.Nodes), "told by %v", told)
			for _, q := range told {
				assert.Equal(t, "job-1", q.Job)
				assert.Equal(t, s.Team, q.Team)
				assert.Positive(t, q.Waiting+q.Fetching)
			}
		})
	}
}

func TestReplicasOfAPartThatNobodySpeaksForAreUnknown(t *testing.T) {
	w := day(t, 8303)
	w.Submit(replicas("job-1", 6), 0)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 6)))
	w.Run(4 * time.Second)
	w.Nodes[0].Crash()
	w.Nodes[1].Crash()
	last := w.Nodes[2]
	require.True(t, w.Until(12*time.Second, func() bool {
		s := serviceOf(last, "job-1")
		return s.Unaccounted > 0 && s.Running+s.Unaccounted == 6 && (because(s, core.ReasonOwnerSilent) || because(s, core.ReasonShardUnowned) || because(s, core.ReasonShardLoading))
	}), "%+v", serviceOf(last, "job-1"))
	require.True(t, w.Until(40*time.Second, func() bool { return serviceOf(last, "job-1").Running == 6 }), "and are known again: %+v", serviceOf(last, "job-1"))
}

func TestLookingChangesNothing(t *testing.T) {
	// Operators look in every moment of a change of hands. What a look asked of the
	// outside would never be carried out, and the answer be waited for for ever.
	w := day(t, 8304)
	var jobs []*Job
	for i := range 6 { // more than the limits allow, in every zone
		s := spec(fmt.Sprintf("job-%d", i), []string{"red", "blue"}[i%2], 12, 2)
		s.Zone = w.Cfg.Zones[i/2]
		jobs = append(jobs, w.Submit(s, 10*time.Second))
	}
	w.Run(12 * time.Second)
	w.Nodes[0].Restart(30 * time.Second)
	looks, changing := 0, 0
	for end := w.Now + 15*time.Second; w.Now < end; w.Run(time.Millisecond) {
		for _, node := range w.Nodes[1:] {
			for _, p := range node.Core.Status().Shards {
				if p.OwnedHere && !p.Loaded {
					changing++
				}
			}
			for _, j := range jobs {
				node.Core.Explain(j.Spec.ID)
			}
			looks++
		}
	}
	assert.Positive(t, changing, "the part changed hands under their eyes")
	assert.Greater(t, looks, 20000)
	for _, j := range jobs {
		ends(t, w, j, 3*time.Minute)
	}
}

func TestWordOfReplicasAndQueuesKeepsGossipLight(t *testing.T) {
	size := func(g *core.Gossip) int {
		var b bytes.Buffer
		require.NoError(t, gob.NewEncoder(&b).Encode(core.Message{Gossip: g}))
		return b.Len()
	}
	plain, full := core.ShardView{Zone: "a"}, core.ShardView{Zone: "a"}
	for i := range 400 {
		s := core.JobCounts{ID: fmt.Sprintf("job-%06d", i), Running: 3}
		plain.Jobs = append(plain.Jobs, s)
		if i < 40 { // one service in ten lacks replicas
			s.Waiting, s.Fetching, s.MissingSeconds, s.Reason = 1, 1, 40, core.ReasonImageFetch
		}
		full.Jobs = append(full.Jobs, s)
	}
	for i := range 16 {
		full.Queues = append(full.Queues, core.Queue{Shard: "a", Class: "work-class", Team: fmt.Sprintf("team-%d", i),
			TaskCounts: core.TaskCounts{Running: 900, Fetching: 30, Waiting: 300}, WaitSeconds: 120, Job: "job-000001", Reason: core.ReasonBooting})
	}
	before, after := size(&core.Gossip{Shards: []core.ShardView{plain}}), size(&core.Gossip{Shards: []core.ShardView{full}})
	t.Logf("%d bytes, %d with word of replicas and queues", before, after)
	assert.Less(t, after-before, 3000)
}

func TestWorkOfATeamThatTheSettingsNoLongerNameIsShown(t *testing.T) {
	w := day(t, 8305)
	w.Cloud.Room = map[string]int{}
	s := spec("job-1", "blue", 4, 2)
	s.Zone = "a"
	job := w.Submit(s, 5*time.Second)
	require.True(t, w.Until(10*time.Second, func() bool { return job.Accepted }))
	teams := w.Cfg.Teams
	w.Cfg.Teams = teams[:1]
	for _, n := range w.Nodes {
		n.Restart(time.Second)
	}
	require.True(t, w.Until(30*time.Second, func() bool {
		for _, node := range w.Nodes {
			if q := queueOf(node, "work"); q.Reason != core.ReasonTeamUnknown || q.Team != "blue" {
				return false
			}
		}
		return true
	}))
	e, ok := w.Nodes[0].Core.Explain("job-1")
	require.True(t, ok)
	assert.Equal(t, core.ReasonTeamUnknown, e.Shards[0].Reason)
	w.Cfg.Teams, w.Cloud.Room = teams, map[string]int{roomKey("large", "a", true): 2}
	for _, n := range w.Nodes {
		n.Restart(time.Second)
	}
	ends(t, w, job, 2*time.Minute)
}
