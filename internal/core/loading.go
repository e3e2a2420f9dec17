package core

import (
	"strings"
	"time"

	"roadcleat/internal/records"
)

// shardLoad is the loading of a shard's assignments by its new owner. An assignment holds the
// job as it was when the assignment was written; whether that still stands is compared for
// many jobs at once, and only jobs that have changed are read.
type shardLoad struct {
	core  *Core
	shard *Shard
	term  uint64

	items     map[string]Item   // assignments by job
	jobs      map[string][]byte // jobs as their assignments hold them
	revisions map[string]uint64 // of those jobs
	held      []string          // jobs that their assignments hold
	missing   []string          // jobs that must be read
	left      int               // assignments that are not restored yet
}

// loadShard reads the shard's assignments and learns their jobs.
func (c *Core) loadShard(shard *Shard) {
	shard.loading = true
	load := &shardLoad{core: c, shard: shard, term: shard.claim.Term(), items: map[string]Item{}, jobs: map[string][]byte{}, revisions: map[string]uint64{}}
	call(c, ListKeys{records.AssignmentPrefix(shard.name)}, func(res ListResult) {
		if !load.valid() {
			return
		}
		if res.Outcome != OutcomeOK {
			load.retry(retryStoreCall)
			return
		}
		for _, item := range res.Items {
			// Taken for empty, its tasks would count for nobody and start again.
			if _, err := records.DecodeAssignment(item.Value); err != nil {
				c.warn("assignment unreadable, shard not served", "key", item.Key, "shard", shard.name, "token", shard.claim.Token(), "err", err)
				load.retry(retryUnreadable)
				return
			}
		}
		load.restore(res.Items)
	})
}

// valid reports whether the shard is still owned in the term for which it is loaded.
func (l *shardLoad) valid() bool { return l.shard.ownedIn(l.term) }

// retry has the shard loaded anew after a pause.
func (l *shardLoad) retry(pause time.Duration) {
	l.core.after(pause, func() {
		if l.valid() {
			l.shard.loading = false
		}
	})
}

func (l *shardLoad) restore(items []Item) {
	if l.left = len(items); l.left == 0 {
		l.finish()
		return
	}
	for _, item := range items {
		l.add(item)
	}
	for _, job := range l.missing {
		l.readJob(job)
	}
	l.core.compareAllRevisions(l.held, l.revisions, l.valid, func(job string) {
		l.restoreOne(job, l.jobs[job], l.revisions[job])
	}, l.readJob)
}

// add notes an assignment and the job that it holds.
func (l *shardLoad) add(item Item) {
	id := strings.TrimPrefix(item.Key, records.AssignmentPrefix(l.shard.name))
	l.items[id] = item
	record, _ := records.DecodeAssignment(item.Value) // loadShard has seen that it can be read
	if record.Job == nil {
		l.missing = append(l.missing, id)
		return
	}
	l.revisions[id] = record.JobRevision
	if record.JobRevision == 0 { // written together
		l.revisions[id] = item.Revision
	}
	l.jobs[id] = record.Job.Encode()
	l.held = append(l.held, id)
}

func (l *shardLoad) readJob(id string) {
	l.core.readUntilAnswered(records.JobKey(id), l.valid, func(res ReadResult) {
		if res.Found {
			l.restoreOne(id, res.Item.Value, res.Item.Revision)
			return
		}
		l.countOne()
	})
}

func (l *shardLoad) restoreOne(id string, job []byte, revision uint64) {
	l.core.restoreAssignment(l.shard, id, job, revision, l.items[id])
	l.countOne()
}

func (l *shardLoad) countOne() {
	if l.left--; l.left == 0 {
		l.finish()
	}
}

func (l *shardLoad) finish() {
	c, shard := l.core, l.shard
	shard.loading, shard.loaded, shard.needsPlan, shard.loadedAt = false, true, true, c.now
	shard.startedEmpty = len(l.items) == 0
	// Jobs that came after the listing, and were heard of before this.
	for _, id := range sorted(c.jobs) {
		if _, here := c.jobs[id].split[shard.name]; here && shard.assignments[id] == nil {
			c.readAssignment(shard, id)
		}
	}
	c.info("shard loaded", "shard", shard.name, "token", shard.claim.Token(), "assignments", len(shard.assignments))
}

// restoreAssignment takes up an assignment together with its job as they were found when the
// shard was loaded.
func (c *Core) restoreAssignment(shard *Shard, id string, value []byte, revision uint64, item Item) {
	if job := c.applyJobRecord(id, value, revision); job != nil {
		c.adoptAssignmentOf(shard, job, item.Value, item.Revision)
		return
	}
	state, over := c.finished[id]
	if !over {
		return
	}
	record, _ := records.DecodeJob(value) // at worst the job has no team
	job := c.newJob(id, record.Spec, revision)
	job.state = state
	c.adoptAssignmentOf(shard, job, item.Value, item.Revision)
}
