package core

import (
	"maps"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/plan"
	"roadcleat/internal/records"
)

// moveGain is by how much earlier, in seconds, a task must end elsewhere to be
// moved there: what is known of another part is a moment old.
const moveGain = 4.0

// maybeRebalance hands waiting tasks that find no room soon to a part that has some
// now. They are on no machine for certain; one transaction on both slices and
// the job changes hands.
func (c *Core) maybeRebalance(shard *Shard) {
	if shard.movePending || c.now < shard.nextMoveAt || shard.busy() || !c.mayStartTasks() {
		return
	}
	silent := c.noHeartbeats(shard) // machines that should be up any moment are not heard either
	for _, n := range shard.unplaced {
		job := n.job
		assignment := shard.assignments[job.id]
		if assignment == nil || n.startsIn < moveGain && !silent || !movable(job) || assignment.completing || len(assignment.unrecordedExits) > 0 || c.now < assignment.nextMoveAt {
			continue
		}
		to, count := c.betterShard(shard, assignment, n)
		if e, ok := shard.exports[job.id]; ok && to == nil {
			to, count = e.to, min(e.tasks, n.tasks, 64)
			delete(shard.exports, job.id)
		}
		if to != nil {
			assignment.nextMoveAt = c.now + 5*time.Second
			c.moveTasks(shard, to, assignment, count)
			return
		}
	}
	shard.nextMoveAt = c.now + 500*time.Millisecond
}

// movable says whether a job's tasks may go to any part.
func movable(j *Job) bool {
	return j.spec.Zone == "" && !j.spec.OneZone && !j.spec.Gang && !j.spec.SpreadZones
}

// betterShard finds a part of another owner, or another of mine, with room for
// some of the tasks now, and how many.
func (c *Core) betterShard(shard *Shard, assignment *Assignment, n unplacedWork) (*Shard, int) {
	job := assignment.job
	if c.noHeartbeats(shard) {
		return c.leastBusyShard(shard, job), min(n.tasks, 64)
	}
	var best *Shard
	most := 0
	now, typ, backfills, at := seconds(c.now), c.usualType(job), c.isBackfill(job), 32
	if typ < 0 {
		return nil, 0
	}
	if backfills && c.hasWaitedTooLong(assignment) {
		backfills, at = false, overdueBackfillTasks // a few may go where they may not as backfill, and start there
	}
	for _, other := range c.shards {
		if other == shard || !c.viewIsCurrent(other) {
			continue
		}
		room := 0.0
		if backfills {
			if room = c.backfillRoomOn(other, typ); room < max(c.coresTaken(job.spec.Need, typ), 1) {
				continue
			}
		}
		var devices []*plan.Device
		for _, d := range c.shardDevices(other) {
			devices = append(devices, d.Device)
		}
		fits, step := 0, c.planStep(job)
		for _, d := range devices {
			if step.Allowed(d.Kind) {
				fits += d.FreeFor(step, now, now+1)
			}
		}
		if backfills {
			fits = min(fits, wholeTasks(room/c.coresTaken(job.spec.Need, typ)))
		}
		if fits > most {
			best, most = other, fits
		}
	}
	return best, min(most, n.tasks, at)
}

// viewIsCurrent says whether a part is known as it is now: by own knowledge, or by its
// owner's word of a moment ago.
func (c *Core) viewIsCurrent(other *Shard) bool {
	if other.claim.Owned() {
		return other.loaded
	}
	return other.view != nil && c.now <= other.viewAt+1500*time.Millisecond
}

// leastBusyShard is the part with the shortest queue for a job's tasks, of those whose
// workers are heard. It takes in what waits in a dark part, room or not.
func (c *Core) leastBusyShard(shard *Shard, job *Job) *Shard {
	var best *Shard
	least := 0.0
	typ := c.usualType(job)
	for _, other := range c.shards {
		if other == shard || typ < 0 || c.reportsNoHeartbeats(other) || !c.viewIsCurrent(other) || !c.zoneHolds(job, other) {
			continue
		}
		if wait := c.queueSeconds(other, job.spec.Priority)[typ]; best == nil || wait < least {
			best, least = other, wait
		}
	}
	return best
}

// moveTasks carries out a move: the other part's slice is read, then both change
// together.
func (c *Core) moveTasks(shard, to *Shard, assignment *Assignment, count int) {
	job, token := assignment.job, shard.claim.Token()
	shard.movePending = true
	key := records.AssignmentKey(to.name, job.id)
	c.readKey(key, true, func(res ReadResult) {
		shard.movePending = false
		if res.Outcome != OutcomeOK || !shard.ownedWith(token) || shard.txnPending || shard.claim.Pending() || shard.claim.HandingOver() ||
			len(shard.unknownKeys) > 0 || shard.assignments[job.id] != assignment || job.state != model.JobPending || len(assignment.unrecordedExits) > 0 {
			return
		}
		for _, task := range assignment.tasks {
			if task.phase == taskPlacing {
				return // the slice is about to change by itself
			}
		}
		ids := assignment.waiting.Clone().First(min(count, assignment.waiting.Count()))
		if len(ids) == 0 {
			return
		}
		var v records.Assignment
		if res.Found {
			var err error
			if v, err = records.DecodeAssignment(res.Item.Value); err != nil {
				return
			}
		}
		split := maps.Clone(job.split)
		split[to.name] = nil
		for _, i := range ids {
			v.Waiting.Add(i)
		}
		v.LastAttempt = max(v.LastAttempt, assignment.lastAttempt) // an attempt is never given out twice
		moved := *job
		moved.split, moved.moves = split, job.moves+1
		if !c.fitsAfterMove(&moved, &v) {
			return
		}
		for _, i := range ids {
			assignment.waiting.Remove(i)
		}
		empty := assignment.complete() && len(assignment.done) == 0
		if empty {
			delete(split, shard.name)
		}
		v.Job, v.JobRevision = moved.record(""), 0
		theirs, mineValue := c.encodeAssignment(&v), c.encodeAssignment(assignment.record(&moved, 0))
		if empty {
			mineValue = nil
		}
		value := moved.encode("")
		txn := &pendingTxn{shard: shard, assignments: map[string]*Assignment{job.id: assignment},
			jobChanges:       []Item{{Key: job.key(), Value: value}},
			movedAssignments: []Item{{Key: key, Value: theirs}}}
		if empty {
			txn.assignments, txn.droppedJobs = nil, []string{job.id}
		}
		revision := assignment.revision
		txn.onRollBack = func() {
			for _, i := range ids {
				if assignment.revision == revision && assignment.tasks[i] == nil && !assignment.done.Has(i) {
					assignment.waiting.Add(i)
				}
			}
		}
		txn.txn.Conditions = []Condition{shard.ownerCondition(), {records.AssignmentKey(shard.name, job.id), assignment.revision}, {job.key(), job.revision}, {key, res.Item.Revision}}
		txn.txn.Mutations = []Mutation{{Key: records.AssignmentKey(shard.name, job.id), Value: mineValue}, {Key: key, Value: theirs}, {Key: job.key(), Value: value}}
		delete(shard.dirty, job.id)
		c.forgetDemand(shard, job, len(ids))
		c.stats.Rebalanced += uint64(len(ids))
		c.info("tasks moved", "job", job.id, "tasks", len(ids), "from", shard.name, "to", to.name, "token", shard.claim.Token())
		c.sendTxn(txn)
	})
}

// forgetDemand takes tasks that leave a part out of what its past demand asks room for:
// dear machines were hired here for a peak that had gone elsewhere.
func (c *Core) forgetDemand(shard *Shard, job *Job, tasks int) {
	typ := c.usualType(job)
	if typ < 0 || c.isBackfill(job) {
		return
	}
	i := poolOf(c.pools(), typ)
	for _, s := range shard.demandSamples {
		if i < len(s.cores) {
			s.cores[i] = max(s.cores[i]-float64(tasks)*c.coresTaken(job.spec.Need, typ), 0)
			if !job.spec.Spot {
				s.ordinaryCores[i] = max(s.ordinaryCores[i]-float64(tasks)*c.coresTaken(job.spec.Need, typ), 0)
			}
		}
	}
}

// moveAnnouncedWithin is how long after word of a job's move its slices may still be told of it.
const moveAnnouncedWithin = time.Second

// checkForMovedTasks reads a slice in which nothing waits once more when tasks of its job have
// moved and it was not told of it: the answer to the move, or the word of it, was lost.
// Nothing else may ever write the slice, as when its replicas run, and the tasks would
// wait unseen. Where some wait, the next placement finds out.
func (c *Core) checkForMovedTasks(shard *Shard, id string) {
	term := shard.claim.Term()
	unsure := func() bool {
		assignment, job := shard.assignments[id], c.jobs[id]
		return shard.servedHere() && shard.claim.Term() == term && assignment != nil && job != nil && assignment.revision < job.revision && len(assignment.waiting) == 0
	}
	c.after(moveAnnouncedWithin, func() {
		switch {
		case !unsure():
		case shard.txnPending:
			c.checkForMovedTasks(shard, id)
		default:
			c.readUntilAnswered(records.AssignmentKey(shard.name, id), unsure, func(res ReadResult) {
				if shard.txnPending {
					c.checkForMovedTasks(shard, id) // what was read may be from before or after it
				} else if res.Found && res.Item.Revision > shard.assignments[id].revision {
					c.applyAssignmentRecord(shard, id, res.Item.Value, res.Item.Revision)
				}
			})
		}
	})
}
