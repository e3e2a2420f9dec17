package core

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"roadcleat/internal/model"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// coreWithValueLimit is a core of one controller whose store keeps values of so many bytes, and a
// job with a slice in its only part.
func coreWithValueLimit(bytes, tasks int) (*Core, *Assignment) {
	c := New(Config{Label: "n", Zones: []string{"a", "b", "c"}, MaxValueBytes: bytes})
	job := c.newJob("job-1", model.JobSpec{Class: "work", Team: "red", Tasks: tasks, Need: model.Resources{Cores: 2}}, 7)
	job.split = map[string]taskRanges{"a": {{0, tasks}}}
	return c, &Assignment{job: job, waiting: taskRanges{{0, tasks}}, tasks: map[int]*Task{}}
}

func TestASliceNeverOutgrowsItsValueWhateverEndsWhere(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		c, assignment := coreWithValueLimit(1<<10+r.IntN(5<<10), 1+r.IntN(1000))
		perHost, hosts, most := 1+r.IntN(12), 0, 0
		for range 20 {
			budget := c.sizeBudgetOf(assignment)
			n := min(budget.maxTasks(perHost, "vm-000000"), assignment.waiting.count())
			for k, i := range assignment.waiting.first(n) {
				if r.IntN(3) > 0 { // machines hold fewer than was reckoned
					hosts++
				}
				host := &Host{name: fmt.Sprintf("vm-%06d", hosts+k/perHost)}
				if !budget.take(host.name) {
					break
				}
				assignment.lastAttempt++
				assignment.waiting.remove(i)
				assignment.tasks[i] = &Task{id: model.TaskID{Job: "job-1", Index: i}, assignment: assignment, host: host, attempt: assignment.lastAttempt}
			}
			hosts += 1 + n/perHost
			most = max(most, len(assignment.tasks))
			for _, i := range sorted(assignment.tasks) {
				switch r.IntN(6) {
				case 0:
					assignment.done.add(i)
					delete(assignment.tasks, i)
				case 1, 2:
					assignment.waiting.add(i)
					delete(assignment.tasks, i)
				}
				if r.IntN(8) == 0 {
					require.LessOrEqual(t, len(c.encodeAssignment(assignment.record(assignment.job, 1<<50))), c.cfg.MaxValueBytes, "seed %d", seed)
				}
			}
		}
		if c.cfg.MaxValueBytes >= 4<<10 {
			assert.GreaterOrEqual(t, most, min(assignment.job.spec.Tasks, c.cfg.MaxValueBytes/bytesListed), "no fewer than were listed, seed %d", seed)
		}
	}
}

func TestPlacedTasksComeBackFromEitherForm(t *testing.T) {
	want := placements{{0, "vm-1", 5}, {1, "vm-1", 6}, {2, "vm-2", 7}, {3, "vm-2", 7}, {9, "vm-1", 2}}
	list, err := json.Marshal([]placement(want))
	require.NoError(t, err)
	groups, err := json.Marshal(want.grouped())
	require.NoError(t, err)
	assert.Equal(t, `{"vm-1":[[0,2,5],[9,1,2]],"vm-2":[[2,1,7],[3,1,7]]}`, string(groups))
	for _, b := range [][]byte{list, groups} {
		var got placements
		require.NoError(t, json.Unmarshal(b, &got))
		assert.Equal(t, want, got)
	}
	assert.Error(t, json.Unmarshal(groups, &[]placement{}), "who reads lists only refuses")
}
