package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// timed makes a settled world whose workers keep other times.
func timed(t *testing.T, seed uint64, report, lease, cancel time.Duration) *World {
	cfg := Settings()
	cfg.HeartbeatInterval, cfg.WorkerLease, cfg.CancelWithin = report, lease, cancel
	w := New(seed, cfg)
	if testing.Verbose() {
		w.Log = t.Logf
	}
	w.Run(3 * time.Second)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	return w
}

// handedOver counts the parts that controllers gave up for not hearing their workers.
func handedOver(w *World) int {
	n := 0
	for _, node := range w.Nodes {
		for _, d := range node.Core.Status().Degraded {
			if d.Mode == "workers not heard; a part was handed over" {
				n++
			}
		}
	}
	return n
}

func TestWorkersAreAnsweredThoughACancellationEndsSoonAfterALease(t *testing.T) {
	// While a controller is down nobody vouches, and each rests on its own view of the
	// withdrawals, which then must be younger than 0.83 s.
	w := timed(t, 8401, 3*time.Second, 14*time.Second, 17*time.Second)
	job := w.Submit(spec("job-1", "red", 10, 2), 60*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 10)))
	w.Nodes[2].Restart(60 * time.Second)
	w.Run(10 * time.Second) // its part has changed hands
	silent := 0
	for i := range 450 { // quiet at first, then with word of a job now and then
		if i > 150 && i%23 == 0 {
			w.Submit(spec(fmt.Sprintf("job-%d", 100+i), "red", 1, 0.1), time.Second)
		}
		w.Run(100 * time.Millisecond)
		for _, node := range w.Nodes[:2] {
			for _, d := range node.Core.Status().Degraded {
				if d.Mode == "not answering workers: withdrawals might be missed" {
					silent++
				}
			}
		}
	}
	assert.Zero(t, silent, "moments in which a controller answers nobody")
	w.Cancel(job)
	ends(t, w, job, 20*time.Second)
}

func TestNothingIsStartedOnceNobodyIsAnswered(t *testing.T) {
	// A machine whose session begins has a whole lease before it; what is started there
	// must be gone when a withdrawal that was missed asks for it.
	w := timed(t, 8404, 3*time.Second, 14*time.Second, 18*time.Second)
	w.Isolate(w.Nodes[0], 20*time.Second, false)
	silent := 0
	for end := w.Now + 20*time.Second; w.Now < end; w.Run(100 * time.Millisecond) {
		modes := map[string]bool{}
		for _, d := range w.Nodes[0].Core.Status().Degraded {
			modes[d.Mode] = true
		}
		if modes["not answering workers: withdrawals might be missed"] {
			silent++
			assert.True(t, modes["starting nothing: withdrawals might be missed"])
		}
	}
	assert.Greater(t, silent, 100)
}

func TestAMachineThatReportsSeldomIsNotGivenBackForOneLostReport(t *testing.T) {
	w := timed(t, 8402, 8*time.Second, 38*time.Second, 58*time.Second)
	w.Cfg.HeartbeatInterval = 10 * time.Second // a quarter late, as they may be
	job := w.Submit(spec("job-1", "red", 8, 2), 120*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 8)))
	w.Run(12 * time.Second)
	for worker := range w.On("job-1") { // the next report of each is lost with its connection
		worker := worker
		var lose func()
		lose = func() {
			if w.Now < worker.lastSent+w.Cfg.HeartbeatInterval-300*time.Millisecond {
				w.After(100*time.Millisecond, lose)
				return
			}
			for _, n := range w.Nodes {
				w.Cut(n.Name, worker.name, 1500*time.Millisecond, false)
			}
		}
		lose()
	}
	longest := time.Duration(0)
	for end := w.Now + 40*time.Second; w.Now < end; w.Run(100 * time.Millisecond) {
		for k := range w.On("job-1") {
			longest = max(longest, w.Now-k.leaseFrom)
		}
	}
	assert.Greater(t, longest, 14*time.Second, "a report was lost")
	assert.Equal(t, 8, job.Starts, "no task had to start again")
	w.Cancel(job)
	ends(t, w, job, 20*time.Second)
}

func TestAPartOfFewMachinesThatReportSeldomStaysWithItsOwner(t *testing.T) {
	w := timed(t, 8403, 8*time.Second, 38*time.Second, 58*time.Second)
	w.Cfg.HeartbeatInterval = 10 * time.Second
	s := spec("job-1", "red", 3, 4)
	s.Zone = "a"
	s.Types = []string{"small"}
	job := w.Submit(s, 2*time.Minute)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 3)))
	for k := range w.On("job-1") {
		k.lastSent = w.Now // from now on they report together
	}
	handed, quiet, next := 0, 0, 0
	for end := w.Now + 90*time.Second; w.Now < end; w.Run(100 * time.Millisecond) {
		handed += handedOver(w)
		newest := time.Duration(0)
		for k := range w.On("job-1") {
			newest = max(newest, k.lastSent)
		}
		if w.Now > newest+8*time.Second {
			quiet++ // all of them at once
			if quiet%20 == 1 {
				// A machine that is new asks any controller.
				next++
				w.Nodes[1].handle(core.Heartbeat{Status: core.WorkerStatus{Host: "vm-9999", Address: "vm-9999", Type: "small", Zone: "a",
					Incarnation: 1, Seq: uint64(next), SpotNotice: -1}})
			}
		}
	}
	assert.Positive(t, quiet)
	assert.Zero(t, handed)
	assert.Equal(t, 3, job.Starts)
	w.Cancel(job)
	ends(t, w, job, 20*time.Second)
}

func TestALeaseThatIsLongEnoughOutlastsTheEndOfAController(t *testing.T) {
	// With less than check asks for, work starts again; with a round of all controllers
	// on top of it none does, reports being as late as they may be.
	for _, c := range []struct{ report, spare time.Duration }{
		{8 * time.Second, 9 * time.Second}, {5 * time.Second, 9 * time.Second}, {3 * time.Second, 9 * time.Second},
		{8 * time.Second, -time.Second}, {5 * time.Second, -time.Second}, {3 * time.Second, -time.Second},
	} {
		t.Run(fmt.Sprint(c.report, c.spare), func(t *testing.T) {
			tuning := Settings().Tuning
			lease := 20 * time.Second
			for range 10 { // the controllers' lease is a share of the workers'
				lease = tuning.FailoverTime(c.report, lease, false) + c.spare
			}
			w := timed(t, 8405, c.report, lease, lease+30*time.Second)
			s := spec("job-1", "red", 10, 2)
			s.Zone = "a"
			job := w.Submit(s, 3*time.Minute)
			require.True(t, w.Until(60*time.Second, started(w, "job-1", 10)))
			w.Run(2 * c.report)
			w.Cfg.HeartbeatInterval = c.report * 5 / 4
			w.Run(2 * c.report)
			// It ends right before some machine's report, and is silent rather than
			// refusing.
			worker := anyOn(w, "job-1")
			require.True(t, w.Until(2*w.Cfg.HeartbeatInterval, func() bool {
				return !worker.heartbeatPending && w.Now > worker.lastSent+w.Cfg.HeartbeatInterval-300*time.Millisecond
			}))
			for name := range w.Workers {
				w.Cut(w.Nodes[0].Name, name, 60*time.Second, false)
			}
			w.Nodes[0].Restart(60 * time.Second)
			w.Run(40 * time.Second)
			if c.spare > 0 {
				assert.Equal(t, 10, job.Starts, "no task had to start again")
			} else {
				assert.Greater(t, job.Starts, 10)
			}
			w.Cancel(job)
			ends(t, w, job, 30*time.Second)
		})
	}
}
