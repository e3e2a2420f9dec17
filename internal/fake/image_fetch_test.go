package fake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// Checks the image cache of a single worker without controllers: concurrent fetches share
// the fetch rate, attempts with the same image share a fetch, an aborted fetch uses nothing
// of the rate, and the cache evicts only images that no attempt uses.
func TestImageFetchesShareFetchRateAndCacheEvictsUnusedImages(t *testing.T) {
	sim := New(1, DefaultConfig())
	for _, node := range sim.Nodes {
		node.Crash()
	}
	sim.Cloud.MachineTypes[1].CacheGB, sim.Cloud.MachineTypes[1].FetchGBPerSecond = 3, 1
	worker := newWorker(sim, "vm-1", "large", "a", false)
	sim.Workers[worker.name] = worker
	launch := func(id, image string, imageGB float64) *taskAttempt {
		jobSpec := newJobSpec(id, "red", 1, 1)
		jobSpec.Image, jobSpec.ImageGB = image, imageGB
		sim.Jobs[id] = &Job{Spec: jobSpec, RunTime: time.Hour, CompletedTasks: map[int]bool{}, Checkpoints: map[int]time.Duration{}}
		worker.launchAttempt(core.Command{Task: model.TaskID{Job: id}, Attempt: 1})
		return worker.attempts[attemptKey{model.TaskID{Job: id}, 1}]
	}

	small, large, sameImage := launch("job-1", "x", 1), launch("job-2", "y", 2), launch("job-3", "x", 1)
	sim.Run(1900 * time.Millisecond)
	assert.Equal(t, core.TaskFetching, small.state, "two fetches get half of the rate each")
	sim.Run(200 * time.Millisecond)
	assert.Equal(t,
		[]core.TaskState{core.TaskRunning, core.TaskRunning, core.TaskFetching},
		[]core.TaskState{small.state, sameImage.state, large.state}, "one fetch serves both tasks of an image")
	sim.Run(time.Second)
	assert.Equal(t, core.TaskRunning, large.state, "the only fetch gets the whole rate")

	worker.endAttempt(large, core.ExitStopped)
	next := launch("job-4", "z", 1.5)
	aborted := launch("job-5", "never", 100)
	worker.endAttempt(aborted, core.ExitStopped)
	sim.Run(1600 * time.Millisecond)
	assert.Equal(t, core.TaskRunning, next.state, "the aborted fetch uses nothing of the rate")
	evicted := launch("job-6", "y", 2)
	sim.Run(100 * time.Millisecond)
	assert.Equal(t, core.TaskFetching, evicted.state, "the image had been evicted from the cache")
	cached := launch("job-7", "x", 1)
	sim.Run(time.Millisecond)
	assert.Equal(t, core.TaskRunning, cached.state, "images in use stay in the cache")
}
