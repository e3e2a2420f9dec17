package core

import (
	"maps"
	"math"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
	"slices"
	"time"
)

// Job is what this controller knows of an unfinished job.
type Job struct {
	id              string
	spec            model.JobSpec
	state           model.JobState // Pending while unfinished
	revision        uint64
	arrivalRevision uint64 // order of arrival
	split           map[string]records.TaskRanges
	moves           int
	maxRecordBytes  int           // the most it takes in a slice's value, 0: not reckoned yet
	knownSince      time.Duration // when it became known here
	team            int
	class           int
	image           int    // -1: none
	fittingTypes    uint64 // types that hold a task, and of how many that was reckoned
	fittingTypesOf  int
	holdUntil       time.Duration // no launches before, after workers refused it
	succeeded       bool          // a task of it has ended well
	runTimes        runTimes      // of its tasks that ended well, and by machine
	runTimesByHost  map[string]runTimes
	failures        int // of its tasks, since it became known here
	failedOn        []failedHost
	failedTrials    int           // trials that failed since it came into doubt, 0: not in doubt
	nextTrialAt     time.Duration // when the next trial may start
}

func (j *Job) key() string { return records.JobKey(j.id) }

func (j *Job) record(state string) *records.Job {
	return &records.Job{Spec: j.spec, State: state, Split: j.split, Moves: j.moves}
}

func (j *Job) encode(state string) []byte { return j.record(state).Encode() }

// applyJobRecord applies a job's key as read, written or told. Final standings are
// kept for ever; they never change again.
func (c *Core) applyJobRecord(id string, value []byte, revision uint64) *Job {
	if _, over := c.finished[id]; over {
		return nil
	}
	job := c.jobs[id]
	if job != nil && revision <= job.revision {
		return job
	}
	v, err := records.DecodeJob(value)
	if err != nil {
		return job
	}
	if state, final := v.FinalState(); final {
		if state == model.JobCancelled {
			notice := Item{records.JobKey(id), records.CancelledJob(), revision}
			c.recentCancellations = append(c.recentCancellations, cancellationNotice{c.now, c.gossipSeq + 1, notice})
		}
		c.finishJob(id, state)
		return nil
	}
	if job == nil {
		job = c.newJob(id, v.Spec, revision)
		c.jobs[id] = job
		if len(c.types) > 0 {
			c.rememberClassTypes(job)
		}
	}
	moved := v.Moves > job.moves
	job.revision, job.split, job.moves, job.maxRecordBytes = revision, v.Split, v.Moves, 0
	for _, zone := range sorted(v.Split) {
		r := v.Split[zone]
		z := c.zones.lookup(zone)
		if z < 0 || !c.shards[z].servedHere() {
			continue
		}
		shard := c.shards[z]
		if shard.assignments[id] != nil {
			if moved {
				c.checkForMovedTasks(shard, id)
			}
			continue
		}
		if job.moves == 0 {
			record := c.encodeAssignment(&records.Assignment{Waiting: r})
			c.adoptAssignment(shard, id, record, revision)
			continue
		}
		c.readAssignment(shard, id)
	}
	return job
}

// readAssignment takes up a slice that the part should have.
func (c *Core) readAssignment(shard *Shard, id string) {
	term := shard.claim.Term()
	valid := func() bool { return shard.servedHere() && shard.claim.Term() == term }
	c.readUntilAnswered(records.AssignmentKey(shard.name, id), valid, func(res ReadResult) {
		if res.Found {
			c.applyAssignmentRecord(shard, id, res.Item.Value, res.Item.Revision)
		}
	})
}

// readUntilAnswered reads a key, again and again until there is an answer, as long as
// that is of use. A call refused for want of tokens must not have anything
// bigger repeated: after a crash of all controllers that never came to an end.
func (c *Core) readUntilAnswered(key string, valid func() bool, then func(ReadResult)) {
	c.readKey(key, true, func(res ReadResult) {
		switch {
		case !valid():
		case res.Outcome == OutcomeOK:
			then(res)
		default:
			c.after(retryStoreCall, func() {
				if valid() {
					c.readUntilAnswered(key, valid, then)
				}
			})
		}
	})
}

// compareRevisions finds out, with one request, which jobs still have the stamps given; 0
// is for one that does not exist. What a refusal names differs; of the rest it
// says nothing, for it need not name every key. When it names none, all are taken
// to differ.
func (c *Core) compareRevisions(ids []string, revisions map[string]uint64, then func(out Outcome, rest, differ []string)) {
	var t Txn
	for _, id := range ids {
		t.Conditions = append(t.Conditions, Condition{records.JobKey(id), revisions[id]})
	}
	c.commit(t, true, func(res CommitResult) {
		if res.Outcome != OutcomeRefused {
			then(res.Outcome, ids, nil)
			return
		}
		var rest, differ []string
		for _, id := range ids {
			if slices.Contains(res.FailedKeys, records.JobKey(id)) {
				differ = append(differ, id)
			} else {
				rest = append(rest, id)
			}
		}
		if len(differ) == 0 {
			rest, differ = nil, ids
		}
		then(OutcomeRefused, rest, differ)
	})
}

// compareAllRevisions does so for any number of jobs, until there is an answer for each.
func (c *Core) compareAllRevisions(ids []string, revisions map[string]uint64, valid func() bool, same, differs func(id string)) {
	if len(ids) == 0 || !valid() {
		return
	}
	n := min(len(ids), 4*c.cfg.MaxTxnOps)
	c.compareRevisions(ids[:n:n], revisions, func(out Outcome, rest, differ []string) {
		if !valid() {
			return
		}
		switch out {
		case OutcomeOK:
			for _, id := range rest {
				same(id)
			}
			rest = nil
		case OutcomeRefused:
			for _, id := range differ {
				differs(id)
			}
		default:
			c.after(retryStoreCall, func() { c.compareAllRevisions(ids, revisions, valid, same, differs) })
			return
		}
		c.compareAllRevisions(append(rest, ids[n:]...), revisions, valid, same, differs)
	})
}

func (c *Core) newJob(id string, spec model.JobSpec, revision uint64) *Job {
	spec.ID = id
	job := &Job{id: id, spec: spec, arrivalRevision: revision, knownSince: c.now, image: -1, team: c.teams.lookup(spec.Team), class: c.classes.indexOf(spec.Class)}
	if spec.Image != "" {
		job.image = c.imageIndex(&spec)
	}
	return job
}

// imageIndex is the dense index of a job's image; its size is what jobs state.
func (c *Core) imageIndex(spec *model.JobSpec) int {
	i := c.images.indexOf(spec.Image)
	for len(c.imageGB) <= i {
		c.imageGB = append(c.imageGB, 0)
	}
	c.imageGB[i] = max(c.imageGB[i], spec.ImageGB)
	return i
}

// finishJob records that a job is over.
func (c *Core) finishJob(id string, s model.JobState) {
	c.finished[id] = s
	job := c.jobs[id]
	delete(c.jobs, id)
	if job == nil {
		job = &Job{id: id}
	}
	job.state = s
	for _, shard := range c.shards {
		assignment := shard.assignments[id]
		if !shard.claim.Owned() || assignment == nil {
			continue
		}
		assignment.job.state = s
		shard.needsPlan = true
		c.windDownAssignment(shard, assignment)
	}
}

// rereadUnfinishedJobs looks at every unfinished job again, after changes may have been
// missed.
func (c *Core) rereadUnfinishedJobs() {
	ids, revisions := sorted(c.jobs), map[string]uint64{}
	for _, id := range ids {
		revisions[id] = c.jobs[id].revision
	}
	always := func() bool { return true }
	c.compareAllRevisions(ids, revisions, always, func(string) {}, func(id string) {
		c.readUntilAnswered(records.JobKey(id), always, func(res ReadResult) {
			if res.Found {
				c.applyJobRecord(id, res.Item.Value, res.Item.Revision)
			}
		})
	})
}

// allowedOn says whether a machine of the kind may run the job's tasks.
func (c *Core) allowedOn(job *Job, kind int) bool {
	spot, rest := kind&1 == 1, kind/2
	typ, zone := rest%len(c.types), rest/len(c.types)
	if spot && !job.spec.Spot || job.spec.Zone != "" && c.zones.names[zone] != job.spec.Zone {
		return false
	}
	if len(job.spec.Types) == 0 {
		return true
	}
	for _, t := range job.spec.Types {
		if c.types[typ].Name == t {
			return true
		}
	}
	return false
}

// submission is a job on its way into the store, with all who wait for it.
type submission struct {
	spec         model.JobSpec
	split        map[string]records.TaskRanges
	requests     []uint64
	sent         bool     // its transaction is under way
	lateRequests []uint64 // those who asked since then
	ownTxn       bool
	arrived      time.Duration
}

const (
	maxBatch                   = 256
	maxCommits                 = 8
	retryAfterBusy             = 1
	retryAfterStoreUnavailable = 2
)

func (c *Core) rejectRequest(req uint64, status, after int, why string) {
	c.debug("refused", "status", status, "why", why)
	c.emit(UserReply{RequestID: req, Status: status, RetryAfter: after, Text: why})
}

// handleSubmission takes a submission. A job known already gets its state, whatever
// else the body says.
func (c *Core) handleSubmission(e JobSubmission) {
	id := e.Spec.ID
	if id == "" {
		c.rejectRequest(e.RequestID, 400, 0, e.Malformed)
		return
	}
	if s, over := c.finished[id]; over {
		c.emit(UserReply{RequestID: e.RequestID, Status: 200, Job: model.JobStatus{ID: id, State: s}})
		return
	}
	if submission := c.submissionsByJob[id]; submission != nil {
		if submission.sent {
			submission.lateRequests = append(submission.lateRequests, e.RequestID)
		} else {
			submission.requests = append(submission.requests, e.RequestID)
		}
		return
	}
	why, status := e.Malformed, 400
	if why == "" {
		if len(c.types) == 0 {
			c.rejectRequest(e.RequestID, 503, retryAfterStoreUnavailable, "machine types not known yet")
			return
		}
		why, status = c.whyNeverRuns(&e.Spec), 422
	}
	if why != "" || c.jobs[id] != nil {
		c.lookUpJob(e.RequestID, id, func() { c.rejectRequest(e.RequestID, status, 0, why) })
		return
	}
	if !c.storeReachable() {
		c.rejectRequest(e.RequestID, 503, retryAfterStoreUnavailable, "state service out of reach")
		return
	}
	if len(c.submissionQueue) >= maxBatch {
		c.rejectRequest(e.RequestID, 503, retryAfterBusy, "too many submissions at once")
		return
	}
	b := &submission{spec: e.Spec, requests: []uint64{e.RequestID}, arrived: c.now}
	c.submissionQueue = append(c.submissionQueue, b)
	c.submissionsByJob[id] = b
}

// answerLateRequests answers those who repeated a submission while its transaction was under
// way. It may have been carried out long before its answer came; the job may have
// been withdrawn or done since, and its user told so elsewhere.
func (c *Core) answerLateRequests(b *submission) {
	for _, req := range b.lateRequests {
		c.lookUpJob(req, b.spec.ID, func() { c.rejectRequest(req, 503, retryAfterBusy, "changed meanwhile") })
	}
	b.lateRequests = nil
}

// requeueSubmission puts a submission back whose transaction was not carried out.
func (c *Core) requeueSubmission(b *submission) {
	b.sent = false
	b.requests, b.lateRequests = append(b.requests, b.lateRequests...), nil
	c.submissionQueue = append(c.submissionQueue, b)
}

// whyNeverRuns says why a job can never run, or nothing.
func (c *Core) whyNeverRuns(s *model.JobSpec) string {
	team := c.teams.lookup(s.Team)
	if team < 0 {
		return "unknown team"
	}
	limit, times := c.teamConfigs[team].Limit, 1.0
	if s.Service || s.Gang {
		times = float64(s.Tasks)
	}
	if limit.Cores > 0 && s.Need.Cores*times > limit.Cores+1e-6 || limit.GPUs > 0 && s.Need.GPUs*times > limit.GPUs+1e-6 {
		return "needs more than the team's limit"
	}
	if s.OneZone && s.SpreadZones && s.Tasks > 1 {
		return "OneZone and Apart: tasks can't be both in one zone and apart"
	}
	if value := (&Job{spec: *s}).encode(""); c.cfg.MaxValueBytes > 0 && len(value) > c.cfg.MaxValueBytes/4 {
		return "names too long to be kept"
	}
	zones := map[string]bool{}
	for i := range c.types {
		t := &c.types[i]
		if s.Need.FitsIn(t.Capacity) && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) {
			for _, z := range t.Zones {
				zones[z] = zones[z] || s.Zone == "" || s.Zone == z
			}
		}
	}
	maps.DeleteFunc(zones, func(_ string, allowed bool) bool { return !allowed })
	switch {
	case len(zones) == 0:
		return "no allowed machine type holds a task in a zone that is allowed"
	case len(zones) == 1 && s.SpreadZones && s.Tasks > 1:
		return "Apart: tasks must be apart but can run in one zone only"
	}
	return ""
}

// lookUpJob answers with the job's state if the store has it, else does absent.
func (c *Core) lookUpJob(req uint64, id string, absent func()) {
	c.readKey(records.JobKey(id), false, func(res ReadResult) {
		switch {
		case res.Outcome != OutcomeOK:
			c.rejectRequest(req, 503, retryAfterBusy, "state service out of reach")
		case !res.Found:
			absent()
		default:
			c.applyJobRecord(id, res.Item.Value, res.Item.Revision)
			c.emit(UserReply{RequestID: req, Status: 200, Job: c.jobStatus(id)})
		}
	})
}

func (c *Core) jobStatus(id string) model.JobStatus {
	r := model.JobStatus{ID: id}
	if s, over := c.finished[id]; over {
		r.State = s
		return r
	}
	for _, shard := range c.shards {
		if shard.servedHere() {
			if assignment := shard.assignments[id]; assignment != nil {
				r.Done += assignment.done.Count()
				r.Running += assignment.running()
			}
			continue
		}
		for _, s := range c.jobCounts[shard.name] {
			if s.ID == id {
				r.Done += s.Done
				r.Running += s.Running
			}
		}
	}
	if r.Running > 0 {
		r.State = model.JobRunning
	}
	return r
}

// flushSubmissions commits what has gathered, as much at a time as one
// transaction takes.
func (c *Core) flushSubmissions() {
	for len(c.submissionQueue) > 0 && c.openCommits < maxCommits && c.now >= c.nextBatchAt {
		var t Txn
		var group []*submission
		size := 0
		for len(c.submissionQueue) > 0 {
			submission := c.submissionQueue[0]
			if c.now > submission.arrived+3500*time.Millisecond {
				c.rejectSubmission(submission, 503, "state service too slow")
				c.submissionQueue = c.submissionQueue[1:]
				continue
			}
			if submission.split == nil {
				submission.split = c.distribute(&submission.spec)
			}
			if ops := len(submission.split) + 1; len(group) > 0 && (submission.ownTxn || len(t.Mutations)+ops > c.cfg.MaxTxnOps) {
				break
			}
			job := Job{id: submission.spec.ID, spec: submission.spec, split: submission.split}
			value := job.encode("")
			bytes := (1 + len(submission.split)) * (len(value) + 200)
			if len(group) > 0 && size+bytes > 48<<10 {
				break
			}
			size += bytes
			t.Conditions = append(t.Conditions, Condition{job.key(), 0})
			t.Mutations = append(t.Mutations, Mutation{Key: job.key(), Value: value})
			for _, zone := range c.zones.names {
				if r, ok := submission.split[zone]; ok {
					record := c.encodeAssignment(&records.Assignment{Waiting: r, Job: job.record("")})
					t.Mutations = append(t.Mutations, Mutation{Key: records.AssignmentKey(zone, submission.spec.ID), Value: record})
				}
			}
			group = append(group, submission)
			submission.sent = true
			c.submissionQueue = c.submissionQueue[1:]
			if submission.ownTxn {
				break
			}
		}
		if len(group) == 0 {
			return
		}
		c.emit(Observation{MetricCommitBatch, float64(len(group))})
		c.openCommits++
		c.commit(t, true, func(res CommitResult) {
			c.openCommits--
			c.finishSubmissions(group, t, res)
		})
	}
}

func (c *Core) finishSubmissions(group []*submission, t Txn, res CommitResult) {
	switch res.Outcome {
	case OutcomeOK:
		var changes []Item
		for _, s := range t.Mutations {
			if key := records.ParseKey(s.Key); key.Kind == records.KindJob {
				changes = append(changes, Item{s.Key, s.Value, res.Revision})
				c.applyJobRecord(key.Job, s.Value, res.Revision)
			}
		}
		c.broadcast(Message{Jobs: changes})
		for _, submission := range group {
			delete(c.submissionsByJob, submission.spec.ID)
			c.info("job accepted", "job", submission.spec.ID, "class", submission.spec.Class, "tasks", submission.spec.Tasks, "parts", len(submission.split), "after", seconds(c.now-submission.arrived))
			for i, req := range submission.requests {
				status := 201
				if i > 0 {
					status = 200
				}
				c.emit(UserReply{RequestID: req, Status: status, Job: c.jobStatus(submission.spec.ID)})
			}
			c.answerLateRequests(submission)
		}
	case OutcomeRefused:
		// Some of them are known already; the others go one by one.
		for _, submission := range group {
			if !slices.Contains(res.FailedKeys, records.JobKey(submission.spec.ID)) {
				submission.ownTxn = true
				c.requeueSubmission(submission)
				continue
			}
			delete(c.submissionsByJob, submission.spec.ID)
			for _, req := range submission.requests {
				c.lookUpJob(req, submission.spec.ID, func() { c.rejectRequest(req, 503, retryAfterBusy, "changed meanwhile") })
			}
			c.answerLateRequests(submission)
		}
	case OutcomeUnknown:
		// It may have been accepted: say so if it was, else have it repeated.
		for _, submission := range group {
			delete(c.submissionsByJob, submission.spec.ID)
			for _, req := range submission.requests {
				c.lookUpJob(req, submission.spec.ID, func() { c.rejectRequest(req, 503, retryAfterBusy, "no answer from the state service") })
			}
			c.answerLateRequests(submission)
		}
	default:
		// Not carried out, mostly for want of tokens. One more try while it is
		// young; then its user is told at once when to come back.
		c.nextBatchAt = c.now + 100*time.Millisecond
		for _, submission := range group {
			if c.now < submission.arrived+400*time.Millisecond {
				c.requeueSubmission(submission)
			} else {
				c.rejectSubmission(submission, 503, "state service refused")
			}
		}
	}
}

func (c *Core) rejectSubmission(b *submission, status int, why string) {
	delete(c.submissionsByJob, b.spec.ID)
	for _, req := range append(b.requests, b.lateRequests...) {
		c.rejectRequest(req, status, retryAfterBusy, why)
	}
}

// handleQuery answers a user who asks for a job.
func (c *Core) handleQuery(e JobQuery) {
	if s, over := c.finished[e.ID]; over {
		c.emit(UserReply{RequestID: e.RequestID, Status: 200, Job: model.JobStatus{ID: e.ID, State: s}})
		return
	}
	if c.openQueries[e.ID] == nil {
		if len(c.openQueries) >= maxOpenQueries {
			c.rejectRequest(e.RequestID, 503, retryAfterBusy, "too many questions at once")
			return
		}
		c.queryOrder = append(c.queryOrder, e.ID)
	}
	c.openQueries[e.ID] = append(c.openQueries[e.ID], e.RequestID)
}

const (
	maxOpenQueries = 1024
	verifyInterval = 50 * time.Millisecond
)

// flushQueries checks with one request that the jobs users asked for are as this
// controller knows them: a transaction that only compares says of many stamps
// at once that they hold now, which is as good as reading each key. One read
// per question would take most of what the state service allows.
func (c *Core) flushQueries() {
	if len(c.queryOrder) == 0 || c.openVerifications > 1 || c.now < c.nextVerifyAt {
		return
	}
	n := min(len(c.queryOrder), 4*c.cfg.MaxTxnOps)
	ids := append([]string(nil), c.queryOrder[:n]...)
	c.queryOrder = append(c.queryOrder[:0], c.queryOrder[n:]...)
	reqs := map[string][]uint64{}
	for _, id := range ids {
		reqs[id] = c.openQueries[id]
		delete(c.openQueries, id)
	}
	c.nextVerifyAt = c.now + verifyInterval
	c.verifyQueries(ids, reqs)
}

// verifyQueries answers the questions about the jobs given.
func (c *Core) verifyQueries(ids []string, reqs map[string][]uint64) {
	revisions := make(map[string]uint64, len(ids))
	for _, id := range ids {
		if j := c.jobs[id]; j != nil {
			revisions[id] = j.revision
		}
	}
	c.openVerifications++
	c.compareRevisions(ids, revisions, func(out Outcome, rest, differ []string) {
		c.openVerifications--
		switch out {
		case OutcomeOK:
			for _, id := range rest {
				for _, req := range reqs[id] {
					c.answerQuery(req, id, revisions[id] > 0)
				}
			}
		case OutcomeRefused:
			for _, id := range differ {
				for _, req := range reqs[id] {
					c.lookUpJob(req, id, func() { c.rejectRequest(req, 404, 0, "no such job") })
				}
			}
			if len(rest) > 0 {
				c.verifyQueries(rest, reqs)
			}
		default:
			c.rejectQueries(ids, reqs)
		}
	})
}

// answerQuery answers with what the comparison has shown to hold. A job may have
// ended in the meantime; its end is then known here and is newer.
func (c *Core) answerQuery(req uint64, id string, exists bool) {
	if _, over := c.finished[id]; !exists && !over && c.jobs[id] == nil {
		c.rejectRequest(req, 404, 0, "no such job")
		return
	}
	c.emit(UserReply{RequestID: req, Status: 200, Job: c.jobStatus(id)})
}

func (c *Core) rejectQueries(ids []string, reqs map[string][]uint64) {
	for _, id := range ids {
		for _, req := range reqs[id] {
			c.rejectRequest(req, 503, retryAfterBusy, "state service out of reach")
		}
	}
}

// handleCancellation cancels a job.
func (c *Core) handleCancellation(e JobCancellation) { c.tryCancel(e, 4) }

func (c *Core) tryCancel(e JobCancellation, tries int) {
	if s, over := c.finished[e.ID]; over {
		c.emit(UserReply{RequestID: e.RequestID, Status: 200, Job: model.JobStatus{ID: e.ID, State: s}})
		return
	}
	if tries == 0 {
		c.rejectRequest(e.RequestID, 503, retryAfterBusy, "changing too fast")
		return
	}
	c.readKey(records.JobKey(e.ID), true, func(res ReadResult) {
		if res.Outcome != OutcomeOK {
			c.rejectRequest(e.RequestID, 503, retryAfterBusy, "state service out of reach")
			return
		}
		if !res.Found {
			c.rejectRequest(e.RequestID, 404, 0, "no such job")
			return
		}
		c.applyJobRecord(e.ID, res.Item.Value, res.Item.Revision)
		job := c.jobs[e.ID]
		if job == nil || job.revision != res.Item.Revision {
			c.tryCancel(e, tries-1)
			return
		}
		key, value := job.key(), job.encode(records.StateCancelled)
		t := Txn{Conditions: []Condition{{key, job.revision}}, Mutations: []Mutation{{Key: key, Value: value}}}
		c.commit(t, true, func(res CommitResult) {
			if res.Outcome != OutcomeOK {
				c.tryCancel(e, tries-1)
				return
			}
			c.info("job withdrawn", "job", e.ID)
			c.applyJobRecord(e.ID, value, res.Revision)
			c.broadcast(Message{Jobs: []Item{{key, value, res.Revision}}})
			c.emit(UserReply{RequestID: e.RequestID, Status: 200, Job: model.JobStatus{ID: e.ID, State: model.JobCancelled}})
		})
	})
}

// estimatedRunTime is the expected run time of a job's task, corrected by what was
// seen of its class.
func (c *Core) estimatedRunTime(job *Job) float64 {
	e := job.spec.EstimateSeconds
	if e <= 0 {
		e = 3600
		if !job.spec.Service {
			e = 30
		}
	}
	if job.class < len(c.runTimeRatio) && c.runTimeRatio[job.class] > 0 {
		e *= c.runTimeRatio[job.class]
	}
	return e
}

// learnRunTime learns from a completed task of the class.
func (c *Core) learnRunTime(job *Job, seconds float64) {
	if job.spec.EstimateSeconds <= 0 || seconds <= 0 {
		return
	}
	for len(c.runTimeRatio) <= job.class {
		c.runTimeRatio = append(c.runTimeRatio, 1)
	}
	r := math.Log(c.runTimeRatio[job.class])
	x := math.Log(min(max(seconds/job.spec.EstimateSeconds, 0.1), 10))
	c.runTimeRatio[job.class] = math.Exp(r + 0.05*(x-r))
}
