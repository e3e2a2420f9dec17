package core

import (
	"time"

	"roadcleat/internal/leadership"
	"roadcleat/internal/records"
)

// watchState is how far this controller has followed a prefix of the state service's keys.
type watchState struct {
	prefix     string
	loaded     bool // a listing has been read; only changes are missing
	pending    bool
	revision   uint64
	view       leadership.View
	nextCallAt time.Duration
}

// watch keeps a view of a prefix: a listing first, then its changes. The view is complete up
// to the moment the last answered call was sent; a call that is still open proves nothing.
func (c *Core) watch(watch *watchState) {
	if watch.pending || c.now < watch.nextCallAt {
		return
	}
	watch.pending = true
	if watch.loaded {
		c.watchChanges(watch)
	} else {
		c.beginWatch(watch)
	}
}

// beginWatch lists the shards' keys for either view. The jobs' view starts at the present;
// whatever this controller needs of the past it reads key by key.
func (c *Core) beginWatch(watch *watchState) {
	sent := c.now
	call(c, ListKeys{records.ShardPrefix}, func(res ListResult) {
		watch.pending = false
		c.recordStoreOutcome(sent, res.Outcome == OutcomeOK)
		if res.Outcome != OutcomeOK {
			watch.nextCallAt = c.now + retryStoreCall
			return
		}
		watch.loaded, watch.revision = true, res.Revision
		watch.view.Begin(sent)
		if watch == &c.shardWatch {
			c.applyShardList(res.Items)
			return
		}
		c.rereadUnfinishedJobs()
		for _, shard := range c.shards {
			if shard.loaded {
				shard.loaded, shard.unloadedSince = false, c.now // its assignments are listed again
			}
		}
	})
}

func (c *Core) watchChanges(watch *watchState) {
	sent := c.now
	call(c, WatchKeys{watch.prefix, watch.revision, c.watchTimeout(watch)}, func(res WatchResult) {
		watch.pending = false
		switch res.Outcome {
		case OutcomeOK:
			watch.revision = max(watch.revision, res.Revision)
			for _, change := range res.Changes {
				c.applyChange(change)
			}
			watch.view.Extend(sent)
			c.recordStoreOutcome(sent, true)
			if len(res.Changes) > 0 {
				watch.nextCallAt = c.now + c.watchPause(watch) // with many jobs each call would bring some
			}
		case OutcomeRefused:
			c.recordStoreOutcome(sent, true)
			watch.loaded = false
		default:
			c.recordStoreOutcome(sent, false)
			watch.nextCallAt = c.now + retryStoreCall
		}
	})
}

func (c *Core) applyChange(change Item) {
	switch key := records.ParseKey(change.Key); {
	case key.Kind == records.KindShard:
		c.applyShardRecord(c.shards[c.zoneIndex(key.Zone)], change.Value, change.Revision)
	case key.Kind == records.KindJob && change.Value != nil:
		c.applyJobRecord(key.Job, change.Value, change.Revision)
	}
}

func (c *Core) applyShardList(items []Item) {
	seen := map[string]bool{}
	for _, item := range items {
		zone := records.ParseKey(item.Key).Zone
		seen[zone] = true
		c.applyShardRecord(c.shards[c.zoneIndex(zone)], item.Value, item.Revision)
	}
	for _, shard := range c.shards {
		if !seen[shard.name] && !shard.claim.Pending() {
			c.applyShardRecord(shard, nil, c.shardWatch.revision)
		}
	}
}

// applyShardRecord applies what the state service holds of a shard. A deletion carries the
// revision of the deletion.
func (c *Core) applyShardRecord(shard *Shard, value []byte, revision uint64) {
	if !shard.claim.Accepts(revision) {
		return
	}
	if value == nil {
		if shard.claim.OutdatedBy(revision) {
			c.loseShard(shard, "key removed")
		}
		shard.claim.ObserveRemoval(revision, c.now)
		return
	}
	record, err := records.DecodeShard(value)
	if err != nil {
		return
	}
	if shard.claim.OutdatedBy(revision) {
		c.loseShard(shard, "claimed by "+record.Owner)
	}
	shard.claim.ObserveOwner(record.Owner, revision)
}

// Pauses and timeouts of watches. An open call proves nothing, and workers can only be
// answered while the view of the jobs is young enough, so where the AnswerWindow is short the
// view is renewed the more often.
const (
	longestWatch      = 2 * time.Second
	longestJobPause   = time.Second
	shardWatchPause   = 250 * time.Millisecond
	shortestWatchTime = 100 * time.Millisecond

	watchesPerAnswerWindow = 4
	pausesPerAnswerWindow  = 8
)

// watchTimeout is how long the state service may hold its answer back when nothing changes.
func (c *Core) watchTimeout(watch *watchState) time.Duration {
	if watch != &c.jobWatch {
		return longestWatch
	}
	return c.fractionOfAnswerWindow(watchesPerAnswerWindow, longestWatch)
}

// watchPause is how long changes of jobs, which controllers also send each other, may gather
// before they are asked for again.
func (c *Core) watchPause(watch *watchState) time.Duration {
	if watch != &c.jobWatch {
		return shardWatchPause
	}
	return c.fractionOfAnswerWindow(pausesPerAnswerWindow, longestJobPause)
}

func (c *Core) fractionOfAnswerWindow(n int, longest time.Duration) time.Duration {
	window := leadership.AnswerWindow(c.cfg.WorkerLease, c.cfg.CancelWithin)
	return max(min(longest, window/time.Duration(n)), shortestWatchTime)
}
