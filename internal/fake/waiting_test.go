package fake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

//revive:disable-next-line:function-length one world goes through all cases, each from where the last one left it
func TestTheRefereeSeesWorkLeftWaitingAndStartsAfterACancellation(t *testing.T) {
	w := New(1, Settings())
	w.Nodes = nil // nobody does anything
	w.Cloud.Room = map[string]int{}
	w.Now = time.Second
	worker := newWorker(w, "vm-1", "large", "a", false)
	worker.started, worker.token = true, 1
	w.Workers[worker.name] = worker
	add := func(id string, tasks int, change func(*model.JobSpec)) *Job {
		s := spec(id, "red", tasks, 4)
		if change != nil {
			change(&s)
		}
		w.Jobs[id] = &Job{Spec: s, Accepted: true, Finished: map[int]bool{}}
		return w.Jobs[id]
	}
	after := func(d time.Duration) []string { // looks every second for so long
		for end := w.Now + d; w.Now < end; w.Now += time.Second {
			for _, j := range w.Jobs {
				j.Answered = w.Now
			}
			w.Referee.overdue()
		}
		got := w.Referee.Broken
		w.Referee.Broken = nil
		return got
	}
	cases := []struct {
		name   string
		change func(*model.JobSpec)
		meet   func(*Job)
		seen   bool
	}{
		{"room for it", nil, nil, true},
		{"another zone", func(s *model.JobSpec) { s.Zone = "b" }, nil, false},
		{"no cards there", func(s *model.JobSpec) { s.Need.GPUs = 1 }, nil, false},
		{"a gang too large", func(s *model.JobSpec) { s.Gang, s.Tasks = true, 5 }, nil, false},
		{"a gang that fits", func(s *model.JobSpec) { s.Gang, s.Tasks = true, 4 }, nil, true},
		{"cancelled", nil, func(j *Job) { j.CancelRequested = true }, false},
		{"over the limit", func(s *model.JobSpec) { s.Need.Cores = 16; s.Team = "blue" }, func(*Job) { w.Cfg.Teams[1].Limit.Cores = 15 }, false},
		{"cards over the limit", nil, func(j *Job) {
			w.Cloud.Types[1].Capacity.GPUs, j.Spec.Need.GPUs, w.Cfg.Teams[0].Limit.GPUs = 4, 2, 1
		}, false},
		{"cards within it", func(s *model.JobSpec) { s.Need.GPUs = 1 }, nil, true},
		{"taken away soon", nil, func(*Job) { worker.spotNotice = time.Hour }, false},
	}
	for _, c := range cases {
		job := add("job-1", 1, c.change)
		if c.meet != nil {
			c.meet(job)
		}
		assert.Empty(t, after(waitAtMost), c.name)
		if got := after(3 * time.Second); c.seen {
			require.Len(t, got, 1, c.name)
			assert.Contains(t, got[0], "left_waiting", c.name)
		} else {
			assert.Empty(t, got, c.name)
		}
	}
	worker.spotNotice = 0
	w.FaultsOverAt = w.Now + time.Minute
	add("job-1", 1, nil)
	assert.Empty(t, after(time.Minute+waitAtMost), "while there is trouble, and for a while after it")
	assert.NotEmpty(t, after(4*time.Second))

	delete(w.Jobs, "job-1")
	worker.gone = true // machines can be had, though
	w.Cloud.Room[roomKey("small", "b", true)] = 1
	add("job-2", 2, func(s *model.JobSpec) { s.Service = true })
	assert.Empty(t, after(replicaBy))
	missing := after(3 * time.Second)
	require.Len(t, missing, 1)
	assert.Contains(t, missing[0], "replicas_missing: job-2 lacks 2")

	worker.gone = false
	job, at := add("job-3", 9, nil), func(i int) model.TaskID { return model.TaskID{Job: "job-3", Index: i} }
	job.Cancelled = w.Now
	w.Now += cancelledStart
	w.Referee.on(at(0), worker)
	require.Empty(t, w.Referee.Broken, "a command that was under way")
	w.Now++
	w.Referee.on(at(1), worker)
	require.Len(t, w.Referee.Broken, 1)
	assert.Contains(t, w.Referee.Broken[0], "started_cancelled")
	assert.Equal(t, 2, w.Referee.AfterCancel)
	w.Referee.Broken, job.Cancelled, w.FaultsOverAt = nil, w.Now, w.Now
	w.Now += cancelledStart + time.Second
	w.Referee.on(at(2), worker)
	assert.Empty(t, w.Referee.Broken, "in trouble only cancel_s counts")

	card := spec("job-4", "red", 3, 1)
	card.Need.GPUs = 1
	w.Jobs["job-4"] = &Job{Spec: card, Accepted: true}
	w.Cfg.Teams[0].Limit.GPUs = 2
	for i := range 2 {
		w.Referee.on(model.TaskID{Job: "job-4", Index: i}, worker)
	}
	require.Empty(t, w.Referee.Broken)
	w.Referee.on(model.TaskID{Job: "job-4", Index: 2}, worker)
	require.Len(t, w.Referee.Broken, 1)
	assert.Contains(t, w.Referee.Broken[0], "quota: red uses")
	w.Referee.Broken = nil
	w.Cloud.Types[1].Capacity.GPUs = 0
	w.Cfg.Teams[0].Limit.GPUs = 0
	w.Referee.on(model.TaskID{Job: "job-4", Index: 2}, worker)
	require.Len(t, w.Referee.Broken, 1)
	assert.Contains(t, w.Referee.Broken[0], "wrong_place", "no cards there")
}

func TestFetchesOfAMachineShareItsRateAndItsCacheIsLimited(t *testing.T) {
	w := New(1, Settings())
	for _, n := range w.Nodes {
		n.Crash()
	}
	w.Cloud.Types[1].CacheGB, w.Cloud.Types[1].FetchGBPerSecond = 3, 1
	worker := newWorker(w, "vm-1", "large", "a", false)
	w.Workers[worker.name] = worker
	launch := func(id, image string, gb float64) *running {
		s := spec(id, "red", 1, 1)
		s.Image, s.ImageGB = image, gb
		w.Jobs[id] = &Job{Spec: s, Run: time.Hour, Finished: map[int]bool{}, Saved: map[int]time.Duration{}}
		worker.launch(core.Command{Task: model.TaskID{Job: id}, Attempt: 1}, nil)
		return worker.tasks[model.TaskID{Job: id}]
	}
	one, two, same := launch("job-1", "x", 1), launch("job-2", "y", 2), launch("job-3", "x", 1)
	w.Run(1900 * time.Millisecond)
	assert.Equal(t, core.TaskFetching, one.state, "it has half the rate")
	w.Run(200 * time.Millisecond)
	assert.Equal(t, []core.TaskState{core.TaskRunning, core.TaskRunning, core.TaskFetching}, []core.TaskState{one.state, same.state, two.state}, "one fetch serves both")
	w.Run(time.Second)
	assert.Equal(t, core.TaskRunning, two.state, "alone it has all of it")
	worker.end(two, core.ExitStopped)
	third := launch("job-4", "z", 1.5)
	gone := launch("job-5", "never", 100)
	worker.end(gone, core.ExitStopped) // given up: it takes nothing of the rate any more
	w.Run(1600 * time.Millisecond)
	assert.Equal(t, core.TaskRunning, third.state)
	again := launch("job-6", "y", 2)
	w.Run(100 * time.Millisecond)
	assert.Equal(t, core.TaskFetching, again.state, "its image had to go")
	kept := launch("job-7", "x", 1)
	w.Run(time.Millisecond)
	assert.Equal(t, core.TaskRunning, kept.state, "what is in use stays")
}
