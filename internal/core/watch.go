package core

import (
	"time"

	"roadcleat/internal/leadership"
	"roadcleat/internal/records"
)

// watchState is the state of this controller's watch on the keys with a prefix in the state
// service.
//
// A watch reports every change of these keys after the revision at which it was started, and none
// before it. So a state read from the state service stays current only if the watch continues it:
//
// Invariant: whatever this controller keeps of keys under the prefix, or of keys that change only
// together with them, was current at the revision at which the watch was started or at a later one.
//
// The assignments of a shard change together with the jobs: only the shard's owner changes them in
// any other way. Listings, reads and watches are answered at different speeds and in any order, and
// messages between controllers may be lost in any number, so neither establishes the invariant:
//
//   - A shard's assignments are listed only while the watch on the jobs runs. A listing that is older
//     than the start of the watch is repeated (loadShard, reloadUncoveredShards).
//   - When the watch on the jobs is started again, every unfinished job is compared with the state
//     service (rereadJobs).
//   - A job record that is older than the start of the watch, and of a job that was unknown until then,
//     is compared too (jobsToReread): an answer or message may have been on its way for longer.
type watchState struct {
	prefix        string
	listed        bool   // the keys have been listed, so only changes need to be read
	callPending   bool   // a call has been sent and not been answered
	startRevision uint64 // revision at which the watch was started; 0 before the first start
	revision      uint64 // newest revision that has been read
	view          leadership.PrefixView
	nextCallAt    time.Duration
}

// continues reports whether the watch reports every change after the given revision.
func (w *watchState) continues(revision uint64) bool { return w.listed && revision >= w.startRevision }

// watch sends the next call that a watch needs: a listing, or the wait for further changes. The
// view is complete up to the moment at which the last answered call was sent: a call that is still
// pending may have missed changes.
func (c *Core) watch(watch *watchState) {
	if watch.callPending || c.now < watch.nextCallAt {
		return
	}
	watch.callPending = true
	if watch.listed {
		c.watchChanges(watch)
	} else {
		c.startWatch(watch)
	}
}

// startWatch starts a watch from the current revision, which it gets by listing the shards' keys,
// also for the watch on jobs. Jobs are not listed: this controller reads those that it needs key
// by key.
func (c *Core) startWatch(watch *watchState) {
	sent := c.now
	call(c, ListKeys{records.ShardPrefix}, func(res ListResult) {
		watch.callPending = false
		c.recordStateServiceOutcome(sent, res.Outcome == OutcomeOK)
		if res.Outcome != OutcomeOK {
			watch.nextCallAt = c.now + stateServiceRetryDelay
			return
		}
		watch.listed, watch.startRevision, watch.revision = true, res.Revision, res.Revision
		watch.view.Restart(sent, c.now)
		if watch == &c.shardWatch {
			c.applyShardList(res.Items)
			return
		}
		c.rereadJobs(sortedKeys(c.jobs))
		c.reloadUncoveredShards()
	})
}

// watchChanges waits for the next changes and applies them.
func (c *Core) watchChanges(watch *watchState) {
	sent := c.now
	call(c, WatchKeys{watch.prefix, watch.revision, c.watchTimeout(watch)}, func(res WatchResult) {
		watch.callPending = false
		switch res.Outcome {
		case OutcomeOK:
			watch.revision = max(watch.revision, res.Revision)
			for _, change := range res.Changes {
				c.applyChange(change)
			}
			watch.view.Extend(sent)
			c.recordStateServiceOutcome(sent, true)
			if len(res.Changes) > 0 {
				// Without the pause, with many jobs, each call would return at once with few
				// changes.
				watch.nextCallAt = c.now + c.watchPause(watch)
			}
		case OutcomeRefused:
			c.recordStateServiceOutcome(sent, true)
			watch.listed = false
		default:
			c.recordStateServiceOutcome(sent, false)
			watch.nextCallAt = c.now + stateServiceRetryDelay
		}
	})
}

// applyChange applies one change of a shard's or job's key.
func (c *Core) applyChange(change Item) {
	switch key := records.ParseKey(change.Key); {
	case key.Kind == records.KindShard:
		c.applyShardRecord(c.shards[c.zoneIndexOrAdd(key.Zone)], change.Value, change.Revision)
	case key.Kind == records.KindJob && change.Value != nil:
		c.applyJobRecord(key.Job, change.Value, change.Revision)
	}
}

// Pauses and timeouts of watches. The view of the jobs advances only when a call is answered, and
// workers are answered only while that view is younger than leadership.LeaseRenewalWindow. The timeout
// and the pause of the job watch are therefore fractions of that window.
const (
	maxWatchTimeout  = 2 * time.Second        // timeout of the shard watch, upper bound for the job watch
	maxJobWatchPause = time.Second            // upper bound of the job watch's pause
	shardWatchPause  = 250 * time.Millisecond // pause of the shard watch
	minWatchTimeout  = 100 * time.Millisecond // lower bound of the job watch's timeout and pause

	watchesPerRenewalWindow = 4 // watch timeouts of the job watch per LeaseRenewalWindow
	pausesPerRenewalWindow  = 8 // pauses of the job watch per LeaseRenewalWindow
)

// watchTimeout is how long the state service should wait for a change before it answers.
func (c *Core) watchTimeout(watch *watchState) time.Duration {
	if watch != &c.jobWatch {
		return maxWatchTimeout
	}
	return c.fractionOfRenewalWindow(watchesPerRenewalWindow, maxWatchTimeout)
}

// watchPause is the pause before the next call after one that returned changes, so that a call
// returns many changes. Changes of jobs may be delayed longer, because controllers also send them
// to each other directly.
func (c *Core) watchPause(watch *watchState) time.Duration {
	if watch != &c.jobWatch {
		return shardWatchPause
	}
	return c.fractionOfRenewalWindow(pausesPerRenewalWindow, maxJobWatchPause)
}

// fractionOfRenewalWindow is leadership.LeaseRenewalWindow divided by divisor, limited to the range from
// minWatchTimeout to maximum.
func (c *Core) fractionOfRenewalWindow(divisor int, maximum time.Duration) time.Duration {
	window := leadership.LeaseRenewalWindow(c.cfg.WorkerLease, c.cfg.CancelWithin)
	return max(min(maximum, window/time.Duration(divisor)), minWatchTimeout)
}
