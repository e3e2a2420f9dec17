package fake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

func TestCapacityUnusableByUrgentWorkIsNotReservedForever(t *testing.T) {
	cfg := Settings()
	cfg.Teams[1] = core.Team{Name: "blue", Guarantee: model.Resources{Cores: 4}, Limit: model.Resources{Cores: 8}}
	w := New(71, cfg)
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	w.Run(3 * time.Second)
	bound := func(id, zone string, tasks, priority int, cores float64) *Job {
		s := spec(id, "blue", tasks, cores)
		s.Zone, s.Priority = zone, priority
		return w.Submit(s, 4*time.Minute)
	}
	bound("job-1", "c", 1, 1, 3)
	require.True(t, w.Until(40*time.Second, started(w, "job-1", 1)))
	large := bound("job-2", "b", 2, 1, 3) // both at a time would pass the team's limit
	require.True(t, w.Until(40*time.Second, started(w, "job-2", 1)))
	small := bound("job-3", "a", 1, 2, 0.5)
	assert.True(t, w.Until(90*time.Second, started(w, "job-3", 1)), "it takes what the other can't use")
	assert.False(t, started(w, "job-2", 2)() || large.Over(), "while the urgent one still waits for more")
	ends(t, w, small, 10*time.Minute)
	ends(t, w, large, 15*time.Minute)
}

func TestBackfillJobBesideReservedCapacityStartsSoon(t *testing.T) {
	w := oneController(t, 72, func(c *core.Config) { *c = guests(*c) })
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 0
	}
	w.Cloud.Room[roomKey("large", "a", false)] = 1
	busy := w.Submit(spec("job-1", "red", 3, 4), 10*time.Minute)
	require.True(t, w.Until(60*time.Second, started(w, "job-1", 3)))
	s := spec("job-2", "guest", 1, 4)
	s.Class, s.Priority = "visit", 3
	backfill := w.Submit(s, 5*time.Second)
	w.Run(20 * time.Second)
	require.Zero(t, backfill.Starts, "what is left of the machine is kept for others")
	ends(t, w, backfill, 90*time.Second)
	assert.False(t, busy.Over())
}

func TestTaskMovedByWriteWithLostAnswerIsNotForgotten(t *testing.T) {
	cfg := Settings()
	cfg.Zones = []string{"a", "b"}
	w := NewWith(73, cfg, "a") // one owner of both parts
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 0
	}
	w.Cloud.Room[roomKey("small", "a", true)], w.Cloud.Room[roomKey("small", "b", true)] = 1, 1
	w.Run(3 * time.Second)
	for _, zone := range cfg.Zones { // a machine in each
		s := spec("job-"+zone, "red", 1, 1)
		s.Zone = zone
		ends(t, w, w.Submit(s, time.Second), time.Minute)
	}
	s := spec("job-1", "red", 2, 3)
	s.Service, s.EstimateSeconds = true, 0
	service := w.Submit(s, time.Hour)
	require.True(t, w.Until(time.Minute, started(w, "job-1", 2)))
	lost := 0
	w.Store.Lose = func(_ string, txn core.Txn) (bool, time.Duration) {
		if changes(txn, "slice/a/job-1") && changes(txn, "slice/b/job-1") {
			lost++
		}
		return lost == 1 && changes(txn, "slice/a/job-1"), 0 // carried out all the same
	}
	for _, worker := range w.Alive() {
		if worker.zone == "b" {
			worker.Die()
			worker.deleted = true // the cloud has no other for it
		}
	}
	w.Cloud.Room[roomKey("small", "b", true)], w.Cloud.Room[roomKey("large", "a", true)] = 0, 1
	more := spec("job-2", "red", 1, 2) // has a machine with room for the replica hired
	more.Zone = "a"
	w.Submit(more, 5*time.Minute)
	require.True(t, w.Until(2*time.Minute, func() bool { return lost > 0 }), "the replica moves, and the answer to that is lost")
	assert.True(t, w.Until(time.Minute, started(w, "job-1", 2)), "its owner finds it all the same")
	w.Cancel(service)
	ends(t, w, service, time.Minute)
}
