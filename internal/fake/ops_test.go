package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// guests adds a team that has neither a guarantee nor a limit.
func guests(cfg core.Config) core.Config {
	cfg.Teams = append(cfg.Teams, core.Team{Name: "guest"})
	return cfg
}

func TestAGuestTeamWithoutGuaranteeAndLimitIsServed(t *testing.T) {
	w := New(61, guests(Settings()))
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	w.Run(3 * time.Second)
	// An array larger than any team's limit at once, and many single tasks.
	large := spec("job-1", "guest", 120, 2)
	large.Class, large.Priority = "scan", 3
	jobs := []*Job{w.Submit(large, 6*time.Second)}
	for i := range 60 {
		s := spec(fmt.Sprintf("job-%d", 100+i), "guest", 1, 0.25)
		s.Class, s.Priority = "check", 3
		jobs = append(jobs, w.Submit(s, 10*time.Second))
	}
	own := w.Submit(spec("job-2", "red", 6, 2), 8*time.Second)
	ends(t, w, own, 90*time.Second)
	for _, j := range jobs {
		ends(t, w, j, 5*time.Minute)
		assert.Equal(t, model.JobDone, j.Told)
	}
	w.Referee.Served()
	require.True(t, w.Until(3*time.Minute, allGone(w)), "machines go back")
	for _, n := range w.Nodes {
		assert.Empty(t, n.Core.DescribePlacements(), "nothing is held for them afterwards")
	}
}

// broken submits a job with a mistake: it fails on every machine.
func (w *World) broken(s model.JobSpec) *Job {
	job := w.Submit(s, time.Second)
	job.Broken = true
	return job
}

// faulty counts the machines that controllers hold faulty.
func faulty(w *World) int {
	n := 0
	for _, node := range w.Nodes {
		for _, p := range node.Core.Status().Shards {
			for _, h := range p.Hosts {
				if p.OwnedHere && h.State == "faulty" {
					n += h.Count
				}
			}
		}
	}
	return n
}

// suspectFailures says whether some controller has the job in doubt.
func suspectFailures(w *World, id string) bool {
	for _, node := range w.Nodes {
		for _, d := range node.Core.Status().SuspectJobs {
			if d.Job == id && len(d.Hosts) > 0 && d.Failures > 0 {
				return true
			}
		}
	}
	return false
}

func TestAJobWithAMistakeBlamesNoMachine(t *testing.T) {
	w := day(t, 62)
	warm := w.Submit(spec("job-1", "red", 10, 2), 20*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 10)))
	bad := spec("job-2", "red", 30, 2)
	job := w.broken(bad)
	blamed := 0
	var look func()
	look = func() {
		blamed = max(blamed, faulty(w))
		w.After(100*time.Millisecond, look)
	}
	look()
	ends(t, w, warm, 60*time.Second)
	require.True(t, w.Until(20*time.Second, func() bool { return suspectFailures(w, "job-2") }), "operators see it")
	w.Run(10 * time.Second)
	machines, wave := len(w.Workers), job.Starts
	// Others' work is not kept waiting by it, and it calls for no machines.
	for i := range 5 {
		next := w.Submit(spec(fmt.Sprintf("job-%d", 10+i), "red", 4, 2), 5*time.Second)
		ends(t, w, next, 25*time.Second)
	}
	assert.LessOrEqual(t, len(w.Workers), machines+2)
	assert.Zero(t, blamed, "no machine is held faulty")
	w.Run(60 * time.Second)
	assert.LessOrEqual(t, job.Starts-wave, 3*20, "one task at a time in each part, with pauses")
	assert.Greater(t, job.Starts, wave, "but it is tried")
	assert.False(t, job.Over(), "and stays known")
	w.Cancel(job)
	ends(t, w, job, 20*time.Second)
	assert.Equal(t, model.JobCancelled, job.Told)
}

func TestAFaultyMachineGoesAndTheJobsThatMetItRunInFull(t *testing.T) {
	w := oneController(t, 63, nil)
	first := w.Submit(spec("job-1", "red", 8, 4), 20*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 8)))
	faulty := map[*Worker]bool{}
	for worker := range w.On("job-1") { // half of the machines are bad, more than a job must meet to be doubted
		if len(faulty) < 2 {
			worker.Faulty, faulty[worker] = true, true
		}
	}
	ends(t, w, first, 90*time.Second)
	var jobs []*Job
	for i := range 6 {
		jobs = append(jobs, w.Submit(spec(fmt.Sprintf("job-%d", 2+i), "red", 6, 2), 5*time.Second))
		w.Run(4 * time.Second)
	}
	for _, j := range jobs {
		ends(t, w, j, 60*time.Second)
	}
	for k := range faulty {
		assert.True(t, w.Until(time.Minute, func() bool { return k.deleted }), "it is returned")
	}
}

func TestANewOwnerDoesNotStartAllOfADoubtfulJobAgain(t *testing.T) {
	w := day(t, 64)
	warm := w.Submit(spec("job-1", "red", 10, 2), 25*time.Second)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 10)))
	job := w.broken(spec("job-2", "red", 24, 2))
	ends(t, w, warm, 60*time.Second)
	require.True(t, w.Until(20*time.Second, func() bool { return suspectFailures(w, "job-2") }))
	w.Run(15 * time.Second)
	for _, n := range w.Nodes {
		n.Restart(time.Second)
	}
	before := job.Starts
	w.Run(15 * time.Second)
	assert.LessOrEqual(t, job.Starts-before, 3*6)
	job.Broken = false // its image was repaired, say
	ends(t, w, job, 2*time.Minute)
}

func TestWorkThatOnlyFillsRoomGivesWayAndKeepsItsProgress(t *testing.T) {
	w := oneController(t, 65, func(c *core.Config) {
		*c = guests(*c)
		c.StartObjectives = map[string]float64{"urgent": 2, "work": 20}
	})
	sweep := spec("job-1", "guest", 60, 4)
	sweep.Class, sweep.Priority, sweep.CheckpointSeconds, sweep.SaveSeconds, sweep.EstimateSeconds = "sweep", 3, 20, 2, 100
	backfill := w.Submit(sweep, 100*time.Second)
	// Every cheap machine that there is: 6 small and 6 large ones hold 30 tasks.
	require.True(t, w.Until(90*time.Second, started(w, "job-1", 30)))
	dear := 0
	for _, worker := range w.Workers {
		if !worker.spot {
			dear++
		}
	}
	assert.Zero(t, dear, "none but cheap machines are hired for it")
	room := w.Cloud.Room
	w.Cloud.Room = map[string]int{} // nothing more to be had
	w.Run(10 * time.Second)
	began := func(j *Job, n int) func() bool { return func() bool { return j.Starts >= n } }
	u := spec("job-2", "red", 8, 4)
	u.Class, u.Priority = "urgent", 1
	urgent := w.Submit(u, 10*time.Second)
	require.True(t, w.Until(2500*time.Millisecond, began(urgent, 8)), "room is made at once: %d", urgent.Starts)
	n := spec("job-3", "blue", 4, 4)
	n.Priority = 2
	normal := w.Submit(n, 10*time.Second)
	require.True(t, w.Until(12*time.Second, began(normal, 4)), "room is made once they have saved: %d", normal.Starts)
	saved := 0
	for _, p := range backfill.Saved {
		if p > 0 && p%(20*time.Second) != 0 {
			saved++
		}
	}
	assert.Positive(t, saved, "those had the time to save all")
	stopped := backfill.Starts
	ends(t, w, urgent, 60*time.Second)
	ends(t, w, normal, 60*time.Second)
	w.Cloud.Room = room
	ends(t, w, backfill, 9*time.Minute)
	// Twelve tasks needed room, so about as many had to go, each once.
	assert.LessOrEqual(t, backfill.Starts, 60+20)
	assert.GreaterOrEqual(t, stopped, 30)
}

func TestBackfillLeavesAloneWhatOthersWantAgain(t *testing.T) {
	w := oneController(t, 66, func(c *core.Config) { *c = guests(*c) })
	n := 10
	burst := func() *Job {
		n++
		s := spec(fmt.Sprintf("job-%d", n), "red", 8, 4)
		return w.Submit(s, 8*time.Second)
	}
	ends(t, w, burst(), 90*time.Second)
	sweep := spec("job-1", "guest", 100, 2) // saves nothing: whoever meets it must wait
	sweep.Class, sweep.Priority, sweep.EstimateSeconds = "sweep", 3, 60
	w.Submit(sweep, 60*time.Second)
	for range 5 {
		w.Run(10 * time.Second)
		job := burst()
		require.True(t, w.Until(3*time.Second, func() bool { return job.Starts == 8 }), "%d started", job.Starts)
		ends(t, w, job, 30*time.Second)
	}
	assert.Positive(t, w.Jobs["job-1"].Starts, "what is left they may have")
}

func TestAHugeArrayGoesToAllPartsAndBackfillIsNotMovedAbout(t *testing.T) {
	w := New(67, guests(Settings()))
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	w.Run(3 * time.Second)
	huge := spec("job-1", "guest", 25000, 0.5)
	huge.Class, huge.Priority, huge.EstimateSeconds = "scan", 3, 2
	job := w.Submit(huge, 2*time.Second)
	require.True(t, w.Until(10*time.Second, func() bool { return job.Accepted }))
	shards := 0
	for _, node := range w.Nodes {
		if e, ok := node.Core.Explain("job-1"); ok {
			for _, p := range e.Shards {
				if p.OwnedHere && p.Waiting > 5000 {
					shards++
				}
			}
		}
	}
	assert.Equal(t, 3, shards)
	own := w.Submit(spec("job-2", "red", 8, 2), 5*time.Second)
	ends(t, w, own, 60*time.Second)
	for i := range 40 { // many of them find no room
		s := spec(fmt.Sprintf("job-%d", 100+i), "guest", 1, 4)
		s.Class, s.Priority, s.EstimateSeconds = "check", 3, 100
		w.Submit(s, 100*time.Second)
	}
	w.Run(60 * time.Second)
	moves := uint64(0)
	for _, n := range w.Nodes {
		moves += n.Core.Stats().Rebalanced
	}
	assert.Less(t, moves, uint64(600), "tasks moved")
}

func TestAJobOfSeveralPartsIsDoneSoonThoughItsOwnersAlwaysHaveSomethingToRecord(t *testing.T) {
	w := day(t, 68)
	var warm []*Job
	for _, z := range w.Cfg.Zones {
		s := spec("job-9"+z, "red", 4, 2)
		s.Zone = z
		warm = append(warm, w.Submit(s, 5*time.Second))
	}
	for _, j := range warm {
		ends(t, w, j, time.Minute)
	}
	// Transactions take as long as they do when the changes are short, and in every
	// part there is one under way at any time.
	w.Store.Slow = 300 * time.Millisecond
	n := 100
	var stream func()
	stream = func() {
		n++
		s := spec(fmt.Sprintf("job-%d", n), "red", 1, 0.25)
		s.Zone = w.Cfg.Zones[n%3]
		w.Submit(s, time.Second)
		w.After(80*time.Millisecond, stream)
	}
	stream()
	w.Run(2 * time.Second)
	var jobs []*Job
	for i := range 6 {
		s := spec(fmt.Sprintf("job-%d", 1+i), "blue", 2, 1)
		s.SpreadZones = true
		jobs = append(jobs, w.Submit(s, 5*time.Second))
	}
	for _, j := range jobs {
		ends(t, w, j, 25*time.Second)
	}
}

func TestAPartChangesHandsBeforeItsWorkersLeasesRunOut(t *testing.T) {
	for _, fault := range []string{"stands still", "without power"} {
		t.Run(fault, func(t *testing.T) {
			w := day(t, 69)
			s := spec("job-1", "red", 10, 2)
			s.Zone = "a"
			job := w.Submit(s, 70*time.Second)
			require.True(t, w.Until(60*time.Second, started(w, "job-1", 10)))
			w.Run(5 * time.Second)
			if fault == "stands still" {
				w.Nodes[0].Freeze(40 * time.Second)
			} else {
				node := w.Nodes[0]
				for name := range w.Workers {
					w.Cut(node.Name, name, 40*time.Second, false)
				}
				for _, o := range []string{"state", "cloud", "users", "node-1", "node-2"} {
					w.Cut(node.Name, o, 40*time.Second, false)
				}
			}
			ends(t, w, job, 3*time.Minute)
			assert.Equal(t, 10, job.Starts, "no task had to start again")
		})
	}
}

func TestAStormOfQuestionsWhileAControllerStandsStill(t *testing.T) {
	w := New(70, Settings())
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	w.Store.RPS = 30 // for all three controllers
	w.Run(3 * time.Second)
	jobs := crowd(t, w, 30, 3, 20*time.Second)
	ok, slow := 0, 0
	var storm func()
	end := w.Now + 40*time.Second
	storm = func() { // 300 questions a second
		if w.Now > end {
			return
		}
		for range 30 {
			id, asked := jobs[w.Rng.IntN(len(jobs))].Spec.ID, w.Now
			w.user(w.anyNode(), id, func(req uint64) core.Event { return core.JobQuery{RequestID: req, ID: id} }, func(status int) {
				switch {
				case status == 200:
					ok++
				case status == 503 && w.Now < asked+3*time.Second:
					// Told at once to come again.
				default:
					slow++
				}
			})
		}
		w.After(100*time.Millisecond, storm)
	}
	storm()
	w.Run(5 * time.Second)
	frozen := w.Nodes[1]
	frozen.Freeze(15 * time.Second)
	w.Run(20 * time.Second)
	next := w.Submit(spec("job-90", "red", 2, 2), 5*time.Second)
	ends(t, w, next, 40*time.Second) // submissions and starts have not drowned
	for _, j := range jobs {
		ends(t, w, j, 2*time.Minute)
	}
	assert.Greater(t, ok, 6000, "most are answered")
	assert.Less(t, slow, 2500, "only those who asked the one that stood still")
}

func TestAnOwnerThatLosesOnlyTheStoreDoesNotKeepItsPartFromTheOthers(t *testing.T) {
	w := day(t, 71)
	s := spec("job-1", "red", 4, 2)
	s.Zone = "a"
	warm := w.Submit(s, 60*time.Second)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 4)))
	w.Store.Refuse("node-0", 60*time.Second)
	w.Run(15 * time.Second)
	s.ID = "job-2"
	next := w.Submit(s, 5*time.Second)
	ends(t, w, next, 20*time.Second)
	ends(t, w, warm, 2*time.Minute)
	assert.Equal(t, 4, warm.Starts, "running work goes on")
}

func TestWordOfASliceThatIsNoMoreStartsNothing(t *testing.T) {
	w := day(t, 72)
	for _, z := range w.Cfg.Zones { // room in every zone
		s := spec("job-9"+z, "red", 4, 2)
		s.Zone = z
		ends(t, w, w.Submit(s, 5*time.Second), time.Minute)
	}
	job := w.Submit(spec("job-1", "red", 1, 2), 20*time.Second)
	require.True(t, w.Until(10*time.Second, started(w, "job-1", 1)))
	var other *Node
	for _, node := range w.Nodes {
		if node.zone != anyOn(w, "job-1").zone {
			other = node
		}
	}
	// What its owner was told of two moves into its part comes late, after the tasks
	// have gone elsewhere: first they wait there, then one is placed.
	for i, value := range []string{`{"w":[[0,1]],"n":2}`, `{"p":[{"i":0,"h":"vm-999999","a":3}],"n":3}`} {
		other.handle(core.PeerMessage{Message: core.Message{Epoch: 1,
			Assignments: []core.Item{{Key: "slice/" + other.zone + "/job-1", Value: []byte(value), Revision: uint64(1 + i)}}}})
		other.advance()
	}
	ends(t, w, job, time.Minute)
	assert.Equal(t, 1, job.Starts)
	assert.Empty(t, other.Core.DescribePlacements())
}
