package core

import (
	"slices"
	"time"

	"roadcleat/internal/records"
)

// conditionsPerMutation is how many conditions PROTOCOL allows in a transaction for each
// mutation that it allows.
const conditionsPerMutation = 4

// readUntilAnswered reads a key and retries until the read succeeds or valid returns false.
// Only this key's read is retried: if one call refused for lack of rate-limit tokens restarted
// the loading of a whole shard, loading would never finish after all controllers crash.
func (c *Core) readUntilAnswered(key string, valid func() bool, then func(ReadResult)) {
	c.readKey(key, true, func(res ReadResult) {
		switch {
		case !valid():
		case res.Outcome == OutcomeOK:
			then(res)
		default:
			c.runAfter(stateServiceRetryDelay, func() {
				if valid() {
					c.readUntilAnswered(key, valid, then)
				}
			})
		}
	})
}

// knownRevisions returns the revisions in memory of those of the given jobs that are unfinished here.
func (c *Core) knownRevisions(ids []string) map[string]uint64 {
	revisions := make(map[string]uint64, len(ids))
	for _, id := range ids {
		if job := c.jobs[id]; job != nil {
			revisions[id] = job.revision
		}
	}
	return revisions
}

// compareRevisions checks with one request whether the jobs still have the given revisions,
// where 0 means that the job does not exist. It calls then with the request's outcome, the jobs
// whose state is unresolved and the jobs that differ. Unless the request was refused, the first
// list holds all jobs, and OutcomeOK confirms them as unchanged. After a refusal, the jobs that
// it names differ and the others are unresolved, since a refusal need not name every failed
// key; if it names none, all jobs count as differing.
func (c *Core) compareRevisions(ids []string, revisions map[string]uint64, then func(out Outcome, unresolved, differing []string)) {
	var txn Txn
	for _, id := range ids {
		txn.Conditions = append(txn.Conditions, Condition{records.JobKey(id), revisions[id]})
	}
	c.commit(txn, true, func(res CommitResult) {
		if res.Outcome != OutcomeRefused {
			then(res.Outcome, ids, nil)
			return
		}
		var unresolved, differing []string
		for _, id := range ids {
			if slices.Contains(res.FailedKeys, records.JobKey(id)) {
				differing = append(differing, id)
			} else {
				unresolved = append(unresolved, id)
			}
		}
		if len(differing) == 0 {
			unresolved, differing = nil, ids
		}
		then(OutcomeRefused, unresolved, differing)
	})
}

// compareAllRevisions compares any number of jobs in batches until each is resolved, and calls
// same or differs for each. It stops once valid returns false.
func (c *Core) compareAllRevisions(ids []string, revisions map[string]uint64, valid func() bool, same, differs func(id string)) {
	if len(ids) == 0 || !valid() {
		return
	}
	n := min(len(ids), conditionsPerMutation*c.cfg.MaxTxnMutations)
	c.compareRevisions(ids[:n:n], revisions, func(out Outcome, unresolved, differing []string) {
		if !valid() {
			return
		}
		switch out {
		case OutcomeOK:
			for _, id := range unresolved {
				same(id)
			}
			unresolved = nil
		case OutcomeRefused:
			for _, id := range differing {
				differs(id)
			}
		default:
			c.runAfter(stateServiceRetryDelay, func() { c.compareAllRevisions(ids, revisions, valid, same, differs) })
			return
		}
		c.compareAllRevisions(append(unresolved, ids[n:]...), revisions, valid, same, differs)
	})
}

// jobRereadInterval is the minimum interval between comparisons of the jobs in jobsToReread, so that
// one request compares many of them.
const jobRereadInterval = time.Second

// rereadOutdatedJobs compares the jobs in jobsToReread with the state service, once the watch on the
// jobs runs: it reports all changes after the comparison.
func (c *Core) rereadOutdatedJobs() {
	if len(c.jobsToReread) == 0 || !c.jobWatch.listed || c.now < c.nextJobRereadAt {
		return
	}
	c.nextJobRereadAt = c.now + jobRereadInterval
	ids := sortedKeys(c.jobsToReread)
	clear(c.jobsToReread)
	c.rereadJobs(ids)
}

// rereadJobs compares the given jobs with the state service and reads those that differ or are not
// known here. It is used when changes may have been missed.
func (c *Core) rereadJobs(ids []string) {
	always := func() bool { return true }
	same := func(string) {}
	c.compareAllRevisions(ids, c.knownRevisions(ids), always, same, func(id string) {
		c.readUntilAnswered(records.JobKey(id), always, func(res ReadResult) {
			if res.Found {
				c.applyJobRecord(id, res.Item.Value, res.Item.Revision)
			}
		})
	})
}
