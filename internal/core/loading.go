package core

import (
	"strings"
	"time"

	"roadcleat/internal/records"
)

// shardLoad is the state of loading a shard's assignments by its new owner. The record of an
// assignment embeds the job as it was when the record was written. One transaction compares the
// revisions of many embedded jobs with the current ones, and only jobs that have changed are read.
type shardLoad struct {
	core  *Core
	shard *Shard
	term  uint64 // the leadership term for which the shard is loaded
	// revision is the revision of the listing of the assignments; 0 until it has been answered.
	revision uint64

	assignmentItems      map[string]Item   // assignment records, by job id
	embeddedJobRecords   map[string][]byte // embedded jobs, by job id
	embeddedJobRevisions map[string]uint64 // revisions of the embedded jobs, by job id
	embeddedJobIDs       []string          // ids of the embedded jobs
	missingJobIDs        []string          // ids of jobs that are not embedded and must be read
	remaining            int               // number of assignments that have not been restored yet
}

// loadShard lists the shard's assignments and restores them together with their jobs, unless the
// shard is loaded or being loaded. It waits for the watch on the jobs, which must continue the
// listing: the invariant of watchState.
func (c *Core) loadShard(shard *Shard) {
	if shard.loaded || shard.load != nil || !c.jobWatch.listed {
		return
	}
	load := &shardLoad{
		core: c, shard: shard, term: shard.claim.Term(),
		assignmentItems:      map[string]Item{},
		embeddedJobRecords:   map[string][]byte{},
		embeddedJobRevisions: map[string]uint64{},
	}
	shard.load = load
	call(c, ListKeys{records.AssignmentPrefix(shard.name)}, func(res ListResult) {
		if load.isCurrent() {
			load.handleListing(res)
		}
	})
}

// handleListing handles the listing of the shard's assignments. If a record cannot be decoded the
// shard is not served, and loading is retried.
func (l *shardLoad) handleListing(res ListResult) {
	c, shard := l.core, l.shard
	if res.Outcome != OutcomeOK {
		l.retryAfter(stateServiceRetryDelay)
		return
	}
	for _, item := range res.Items {
		// If the record were taken for an empty one, its running tasks would not be
		// counted in any team's usage and would be started a second time.
		if _, err := records.DecodeAssignment(item.Value); err != nil {
			c.warn("cannot decode assignment; shard is not served", "key", item.Key, "shard", shard.name, "token", shard.claim.Token(), "err", err)
			l.retryAfter(unreadableRecordRetryDelay)
			return
		}
	}
	l.revision = res.Revision
	if c.reloadIfUncovered(shard) {
		return
	}
	l.restore(res.Items)
}

// isCurrent reports whether the shard is still owned in the term for which it is being loaded, and
// the load has not been abandoned.
func (l *shardLoad) isCurrent() bool { return l.shard.isOwnedInTerm(l.term) && l.shard.load == l }

// retryAfter abandons the load after a delay, so that the shard is loaded again.
func (l *shardLoad) retryAfter(delay time.Duration) {
	l.core.runAfter(delay, func() {
		if l.isCurrent() {
			l.shard.load = nil
		}
	})
}

// reloadUncoveredShards has the shards loaded again whose assignments were listed before the watch on
// the jobs was started.
func (c *Core) reloadUncoveredShards() {
	for _, shard := range c.shards {
		c.reloadIfUncovered(shard)
	}
}

// reloadIfUncovered has the shard loaded again if its assignments were listed before the watch on the
// jobs was started: jobs that were accepted, moved or cancelled in between are neither in the listing
// nor reported by the watch. It reports whether that is so. While the watch is about to be started
// again it changes nothing, because the start calls reloadUncoveredShards.
func (c *Core) reloadIfUncovered(shard *Shard) bool {
	if !c.jobWatch.listed {
		return false
	}
	isUncovered := false
	if shard.loaded && !c.jobWatch.continues(shard.loadRevision) {
		shard.loaded, shard.unloadedSince = false, c.now
		isUncovered = true
	}
	if load := shard.load; load != nil && load.revision > 0 && !c.jobWatch.continues(load.revision) {
		shard.load = nil
		isUncovered = true
	}
	if isUncovered {
		c.info("loading the shard again: the watch on the jobs was started after its listing",
			"shard", shard.name, "token", shard.claim.Token(), "watchStart", c.jobWatch.startRevision)
	}
	return isUncovered
}

// restore restores the listed assignments. It reads the jobs that are not embedded in them, and those
// that have changed since.
func (l *shardLoad) restore(items []Item) {
	if l.remaining = len(items); l.remaining == 0 {
		l.finish()
		return
	}
	for _, item := range items {
		l.addAssignment(item)
	}
	for _, job := range l.missingJobIDs {
		l.readJob(job)
	}
	l.core.compareAllRevisions(l.embeddedJobIDs, l.embeddedJobRevisions, l.isCurrent, func(job string) {
		l.restoreJob(job, l.embeddedJobRecords[job], l.embeddedJobRevisions[job])
	}, l.readJob)
}

// addAssignment adds an assignment record and the job that it embeds, if any.
func (l *shardLoad) addAssignment(item Item) {
	id := strings.TrimPrefix(item.Key, records.AssignmentPrefix(l.shard.name))
	l.assignmentItems[id] = item
	record, _ := records.DecodeAssignment(item.Value) // loadShard has checked that the record can be decoded
	if record.Job == nil {
		l.missingJobIDs = append(l.missingJobIDs, id)
		return
	}
	l.embeddedJobRevisions[id] = record.JobRevision
	if record.JobRevision == 0 { // the job was written by the same transaction, so it has the assignment's revision
		l.embeddedJobRevisions[id] = item.Revision
	}
	l.embeddedJobRecords[id] = record.Job.Encode()
	l.embeddedJobIDs = append(l.embeddedJobIDs, id)
}

// readJob reads a job from the state service and restores its assignment. The assignment of a job that
// does not exist is skipped.
func (l *shardLoad) readJob(id string) {
	l.core.readUntilAnswered(records.JobKey(id), l.isCurrent, func(res ReadResult) {
		if res.Found {
			l.restoreJob(id, res.Item.Value, res.Item.Revision)
			return
		}
		l.countRestored()
	})
}

// restoreJob restores the assignment of a job.
func (l *shardLoad) restoreJob(id string, job []byte, revision uint64) {
	l.core.restoreAssignment(l.shard, id, job, revision, l.assignmentItems[id])
	l.countRestored()
}

// countRestored counts an assignment as restored and finishes the load after the last one.
func (l *shardLoad) countRestored() {
	if l.remaining--; l.remaining == 0 {
		l.finish()
	}
}

// finish marks the shard as loaded.
func (l *shardLoad) finish() {
	c, shard := l.core, l.shard
	shard.load, shard.loaded, shard.needsPlan, shard.loadedAt = nil, true, true, c.now
	shard.loadRevision = l.revision
	shard.startedEmpty = len(l.assignmentItems) == 0
	for _, id := range sortedKeys(c.jobs) {
		if l.hasChangedSinceListing(c.jobs[id]) {
			c.readAssignment(shard, id)
		}
	}
	c.info("shard loaded", "shard", shard.name, "token", shard.claim.Token(), "assignments", len(shard.assignments))
}

// hasChangedSinceListing reports whether the shard's assignment of a job may have been created, or
// may have received tasks from another shard, after the listing and before the shard was loaded. The
// watch has reported these changes, but they apply only to shards that are loaded.
func (l *shardLoad) hasChangedSinceListing(job *Job) bool {
	if _, hasTasksHere := job.rangesByZone[l.shard.name]; !hasTasksHere {
		return false
	}
	assignment := l.shard.assignments[job.id]
	return assignment == nil || job.revision > l.revision && job.revision > assignment.revision
}

// restoreAssignment applies the records of an assignment and of its job that were read while the
// shard was loaded. The assignment of a finished job is kept too, with a job created for it.
func (c *Core) restoreAssignment(shard *Shard, id string, value []byte, revision uint64, item Item) {
	if job := c.adoptJobRecord(id, value, revision); job != nil {
		c.adoptAssignmentOfJob(shard, job, item.Value, item.Revision)
		return
	}
	state, isFinished := c.finalJobStates[id]
	if !isFinished {
		return
	}
	record, _ := records.DecodeJob(value) // if the record cannot be decoded, the job only lacks a team
	job := c.newJob(id, record.Spec, revision)
	job.state = state
	c.adoptAssignmentOfJob(shard, job, item.Value, item.Revision)
}
