package core

import (
	"cmp"
	"maps"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
	"slices"
	"time"
)

// Assignment is a part's tasks of a job.
type Assignment struct {
	job                   *Job
	revision              uint64
	waiting               records.TaskRanges
	done                  records.TaskRanges
	tasks                 map[int]*Task    // on a machine, or on the way there
	unrecordedExits       map[int]taskExit // ended for certain, not yet recorded
	lastAttempt           uint64           // highest attempt given out
	nextMoveAt            time.Duration
	nextCompletionCheckAt time.Duration // when to look again whether the whole job is done
	completing            bool
	starvedSince          time.Duration   // since when none of its waiting tasks could start
	lastExitAt            time.Duration   // when the last of its tasks left its machine
	pendingPreemptions    []time.Duration // room being made for its tasks, each until when at most
	// Since when some of its tasks have not been running, for operators; 0: all run.
	missingSince time.Duration
	// Since when all its room within the team's limit has been left to others' work.
	yieldingSince time.Duration
}

type taskExit struct {
	attempt uint64
	done    bool
}

func (a *Assignment) complete() bool { return len(a.waiting) == 0 && len(a.tasks) == 0 }

func (a *Assignment) running() int {
	n := 0
	for _, task := range a.tasks {
		if task.state == TaskRunning || task.state == TaskSaving {
			n++
		}
	}
	return n
}

// record is what a slice is for the store, its job being as given.
func (a *Assignment) record(job *Job, revision uint64) *records.Assignment {
	v := &records.Assignment{Waiting: a.waiting, Done: a.done, LastAttempt: a.lastAttempt, Job: job.record(""), JobRevision: revision, FailedTrials: a.job.failedTrials}
	for _, i := range sorted(a.tasks) {
		task := a.tasks[i]
		v.Placed = append(v.Placed, records.Placement{Index: i, Host: task.host.name, Attempt: task.attempt})
	}
	return v
}

// adoptAssignment takes a slice that this controller has no memory of.
func (c *Core) adoptAssignment(shard *Shard, id string, value []byte, revision uint64) {
	if j := c.jobs[id]; j != nil {
		c.adoptAssignmentOf(shard, j, value, revision)
	}
}

// adoptAssignmentOf also takes slices of jobs that are over: what is left of them
// on machines still counts against the team's limit.
func (c *Core) adoptAssignmentOf(shard *Shard, job *Job, value []byte, revision uint64) {
	id := job.id
	if assignment := shard.assignments[id]; assignment != nil {
		if revision > assignment.revision {
			c.reconcile(shard, assignment, value, revision)
		}
		return
	}
	assignment := &Assignment{job: job, tasks: map[int]*Task{}, unrecordedExits: map[int]taskExit{}, missingSince: job.knownSince}
	shard.assignments[id] = assignment
	c.reconcile(shard, assignment, value, revision)
	if job.state != model.JobPending {
		c.windDownAssignment(shard, assignment)
	}
}

// applyAssignmentRecord applies a slice's key as read or told.
func (c *Core) applyAssignmentRecord(shard *Shard, id string, value []byte, revision uint64) {
	assignment := shard.assignments[id]
	switch {
	case assignment == nil && value != nil:
		c.adoptAssignment(shard, id, value, revision)
	case assignment == nil:
		// Neither here nor there.
	case value == nil:
		// The job is over, or all of the slice went elsewhere.
		for _, i := range sorted(assignment.tasks) {
			task := assignment.tasks[i]
			c.orphanTask(shard, task)
		}
		delete(shard.assignments, id)
		delete(shard.dirty, id)
	case revision == assignment.revision:
		for _, i := range sorted(assignment.tasks) {
			task := assignment.tasks[i]
			if task != nil && task.phase == taskPlacing {
				c.rollBackPlacement(shard, task)
			}
		}
	case revision > assignment.revision:
		c.reconcile(shard, assignment, value, revision)
	}
	shard.needsPlan = true
}

// reconcile makes memory agree with the store's slice while it keeps what was
// proven since and is not yet recorded.
func (c *Core) reconcile(shard *Shard, assignment *Assignment, value []byte, revision uint64) {
	v, err := records.DecodeAssignment(value)
	if err != nil {
		c.warn("slice unreadable", "job", assignment.job.id, "part", shard.name)
		return
	}
	old := assignment.tasks
	assignment.revision, assignment.waiting, assignment.done, assignment.lastAttempt = revision, v.Waiting.Clone(), v.Done.Clone(), max(assignment.lastAttempt, v.LastAttempt)
	assignment.tasks = map[int]*Task{}
	if !assignment.job.succeeded {
		assignment.job.failedTrials = max(assignment.job.failedTrials, v.FailedTrials)
	}
	inStore := map[int]bool{}
	for _, pl := range v.Placed {
		inStore[pl.Index] = true
		assignment.lastAttempt = max(assignment.lastAttempt, pl.Attempt)
		if o, ok := assignment.unrecordedExits[pl.Index]; ok && o.attempt >= pl.Attempt {
			if o.done {
				assignment.done.Add(pl.Index)
			} else {
				assignment.waiting.Add(pl.Index)
			}
			shard.dirty[assignment.job.id] = assignment
			continue
		}
		// The host counts too: a value of long ago may name the same attempt elsewhere,
		// and what it confirms is launched.
		if task := old[pl.Index]; task != nil && task.attempt == pl.Attempt && task.host.name == pl.Host {
			assignment.tasks[pl.Index] = task
			if task.phase == taskPlacing {
				c.onPlaced(shard, task)
			}
			continue
		}
		host := c.hostByName(shard, pl.Host)
		task := &Task{id: model.TaskID{Job: assignment.job.id, Index: pl.Index}, assignment: assignment, host: host, attempt: pl.Attempt, phase: taskPlaced,
			inherited: true, need: assignment.job.spec.Need, team: assignment.job.team, placedAt: c.now}
		if other := host.tasks[task.id]; other != nil {
			// A worker holds one attempt of a task at most; what is there of an
			// earlier one keeps this one on the host until it is gone too.
			c.release(shard, other)
		}
		c.reserve(shard, task)
		assignment.tasks[pl.Index] = task
	}
	for _, i := range sorted(old) {
		task := old[i]
		if assignment.tasks[i] == task {
			continue
		}
		if task.phase == taskPlacing {
			c.release(shard, task)
		} else {
			c.orphanTask(shard, task)
		}
	}
	for _, i := range sorted(assignment.unrecordedExits) {
		o := assignment.unrecordedExits[i]
		if inStore[i] {
			continue
		}
		if o.done && assignment.waiting.Has(i) {
			assignment.waiting.Remove(i)
			assignment.done.Add(i)
			shard.dirty[assignment.job.id] = assignment
			continue
		}
		delete(assignment.unrecordedExits, i)
	}
	if assignment.complete() {
		shard.dirty[assignment.job.id] = assignment
	}
	shard.needsPlan = true
}

// windDownAssignment winds a slice of a finished job up: what is on machines is
// stopped, and the key goes once nothing is.
func (c *Core) windDownAssignment(shard *Shard, assignment *Assignment) {
	assignment.waiting = nil
	for _, i := range sorted(assignment.tasks) {
		task := assignment.tasks[i]
		if task != nil && task.phase == taskPlaced {
			c.stopTask(shard, task, 0)
		}
	}
	shard.dirty[assignment.job.id] = assignment
}

// pendingTxn is a transaction of a part's owner under way.
type pendingTxn struct {
	shard            *Shard
	token            uint64
	txn              Txn
	assignments      map[string]*Assignment
	exits            map[*Assignment]map[int]taskExit
	placements       []*Task
	quotas           map[*TeamQuota]records.Grants
	doneJobs         []*Job
	jobChanges       []Item
	droppedJobs      []string
	movedAssignments []Item // slices of other parts, changed by a move
	onRollBack       func() // takes back what memory shows already
}

// sendTxn sends an owner's transaction; the part does one at a time.
func (c *Core) sendTxn(txn *pendingTxn) {
	shard := txn.shard
	txn.token = shard.claim.Token()
	shard.txnPending = true
	c.commitWith(CommitTxn{Txn: txn.txn, Urgent: true, Background: true}, func(res CommitResult) {
		if shard.claim.Owned() && shard.claim.Token() == txn.token {
			c.onTxnResult(txn, res)
		}
	})
}

func (c *Core) onTxnResult(txn *pendingTxn, res CommitResult) {
	shard := txn.shard
	switch res.Outcome {
	case OutcomeOK:
		shard.txnPending = false
		var quotas []Item
		for _, quota := range c.quotas {
			if g, ok := txn.quotas[quota]; ok {
				if res.Revision > quota.revision {
					quota.revision, quota.grants = res.Revision, g
				}
				value := g.Encode()
				quotas = append(quotas, Item{quota.key(), value, res.Revision})
			}
		}
		if len(quotas) > 0 {
			c.broadcast(Message{Quotas: quotas})
		}
		for id, assignment := range txn.assignments {
			assignment.revision = max(assignment.revision, res.Revision)
			for i, o := range txn.exits[assignment] {
				if assignment.unrecordedExits[i] == o {
					delete(assignment.unrecordedExits, i)
				}
			}
			if assignment.complete() && len(assignment.unrecordedExits) == 0 && assignment.job.state == model.JobPending {
				shard.dirty[id] = assignment
			}
		}
		for _, task := range txn.placements {
			if task.phase == taskPlacing {
				c.onPlaced(shard, task)
			}
		}
		for _, job := range txn.doneJobs {
			c.info("job done", "job", job.id, "part", shard.name, "token", shard.claim.Token())
			c.finishJob(job.id, model.JobDone)
		}
		for _, id := range txn.droppedJobs {
			delete(shard.assignments, id)
			delete(shard.dirty, id)
		}
		c.announceChanges(txn, res.Revision)
		shard.needsPlan = true
	case OutcomeRefused:
		c.stats.Conflicts++
		c.debug("transaction refused", "part", shard.name, "token", shard.claim.Token(), "keys", res.FailedKeys)
		c.rollBack(txn)
		for _, k := range res.FailedKeys {
			shard.unknownKeys[k] = false
		}
		if len(res.FailedKeys) == 0 {
			shard.txnPending = false
			shard.retryAt = c.now + retryStoreCall
		}
	case OutcomeNotSent:
		c.rollBack(txn)
		shard.txnPending = false
		shard.retryAt = c.now + retryStoreCall
	default:
		if txn.onRollBack != nil {
			// Tasks that may not have left must not be missing here: the slice
			// would look complete.
			txn.onRollBack()
		}
		// Nobody can tell: what holds is read again before anything else. The
		// placements stay booked until then and are not launched.
		for _, g := range txn.txn.Conditions {
			shard.unknownKeys[g.Key] = false
		}
		c.markDirtyAgain(txn)
	}
	c.resolveUnknownKeys(shard)
}

// announceChanges tells the others of jobs and slices that a transaction changed.
func (c *Core) announceChanges(txn *pendingTxn, revision uint64) {
	for i := range txn.jobChanges {
		txn.jobChanges[i].Revision = revision
		c.applyJobRecord(records.ParseKey(txn.jobChanges[i].Key).Job, txn.jobChanges[i].Value, revision)
	}
	for i := range txn.movedAssignments {
		txn.movedAssignments[i].Revision = revision
		key := records.ParseKey(txn.movedAssignments[i].Key)
		if to := c.shards[c.zoneIndex(key.Zone)]; to.servedHere() {
			c.applyAssignmentRecord(to, key.Job, txn.movedAssignments[i].Value, revision)
		}
	}
	if len(txn.jobChanges)+len(txn.movedAssignments) > 0 {
		c.broadcast(Message{Jobs: txn.jobChanges, Assignments: txn.movedAssignments})
	}
}

// rollBack undoes the placements of a transaction that was not carried out.
func (c *Core) rollBack(txn *pendingTxn) {
	if txn.onRollBack != nil {
		txn.onRollBack()
	}
	for _, task := range txn.placements {
		if task.phase == taskPlacing {
			c.rollBackPlacement(txn.shard, task)
		}
	}
	c.markDirtyAgain(txn)
	txn.shard.needsPlan = true
}

// markDirtyAgain has everything a transaction should have recorded tried again.
func (c *Core) markDirtyAgain(txn *pendingTxn) {
	for id := range txn.assignments {
		if s := txn.shard.assignments[id]; s != nil {
			txn.shard.dirty[id] = s
		}
	}
	for _, id := range txn.droppedJobs {
		if s := txn.shard.assignments[id]; s != nil {
			txn.shard.dirty[id] = s
		}
	}
}

// resolveUnknownKeys reads keys again whose state is in doubt; the part commits nothing
// until all are known.
func (c *Core) resolveUnknownKeys(shard *Shard) {
	if len(shard.unknownKeys) == 0 || c.now < shard.retryAt {
		return
	}
	token := shard.claim.Token()
	for _, key := range sorted(shard.unknownKeys) {
		if shard.unknownKeys[key] {
			continue
		}
		shard.unknownKeys[key] = true
		c.readKey(key, true, func(res ReadResult) {
			if !shard.ownedWith(token) {
				return
			}
			if res.Outcome != OutcomeOK {
				shard.unknownKeys[key] = false
				shard.retryAt = c.now + retryStoreCall
				return
			}
			c.applyReread(shard, key, res)
			if !shard.ownedWith(token) {
				return
			}
			delete(shard.unknownKeys, key)
			if len(shard.unknownKeys) == 0 {
				shard.txnPending = false
				shard.needsPlan = true
			}
		})
	}
}

// applyReread applies a key that was read again because a transaction's outcome on it was
// not known.
func (c *Core) applyReread(shard *Shard, key string, res ReadResult) {
	switch k := records.ParseKey(key); k.Kind {
	case records.KindShard:
		if !res.Found || res.Item.Revision != shard.claim.Token() {
			c.loseShard(shard, "claim has changed")
			c.rereadShard(shard)
		}
	case records.KindJob:
		if res.Found {
			c.applyJobRecord(k.Job, res.Item.Value, res.Item.Revision)
		}
	case records.KindQuota:
		if team := c.teams.lookup(k.Team); team >= 0 {
			c.applyQuotaRecord(c.quotas[team], res.Found, res.Item.Value, res.Item.Revision)
		}
	case records.KindAssignment:
		switch {
		case k.Zone != shard.name:
		case !res.Found:
			c.applyAssignmentRecord(shard, k.Job, nil, 0)
		default:
			c.applyAssignmentRecord(shard, k.Job, res.Item.Value, res.Item.Revision)
		}
	}
}

// maxRecordOps is how many changes an owner puts into a transaction: no more than
// its share brings in half a second. A larger one would have to wait for tokens
// longer than any call does; it was given up and tried again for 8 s.
func (c *Core) maxRecordOps() int {
	if c.cfg.WritesPerSecond == 0 {
		return c.cfg.MaxTxnOps
	}
	return min(max(int(c.cfg.WritesPerSecond*c.budgetShare.Changes/2), 6), c.cfg.MaxTxnOps)
}

// dirtyOrder lists the slices to record: the more urgent jobs first, so that
// none waits behind others because of its name when changes are short.
func (s *Shard) dirtyOrder() []string {
	ids := sorted(s.dirty)
	slices.SortStableFunc(ids, func(a, b string) int {
		x, y := s.dirty[a].job, s.dirty[b].job
		return cmp.Or(cmp.Compare(x.spec.Priority, y.spec.Priority), cmp.Compare(x.knownSince, y.knownSince))
	})
	return ids
}

// commitChanges gathers what must be made durable into one transaction: placements
// just planned, ends just proven, grants that must grow first.
func (c *Core) commitChanges(shard *Shard) {
	for _, id := range sorted(shard.recordBy) {
		if assignment := shard.assignments[id]; assignment == nil {
			delete(shard.recordBy, id)
		} else if c.now >= shard.recordBy[id] {
			shard.dirty[id] = assignment
		}
	}
	if len(shard.dirty)+len(shard.completions) == 0 || shard.txnPending || shard.claim.Pending() || shard.claim.HandingOver() || c.now < shard.retryAt || len(shard.unknownKeys) > 0 {
		return
	}
	txn := &pendingTxn{shard: shard, assignments: map[string]*Assignment{}, exits: map[*Assignment]map[int]taskExit{},
		quotas: map[*TeamQuota]records.Grants{}}
	txn.txn.Conditions = []Condition{shard.ownerCondition()}
	size := c.appendCompletions(shard, txn)
	for _, id := range shard.dirtyOrder() {
		assignment := shard.dirty[id]
		if len(txn.txn.Mutations)+3 > c.maxRecordOps() || len(txn.txn.Conditions)+4 > 4*c.cfg.MaxTxnOps || size > 40<<10 {
			break
		}
		delete(shard.dirty, id)
		delete(shard.recordBy, id)
		size += c.appendAssignment(shard, txn, id, assignment)
	}
	if len(txn.txn.Mutations) > 0 {
		c.sendTxn(txn)
	}
}

func (c *Core) appendAssignment(shard *Shard, txn *pendingTxn, id string, assignment *Assignment) int {
	key := records.AssignmentKey(shard.name, id)
	guard := func() { txn.txn.Conditions = append(txn.txn.Conditions, Condition{key, assignment.revision}) }
	if assignment.job.state != model.JobPending {
		// No transaction is under way, so what is only planned will never be
		// placed. Left booked, it would hold room and the team's grant for ever.
		for _, i := range sorted(assignment.tasks) {
			if task := assignment.tasks[i]; task.phase == taskPlacing {
				c.release(shard, task)
				delete(assignment.tasks, i)
			}
		}
		if len(assignment.tasks) == 0 {
			guard()
			txn.txn.Mutations = append(txn.txn.Mutations, Mutation{Key: key})
			txn.droppedJobs = append(txn.droppedJobs, id)
		}
		return 0
	}
	if assignment.complete() && !assignment.job.spec.Service {
		if len(assignment.job.split) == 1 {
			return txn.appendCompletion(assignment, nil, 0)
		}
		if len(assignment.unrecordedExits) == 0 {
			c.completeSharedJob(shard, assignment)
			return 0
		}
	}
	guard()
	placingHere := false
	for _, i := range sorted(assignment.tasks) {
		task := assignment.tasks[i]
		if task == nil || task.phase != taskPlacing {
			continue
		}
		// The grants may have changed since the task was planned: another part
		// may have taken what was free then.
		if !c.fitsGrant(shard, assignment.job.team, txn) {
			c.rollBackPlacement(shard, task)
			continue
		}
		placingHere = true
		txn.placements = append(txn.placements, task)
	}
	if placingHere {
		// A placement counts only while the job is not withdrawn.
		txn.txn.Conditions = append(txn.txn.Conditions, Condition{assignment.job.key(), assignment.job.revision})
		quota := c.quotas[assignment.job.team]
		if _, in := txn.quotas[quota]; !in {
			if next, grows := c.grownGrants(shard, assignment.job.team); grows {
				value := next.Encode()
				txn.quotas[quota] = next
				txn.txn.Conditions = append(txn.txn.Conditions, Condition{quota.key(), quota.revision})
				txn.txn.Mutations = append(txn.txn.Mutations, Mutation{Key: quota.key(), Value: value})
			}
		}
	}
	value := c.encodeAssignment(assignment.record(assignment.job, assignment.job.revision))
	txn.txn.Mutations = append(txn.txn.Mutations, Mutation{Key: key, Value: value})
	txn.assignments[id] = assignment
	txn.exits[assignment] = maps.Clone(assignment.unrecordedExits)
	return len(value)
}

// appendCompletion sets a job done whose slices are all complete: this part's, and the others
// named, of which as many as fit are dropped with it.
func (w *pendingTxn) appendCompletion(assignment *Assignment, others []Condition, drops int) int {
	job := assignment.job
	key, value := records.AssignmentKey(w.shard.name, job.id), job.encode(records.StateDone)
	w.txn.Conditions = append(append(w.txn.Conditions, Condition{key, assignment.revision}, Condition{job.key(), job.revision}), others...)
	w.txn.Mutations = append(w.txn.Mutations, Mutation{Key: job.key(), Value: value}, Mutation{Key: key})
	for _, o := range others[:drops] {
		w.txn.Mutations = append(w.txn.Mutations, Mutation{Key: o.Key})
	}
	w.doneJobs = append(w.doneJobs, job)
	w.droppedJobs = append(w.droppedJobs, job.id)
	w.jobChanges = append(w.jobChanges, Item{Key: job.key(), Value: value})
	w.assignments[job.id], w.exits[assignment] = assignment, maps.Clone(assignment.unrecordedExits)
	return len(value)
}

// completion is a job of several parts whose slices were all seen complete.
type completion struct {
	assignment  *Assignment
	jobRevision uint64 // of the job
	others      []Condition
}

// appendCompletions adds such jobs to a transaction. They wait their turn like anything else
// that is recorded: written only if nothing was under way when the last slice was
// read, they were not written for minutes in parts where something always is.
func (c *Core) appendCompletions(shard *Shard, txn *pendingTxn) int {
	size := 0
	kept := shard.completions[:0]
	for _, f := range shard.completions {
		assignment := f.assignment
		job := assignment.job
		if shard.assignments[job.id] != assignment || job.state != model.JobPending || job.revision != f.jobRevision || !assignment.complete() || len(assignment.unrecordedExits) > 0 {
			assignment.completing, assignment.nextCompletionCheckAt = false, 0
			continue
		}
		drops := min(len(f.others), c.cfg.MaxTxnOps-2) // the rest is dropped by its owners
		if n := len(txn.txn.Mutations); n > 0 && (n+2+drops > c.maxRecordOps() || len(txn.txn.Conditions)+2+len(f.others) > 4*c.cfg.MaxTxnOps || size > 40<<10) {
			kept = append(kept, f)
			continue
		}
		size += txn.appendCompletion(assignment, f.others, drops)
		assignment.completing = false
		delete(shard.dirty, job.id)
	}
	shard.completions = kept
	return size
}

// isComplete reports whether an assignment that was read has neither waiting nor placed tasks.
func isComplete(r ReadResult) bool {
	if r.Outcome != OutcomeOK || !r.Found {
		return false
	}
	v, err := records.DecodeAssignment(r.Item.Value)
	return err == nil && len(v.Waiting) == 0 && len(v.Placed) == 0
}

// completeSharedJob sets a job of several parts done once every slice is
// complete. Each owner looks after its own slice is recorded complete, so the
// last of them sees all.
func (c *Core) completeSharedJob(shard *Shard, assignment *Assignment) {
	if assignment.completing || c.now < assignment.nextCompletionCheckAt {
		return
	}
	assignment.completing, assignment.nextCompletionCheckAt = true, c.now+5*time.Second
	token, id := shard.claim.Token(), assignment.job.id
	c.readKey(assignment.job.key(), true, func(jobResult ReadResult) {
		assignment.completing = false
		if jobResult.Outcome != OutcomeOK || !jobResult.Found || !shard.ownedWith(token) || shard.assignments[id] != assignment {
			return
		}
		c.applyJobRecord(id, jobResult.Item.Value, jobResult.Item.Revision)
		job := assignment.job
		if job.state != model.JobPending || job.revision != jobResult.Item.Revision || !assignment.complete() {
			return
		}
		f := &completion{assignment: assignment, jobRevision: job.revision}
		left, all := 0, true
		for _, zone := range sorted(job.split) {
			if zone == shard.name {
				continue
			}
			left++
			key := records.AssignmentKey(zone, id)
			c.readKey(key, true, func(r ReadResult) {
				left--
				if !isComplete(r) {
					all = false
				} else {
					f.others = append(f.others, Condition{key, r.Item.Revision})
				}
				if left > 0 || !all || !shard.ownedWith(token) || shard.assignments[id] != assignment {
					return
				}
				assignment.completing = true // until it is written
				shard.completions = append(shard.completions, f)
			})
		}
	})
}
