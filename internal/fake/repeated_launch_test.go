package fake

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/records"
)

// restartAndRepeatCommands restarts the owner of zone a's shard and has workers receive again, before
// its next process starts, all commands that the stopped process sent them.
func restartAndRepeatCommands(sim *Simulation) {
	owner := sim.OwnerOf("a")
	owner.Restart(3 * time.Second)
	owner.repeatSentCommands(2 * time.Second)
	sim.Run(10 * time.Second)
}

// hasForgotten returns a condition that holds when no machine reports an exited attempt of the job.
func hasForgotten(sim *Simulation, jobID string) func() bool {
	return func() bool {
		return sim.countWorkers(func(worker *Worker) bool {
			for id, attempt := range worker.attempts {
				if id.Job == jobID && attempt.state == core.TaskExited {
					return true
				}
			}
			return false
		}) == 0
	}
}

// submitToZone submits a job of one task to a zone, and runs the simulation until its task runs.
func submitToZone(t *testing.T, sim *Simulation, id, zone string, change func(*Job)) *Job {
	t.Helper()
	spec := newJobSpec(id, "red", 1, 2)
	spec.Zone = zone
	job := sim.Submit(spec, 3*time.Minute)
	if change != nil {
		change(job)
	}
	require.True(t, sim.RunUntil(time.Minute, hasRunningTasks(sim, id, 1)))
	return job
}

// The worker forgets an attempt that failed, and the task runs on another machine. A repetition of
// the attempt's launch, which was executed and answered, must not start it again (rule ran_twice).
func TestRepeatedLaunchOfFailedAttemptStartsNothing(t *testing.T) {
	sim := newSettledSimulation(t, 130)
	job := submitToZone(t, sim, "job-1", "a", func(job *Job) { job.FailsFirstAttempt = true })
	require.True(t, sim.RunUntil(time.Minute, func() bool { return job.TaskStarts == 2 }), "the task starts again elsewhere")
	require.True(t, sim.RunUntil(25*time.Second, hasForgotten(sim, "job-1")), "the worker forgets the failed attempt")
	restartAndRepeatCommands(sim)
	assert.Equal(t, 2, job.TaskStarts)
}

// The worker forgets an attempt of a cancelled job. A repetition of its launch must not start it
// again (rule ran_cancelled).
func TestRepeatedLaunchOfCancelledJobStartsNothing(t *testing.T) {
	sim := newSettledSimulation(t, 131)
	job := submitToZone(t, sim, "job-1", "a", nil)
	sim.Run(5 * time.Second)
	sim.Cancel(job)
	require.True(t, sim.RunUntil(10*time.Second, func() bool { return countRunningTasks(sim, "job-1") == 0 }))
	require.True(t, sim.RunUntil(25*time.Second, hasForgotten(sim, "job-1")), "the worker forgets the stopped attempt")
	restartAndRepeatCommands(sim)
	assert.Equal(t, 1, job.TaskStarts)
}

// The owner raises its token so that a worker may forget an attempt, and the reply is lost. The owner
// must keep the shard under the raised token, also if the transaction is executed late, so that
// nothing is loaded again and no worker waits for an owner.
func TestTokenRaiseWithLostReplyKeepsShard(t *testing.T) {
	for delay, wantLost := range map[time.Duration]int{0: 1, 5 * time.Second: 2} {
		sim := newSettledSimulation(t, 132)
		job := submitToZone(t, sim, "job-1", "a", func(job *Job) { job.FailsFirstAttempt = true })
		lostReplies, ended := 0, 0
		sim.State.LoseReply = func(_ string, txn core.Txn) (bool, time.Duration) {
			if !changesKey(txn, records.ShardKey("a")) || lostReplies == wantLost {
				return false, 0
			}
			lostReplies++
			return true, delay
		}
		sim.Log = func(_ string, args ...any) {
			for _, arg := range args {
				if text, isText := arg.(string); isText && strings.Contains(text, "ownership ended") {
					ended++
				}
			}
		}
		require.True(t, sim.RunUntil(time.Minute, func() bool { return job.TaskStarts == 2 }))
		assert.True(t, sim.RunUntil(50*time.Second, hasForgotten(sim, "job-1")), "the worker forgets the failed attempt")
		sim.Run(20 * time.Second)
		assert.Equal(t, wantLost, lostReplies)
		assert.Zero(t, ended, "the owner keeps its shards")
	}
}
