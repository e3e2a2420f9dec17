package core

import (
	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// pendingTxn is a transaction of a shard's owner that is being built or in flight, together
// with the changes to memory that follow once its outcome is known. Every transaction contains
// the shard's ownerCondition, so that no transaction of a former owner is applied after a new
// claim.
type pendingTxn struct {
	shard              *Shard
	txn                Txn
	assignments        map[string]*Assignment           // assignments that it records, by job
	exits              map[*Assignment]map[int]taskExit // task exits that it records
	placements         []*Task                          // placements that it records
	quotas             map[*TeamQuota]records.Grants    // grants that it writes
	completedJobs      []*Job                           // jobs that it marks done
	jobChanges         []Item                           // job records that it writes
	deletedAssignments []string                         // jobs whose assignment in this shard it deletes
	movedAssignments   []Item                           // assignments of other shards that it changes by moving tasks
	onRollBack         func()                           // undoes changes made in memory before the outcome is known; may be nil
}

// newPendingTxn returns a transaction that contains only the ownerCondition.
func newPendingTxn(shard *Shard) *pendingTxn {
	return &pendingTxn{
		shard:       shard,
		txn:         Txn{Conditions: []Condition{shard.ownerCondition()}},
		assignments: map[string]*Assignment{},
		exits:       map[*Assignment]map[int]taskExit{},
		quotas:      map[*TeamQuota]records.Grants{},
	}
}

// addCondition requires that the key has the given revision; 0 means that it does not exist.
func (p *pendingTxn) addCondition(key string, revision uint64) {
	p.txn.Conditions = append(p.txn.Conditions, Condition{key, revision})
}

func (p *pendingTxn) put(key string, value []byte) {
	p.txn.Mutations = append(p.txn.Mutations, Mutation{Key: key, Value: value})
}

// putGrants writes a team's grants, on the condition that they have not changed since they were
// read. Without the condition two owners could claim the same free quota, or one could keep a
// grant that it has released (rule quota).
func (p *pendingTxn) putGrants(quota *TeamQuota, grants records.Grants) {
	p.quotas[quota] = grants
	p.addCondition(quota.key(), quota.revision)
	p.put(quota.key(), grants.Encode())
}

func (p *pendingTxn) delete(key string) {
	p.txn.Mutations = append(p.txn.Mutations, Mutation{Key: key})
}

// sendTxn sends an owner's transaction. A shard has at most one transaction in flight.
func (c *Core) sendTxn(pending *pendingTxn) {
	shard := pending.shard
	term := shard.claim.Term()
	shard.txnPending = true
	c.commitWith(CommitTxn{Txn: pending.txn, Urgent: true, Background: true}, func(res CommitResult) {
		if shard.isOwnedInTerm(term) {
			c.onTxnResult(pending, res)
		}
	})
}

// onTxnResult applies the outcome of an owner's transaction to memory.
func (c *Core) onTxnResult(pending *pendingTxn, res CommitResult) {
	shard := pending.shard
	switch res.Outcome {
	case OutcomeOK:
		shard.txnPending = false
		c.applyCommitted(pending, res.Revision)
	case OutcomeRefused:
		c.stats.Conflicts++
		c.debug("transaction refused by the state service; rolling back its placements", "shard", shard.name, "token", shard.claim.Token(), "keys", res.FailedKeys)
		c.rollBack(pending)
		for _, key := range res.FailedKeys {
			shard.keysToReread[key] = false
		}
		if len(res.FailedKeys) == 0 {
			shard.txnPending = false
			shard.retryNotBefore = c.now + stateServiceRetryDelay
		}
	case OutcomeNotSent:
		c.rollBack(pending)
		shard.txnPending = false
		shard.retryNotBefore = c.now + stateServiceRetryDelay
	default:
		if pending.onRollBack != nil {
			// The tasks of an unconfirmed move must stay in this assignment: without them it
			// would look complete.
			pending.onRollBack()
		}
		// The outcome is unknown. The affected keys are read again before the next transaction.
		// Until then the placements keep their reservations and are not launched.
		for _, condition := range pending.txn.Conditions {
			shard.keysToReread[condition.Key] = false
		}
		c.markUnrecordedAgain(pending)
	}
	c.rereadKeys(shard)
}

// applyCommitted updates memory after a transaction was committed.
func (c *Core) applyCommitted(pending *pendingTxn, revision uint64) {
	shard := pending.shard
	c.applyCommittedQuotas(pending, revision)
	for id, assignment := range pending.assignments {
		assignment.revision = max(assignment.revision, revision)
		for i, exit := range pending.exits[assignment] {
			if assignment.unrecordedExits[i] == exit {
				delete(assignment.unrecordedExits, i)
			}
		}
		if assignment.isComplete() && len(assignment.unrecordedExits) == 0 && assignment.job.state == model.JobPending {
			shard.unrecordedAssignments[id] = assignment
		}
	}
	for _, task := range pending.placements {
		if task.phase == taskPlacing {
			c.handlePlacementDurable(shard, task)
		}
	}
	for _, job := range pending.completedJobs {
		c.info("job done", "job", job.id, "shard", shard.name, "token", shard.claim.Token())
		c.finishJob(job.id, model.JobDone)
	}
	for _, id := range pending.deletedAssignments {
		delete(shard.assignments, id)
		delete(shard.unrecordedAssignments, id)
	}
	c.broadcastChanges(pending, revision)
	shard.needsPlan = true
}

// applyCommittedQuotas updates the grants in memory that the transaction wrote, and broadcasts
// them.
func (c *Core) applyCommittedQuotas(pending *pendingTxn, revision uint64) {
	var changed []Item
	for _, quota := range c.quotas {
		grants, ok := pending.quotas[quota]
		if !ok {
			continue
		}
		if revision > quota.revision {
			quota.revision, quota.grants = revision, grants
		}
		changed = append(changed, Item{quota.key(), grants.Encode(), revision})
	}
	if len(changed) > 0 {
		c.broadcast(Message{Quotas: changed})
	}
}

// broadcastChanges applies a committed transaction's changes to jobs and to other shards'
// assignments here, and sends them to the other controllers.
func (c *Core) broadcastChanges(pending *pendingTxn, revision uint64) {
	for i := range pending.jobChanges {
		change := &pending.jobChanges[i]
		change.Revision = revision
		c.applyJobRecord(records.ParseKey(change.Key).Job, change.Value, revision)
	}
	for i := range pending.movedAssignments {
		change := &pending.movedAssignments[i]
		change.Revision = revision
		key := records.ParseKey(change.Key)
		if to := c.shards[c.zoneIndexOrAdd(key.Zone)]; to.isServedHere() {
			c.applyAssignmentRecord(to, key.Job, change.Value, revision)
		}
	}
	if len(pending.jobChanges)+len(pending.movedAssignments) > 0 {
		c.broadcast(Message{Jobs: pending.jobChanges, Assignments: pending.movedAssignments})
	}
}

// rollBack undoes the placements of a transaction that was not committed.
func (c *Core) rollBack(pending *pendingTxn) {
	if pending.onRollBack != nil {
		pending.onRollBack()
	}
	for _, task := range pending.placements {
		if task.phase == taskPlacing {
			c.rollBackPlacement(pending.shard, task)
		}
	}
	c.markUnrecordedAgain(pending)
	pending.shard.needsPlan = true
}

// markUnrecordedAgain marks every assignment that the transaction should have recorded or
// deleted, so that the next transaction includes it.
func (c *Core) markUnrecordedAgain(pending *pendingTxn) {
	shard := pending.shard
	for id := range pending.assignments {
		shard.markUnrecorded(id)
	}
	for _, id := range pending.deletedAssignments {
		shard.markUnrecorded(id)
	}
}

// markUnrecorded marks the job's assignment as to be recorded, if the shard has one.
func (s *Shard) markUnrecorded(job string) {
	if assignment := s.assignments[job]; assignment != nil {
		s.unrecordedAssignments[job] = assignment
	}
}

// rereadKeys reads the keys in keysToReread again, whose state is unknown because a transaction on
// them was refused or its outcome is unknown. The shard commits nothing until all of them are
// known. Once the keys have changed, a delayed copy of the transaction fails by its conditions.
func (c *Core) rereadKeys(shard *Shard) {
	if len(shard.keysToReread) == 0 || c.now < shard.retryNotBefore {
		return
	}
	term := shard.claim.Term()
	for _, key := range sortedKeys(shard.keysToReread) {
		if reading := shard.keysToReread[key]; reading {
			continue
		}
		shard.keysToReread[key] = true
		c.readKey(key, true, func(res ReadResult) {
			if shard.isOwnedInTerm(term) {
				c.handleRereadResult(shard, term, key, res)
			}
		})
	}
}

// handleRereadResult applies the result of reading one of keysToReread. The shard may commit again
// once all of these keys have been read.
func (c *Core) handleRereadResult(shard *Shard, term uint64, key string, res ReadResult) {
	if res.Outcome != OutcomeOK {
		shard.keysToReread[key] = false
		shard.retryNotBefore = c.now + stateServiceRetryDelay
		return
	}
	c.applyRereadKey(shard, key, res)
	if !shard.isOwnedInTerm(term) {
		return
	}
	delete(shard.keysToReread, key)
	if len(shard.keysToReread) == 0 {
		shard.txnPending = false
		shard.needsPlan = true
	}
}

// applyRereadKey applies a key that was read again because a transaction on it was refused or its
// outcome is unknown.
func (c *Core) applyRereadKey(shard *Shard, key string, res ReadResult) {
	switch k := records.ParseKey(key); k.Kind {
	case records.KindShard:
		record, err := records.DecodeShard(res.Item.Value)
		isRaised := res.Found && err == nil && c.adoptRaisedToken(shard, record, res.Item.Revision)
		if !isRaised && (!res.Found || res.Item.Revision != shard.claim.Token()) {
			c.endOwnership(shard, "the claim on the shard's key has changed")
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
