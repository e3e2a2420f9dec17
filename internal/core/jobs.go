package core

import (
	"encoding/json"
	"maps"
	"math"
	"time"
)

// job is what this controller knows of an unfinished job.
type job struct {
	id       string
	spec     Spec
	standing Standing // Pending while unfinished
	stamp    uint64
	born     uint64 // order of arrival
	split    map[string]ranges
	moves    int
	bytes    int           // the most it takes in a slice's value, 0: not reckoned yet
	since    time.Duration // when it became known here
	team     int
	class    int
	image    int    // -1: none
	fits     uint64 // types that hold a task, and of how many that was reckoned
	fitsOf   int
	holdTo   time.Duration // no launches before, after workers refused it
	good     bool          // a task of it has ended well
	ranAll   runTimes      // of its tasks that ended well, and by machine
	ranOn    map[string]runTimes
	failures int // of its tasks, since it became known here
	failedOn []failedOn
	doubt    int           // trials that failed since it came into doubt, 0: not in doubt
	doubtAt  time.Duration // when the next trial may start
}

// jobValue is a job as the state service holds it. The split is how its tasks
// were first dealt out; once tasks have moved the slices alone tell.
type jobValue struct {
	Spec     Spec              `json:"s"`
	Standing string            `json:"st,omitempty"`
	Split    map[string]ranges `json:"p,omitempty"`
	Moves    int               `json:"m,omitempty"`
}

const (
	standingDone      = "done"
	standingWithdrawn = "withdrawn"
)

// justWithdrawn is as much of a withdrawn job as others must know.
var justWithdrawn, _ = json.Marshal(jobValue{Standing: standingWithdrawn})

func (j *job) key() string { return "job/" + j.id }

func (j *job) stored(standing string) *jobValue {
	return &jobValue{j.spec, standing, j.split, j.moves}
}

func (j *job) value(standing string) []byte {
	v, _ := json.Marshal(j.stored(standing))
	return v
}

// learnJob applies a job's key as read, written or told. Final standings are
// kept for ever; they never change again.
func (c *Core) learnJob(id string, value []byte, stamp uint64) *job {
	if _, over := c.final[id]; over {
		return nil
	}
	j := c.jobs[id]
	if j != nil && stamp <= j.stamp {
		return j
	}
	var v jobValue
	if json.Unmarshal(value, &v) != nil {
		return j
	}
	if v.Standing != "" {
		s := Complete
		if v.Standing == standingWithdrawn {
			s = Withdrawn
		}
		if s == Withdrawn {
			c.withdrawn = append(c.withdrawn, withdrawal{c.now, c.gossipSeq + 1, Item{"job/" + id, justWithdrawn, stamp}})
		}
		c.finalise(id, s)
		return nil
	}
	if j == nil {
		j = c.newJob(id, v.Spec, stamp)
		c.jobs[id] = j
		if len(c.types) > 0 {
			c.sawClass(j)
		}
	}
	moved := v.Moves > j.moves
	j.stamp, j.split, j.moves, j.bytes = stamp, v.Split, v.Moves, 0
	for _, zone := range sorted(v.Split) {
		r := v.Split[zone]
		z := c.zones.known(zone)
		if z < 0 || !c.parts[z].mine || !c.parts[z].loaded {
			continue
		}
		p := c.parts[z]
		if p.slices[id] != nil {
			if moved {
				c.lookForMoved(p, id)
			}
			continue
		}
		if j.moves == 0 {
			sv, _ := json.Marshal(sliceValue{Waiting: r})
			c.adoptSlice(p, id, sv, stamp)
			continue
		}
		c.readSlice(p, id)
	}
	return j
}

// readSlice takes up a slice that the part should have.
func (c *Core) readSlice(p *part, id string) {
	tenure := p.tenure
	valid := func() bool { return p.mine && p.loaded && p.tenure == tenure }
	c.readSurely(sliceKey(p.name, id), valid, func(res ReadResult) {
		if res.Found {
			c.sliceSeen(p, id, res.Item.Value, res.Item.Stamp)
		}
	})
}

// readSurely reads a key, again and again until there is an answer, as long as
// that is of use. A call refused for want of tokens must not have anything
// bigger repeated: after a crash of all controllers that never came to an end.
func (c *Core) readSurely(key string, valid func() bool, then func(ReadResult)) {
	c.read(key, true, func(res ReadResult) {
		switch {
		case !valid():
		case res.Outcome == OK:
			then(res)
		default:
			c.after(300*time.Millisecond, func() {
				if valid() {
					c.readSurely(key, valid, then)
				}
			})
		}
	})
}

// compare finds out, with one request, which jobs still have the stamps given; 0
// is for one that does not exist. What a refusal names differs; of the rest it
// says nothing, for it need not name every key. When it names none, all are taken
// to differ.
func (c *Core) compare(ids []string, stamps map[string]uint64, then func(out Outcome, rest, differ []string)) {
	var t Txn
	for _, id := range ids {
		t.Guards = append(t.Guards, Guard{"job/" + id, stamps[id]})
	}
	c.commit(t, true, func(res CommitResult) {
		if res.Outcome != Refused {
			then(res.Outcome, ids, nil)
			return
		}
		var rest, differ []string
		for _, id := range ids {
			if contains(res.Failed, "job/"+id) {
				differ = append(differ, id)
			} else {
				rest = append(rest, id)
			}
		}
		if len(differ) == 0 {
			rest, differ = nil, ids
		}
		then(Refused, rest, differ)
	})
}

// compareJobs does so for any number of jobs, until there is an answer for each.
func (c *Core) compareJobs(ids []string, stamps map[string]uint64, valid func() bool, same, differs func(id string)) {
	if len(ids) == 0 || !valid() {
		return
	}
	n := min(len(ids), 4*c.cfg.TxnOps)
	c.compare(ids[:n:n], stamps, func(out Outcome, rest, differ []string) {
		if !valid() {
			return
		}
		switch out {
		case OK:
			for _, id := range rest {
				same(id)
			}
			rest = nil
		case Refused:
			for _, id := range differ {
				differs(id)
			}
		default:
			c.after(300*time.Millisecond, func() { c.compareJobs(ids, stamps, valid, same, differs) })
			return
		}
		c.compareJobs(append(rest, ids[n:]...), stamps, valid, same, differs)
	})
}

func (c *Core) newJob(id string, spec Spec, stamp uint64) *job {
	spec.ID = id
	j := &job{id: id, spec: spec, born: stamp, since: c.now, image: -1, team: c.teams.known(spec.Team), class: c.classes.of(spec.Class)}
	if spec.Image != "" {
		j.image = c.imageOf(&spec)
	}
	return j
}

// imageOf is the dense index of a job's image; its size is what jobs state.
func (c *Core) imageOf(spec *Spec) int {
	i := c.images.of(spec.Image)
	for len(c.imageGB) <= i {
		c.imageGB = append(c.imageGB, 0)
	}
	c.imageGB[i] = max(c.imageGB[i], spec.ImageGB)
	return i
}

// finalise records that a job is over.
func (c *Core) finalise(id string, s Standing) {
	c.final[id] = s
	j := c.jobs[id]
	delete(c.jobs, id)
	if j == nil {
		j = &job{id: id}
	}
	j.standing = s
	for _, p := range c.parts {
		sl := p.slices[id]
		if !p.mine || sl == nil {
			continue
		}
		sl.job.standing = s
		p.replan = true
		c.endSlice(p, sl)
	}
}

// rereadLive looks at every unfinished job again, after changes may have been
// missed.
func (c *Core) rereadLive() {
	ids, stamps := sorted(c.jobs), map[string]uint64{}
	for _, id := range ids {
		stamps[id] = c.jobs[id].stamp
	}
	always := func() bool { return true }
	c.compareJobs(ids, stamps, always, func(string) {}, func(id string) {
		c.readSurely("job/"+id, always, func(res ReadResult) {
			if res.Found {
				c.learnJob(id, res.Item.Value, res.Item.Stamp)
			}
		})
	})
}

// allowedOn says whether a machine of the kind may run the job's tasks.
func (c *Core) allowedOn(j *job, kind int) bool {
	spot, rest := kind&1 == 1, kind/2
	typ, zone := rest%len(c.types), rest/len(c.types)
	if spot && !j.spec.Spot || j.spec.Zone != "" && c.zones.list[zone] != j.spec.Zone {
		return false
	}
	if len(j.spec.Types) == 0 {
		return true
	}
	for _, t := range j.spec.Types {
		if c.types[typ].Name == t {
			return true
		}
	}
	return false
}

// submission is a job on its way into the store, with all who wait for it.
type submission struct {
	spec    Spec
	split   map[string]ranges
	reqs    []uint64
	sent    bool     // its transaction is under way
	late    []uint64 // those who asked since then
	alone   bool
	arrived time.Duration
}

const (
	maxBatch       = 256
	maxCommits     = 8
	retryBusy      = 1
	retryStoreAway = 2
)

func (c *Core) refuse(req uint64, status, after int, why string) {
	c.note(0, "refused", "status", status, "why", why)
	c.emit(Reply{Req: req, Status: status, RetryAfter: after, Why: why})
}

// submit takes a submission. A job known already gets its state, whatever
// else the body says.
func (c *Core) submit(e Submit) {
	id := e.Spec.ID
	if id == "" {
		c.refuse(e.Req, 400, 0, e.Bad)
		return
	}
	if s, over := c.final[id]; over {
		c.emit(Reply{Req: e.Req, Status: 200, Run: RunState{ID: id, Standing: s}})
		return
	}
	if b := c.batching[id]; b != nil {
		if b.sent {
			b.late = append(b.late, e.Req)
		} else {
			b.reqs = append(b.reqs, e.Req)
		}
		return
	}
	why, status := e.Bad, 400
	if why == "" {
		if len(c.types) == 0 {
			c.refuse(e.Req, 503, retryStoreAway, "machine types not known yet")
			return
		}
		why, status = c.neverRuns(&e.Spec), 422
	}
	if why != "" || c.jobs[id] != nil {
		c.lookUp(e.Req, id, func() { c.refuse(e.Req, status, 0, why) })
		return
	}
	if !c.storeWell() {
		c.refuse(e.Req, 503, retryStoreAway, "state service out of reach")
		return
	}
	if len(c.batch) >= maxBatch {
		c.refuse(e.Req, 503, retryBusy, "too many submissions at once")
		return
	}
	b := &submission{spec: e.Spec, reqs: []uint64{e.Req}, arrived: c.now}
	c.batch = append(c.batch, b)
	c.batching[id] = b
}

// asLate answers those who repeated a submission while its transaction was under
// way. It may have been carried out long before its answer came; the job may have
// been withdrawn or done since, and its user told so elsewhere.
func (c *Core) asLate(b *submission) {
	for _, req := range b.late {
		c.lookUp(req, b.spec.ID, func() { c.refuse(req, 503, retryBusy, "changed meanwhile") })
	}
	b.late = nil
}

// again puts a submission back whose transaction was not carried out.
func (c *Core) again(b *submission) {
	b.sent = false
	b.reqs, b.late = append(b.reqs, b.late...), nil
	c.batch = append(c.batch, b)
}

// neverRuns says why a job can never run, or nothing.
func (c *Core) neverRuns(s *Spec) string {
	team := c.teams.known(s.Team)
	if team < 0 {
		return "unknown team"
	}
	lim, times := c.limits[team].Limit, 1.0
	if s.Service || s.Gang {
		times = float64(s.Tasks)
	}
	if lim.Cores > 0 && s.Need.Cores*times > lim.Cores+1e-6 || lim.Cards > 0 && s.Need.Cards*times > lim.Cards+1e-6 {
		return "needs more than the team's limit"
	}
	if s.OneZone && s.Apart && s.Tasks > 1 {
		return "OneZone and Apart: tasks can't be both in one zone and apart"
	}
	if value := (&job{spec: *s}).value(""); c.cfg.ValueBytes > 0 && len(value) > c.cfg.ValueBytes/4 {
		return "names too long to be kept"
	}
	zones := map[string]bool{}
	for i := range c.types {
		t := &c.types[i]
		if s.Need.plan().Within(t.Total.plan()) && (len(s.Types) == 0 || contains(s.Types, t.Name)) {
			for _, z := range t.Zones {
				zones[z] = zones[z] || s.Zone == "" || s.Zone == z
			}
		}
	}
	maps.DeleteFunc(zones, func(_ string, allowed bool) bool { return !allowed })
	switch {
	case len(zones) == 0:
		return "no allowed machine type holds a task in a zone that is allowed"
	case len(zones) == 1 && s.Apart && s.Tasks > 1:
		return "Apart: tasks must be apart but can run in one zone only"
	}
	return ""
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// lookUp answers with the job's state if the store has it, else does absent.
func (c *Core) lookUp(req uint64, id string, absent func()) {
	c.read("job/"+id, false, func(res ReadResult) {
		switch {
		case res.Outcome != OK:
			c.refuse(req, 503, retryBusy, "state service out of reach")
		case !res.Found:
			absent()
		default:
			c.learnJob(id, res.Item.Value, res.Item.Stamp)
			c.emit(Reply{Req: req, Status: 200, Run: c.runState(id)})
		}
	})
}

func (c *Core) runState(id string) RunState {
	r := RunState{ID: id}
	if s, over := c.final[id]; over {
		r.Standing = s
		return r
	}
	for _, p := range c.parts {
		if p.mine && p.loaded {
			if s := p.slices[id]; s != nil {
				r.Done += s.done.count()
				r.Running += s.running()
			}
			continue
		}
		for _, s := range c.shown[p.name] {
			if s.ID == id {
				r.Done += s.Done
				r.Running += s.Running
			}
		}
	}
	if r.Running > 0 {
		r.Standing = Active
	}
	return r
}

// flushSubmissions commits what has gathered, as much at a time as one
// transaction takes.
func (c *Core) flushSubmissions() {
	for len(c.batch) > 0 && c.commitsInUse < maxCommits && c.now >= c.batchAt {
		var t Txn
		var group []*submission
		size := 0
		for len(c.batch) > 0 {
			b := c.batch[0]
			if c.now > b.arrived+3500*time.Millisecond {
				c.drop(b, 503, "state service too slow")
				c.batch = c.batch[1:]
				continue
			}
			if b.split == nil {
				b.split = c.deal(&b.spec)
			}
			if ops := len(b.split) + 1; len(group) > 0 && (b.alone || len(t.Apply)+ops > c.cfg.TxnOps) {
				break
			}
			j := job{id: b.spec.ID, spec: b.spec, split: b.split}
			value := j.value("")
			bytes := (1 + len(b.split)) * (len(value) + 200)
			if len(group) > 0 && size+bytes > 48<<10 {
				break
			}
			size += bytes
			t.Guards = append(t.Guards, Guard{j.key(), 0})
			t.Apply = append(t.Apply, Set{Key: j.key(), Value: value})
			for _, zone := range c.zones.list {
				if r, ok := b.split[zone]; ok {
					sv, _ := json.Marshal(sliceValue{Waiting: r, Job: j.stored("")})
					t.Apply = append(t.Apply, Set{Key: sliceKey(zone, b.spec.ID), Value: sv})
				}
			}
			group = append(group, b)
			b.sent = true
			c.batch = c.batch[1:]
			if b.alone {
				break
			}
		}
		if len(group) == 0 {
			return
		}
		c.emit(Observed{Batch, float64(len(group))})
		c.commitsInUse++
		c.commit(t, true, func(res CommitResult) {
			c.commitsInUse--
			c.accepted(group, t, res)
		})
	}
}

func (c *Core) accepted(group []*submission, t Txn, res CommitResult) {
	switch res.Outcome {
	case OK:
		var news []Item
		for _, s := range t.Apply {
			if len(s.Key) > 4 && s.Key[:4] == "job/" {
				news = append(news, Item{s.Key, s.Value, res.Revision})
				c.learnJob(s.Key[4:], s.Value, res.Revision)
			}
		}
		c.tellAll(Message{Jobs: news})
		for _, b := range group {
			delete(c.batching, b.spec.ID)
			c.note(1, "job accepted", "job", b.spec.ID, "class", b.spec.Class, "tasks", b.spec.Tasks, "parts", len(b.split), "after", seconds(c.now-b.arrived))
			for i, req := range b.reqs {
				status := 201
				if i > 0 {
					status = 200
				}
				c.emit(Reply{Req: req, Status: status, Run: c.runState(b.spec.ID)})
			}
			c.asLate(b)
		}
	case Refused:
		// Some of them are known already; the others go one by one.
		for _, b := range group {
			if !contains(res.Failed, "job/"+b.spec.ID) {
				b.alone = true
				c.again(b)
				continue
			}
			delete(c.batching, b.spec.ID)
			for _, req := range b.reqs {
				c.lookUp(req, b.spec.ID, func() { c.refuse(req, 503, retryBusy, "changed meanwhile") })
			}
			c.asLate(b)
		}
	case Unknown:
		// It may have been accepted: say so if it was, else have it repeated.
		for _, b := range group {
			delete(c.batching, b.spec.ID)
			for _, req := range b.reqs {
				c.lookUp(req, b.spec.ID, func() { c.refuse(req, 503, retryBusy, "no answer from the state service") })
			}
			c.asLate(b)
		}
	default:
		// Not carried out, mostly for want of tokens. One more try while it is
		// young; then its user is told at once when to come back.
		c.batchAt = c.now + 100*time.Millisecond
		for _, b := range group {
			if c.now < b.arrived+400*time.Millisecond {
				c.again(b)
			} else {
				c.drop(b, 503, "state service refused")
			}
		}
	}
}

func (c *Core) drop(b *submission, status int, why string) {
	delete(c.batching, b.spec.ID)
	for _, req := range append(b.reqs, b.late...) {
		c.refuse(req, status, retryBusy, why)
	}
}

// poll answers a user who asks for a job.
func (c *Core) poll(e Poll) {
	if s, over := c.final[e.ID]; over {
		c.emit(Reply{Req: e.Req, Status: 200, Run: RunState{ID: e.ID, Standing: s}})
		return
	}
	if c.asking[e.ID] == nil {
		if len(c.asking) >= maxAsking {
			c.refuse(e.Req, 503, retryBusy, "too many questions at once")
			return
		}
		c.askOrder = append(c.askOrder, e.ID)
	}
	c.asking[e.ID] = append(c.asking[e.ID], e.Req)
}

const (
	maxAsking   = 1024
	verifyEvery = 50 * time.Millisecond
)

// flushPolls checks with one request that the jobs users asked for are as this
// controller knows them: a transaction that only compares says of many stamps
// at once that they hold now, which is as good as reading each key. One read
// per question would take most of what the state service allows.
func (c *Core) flushPolls() {
	if len(c.askOrder) == 0 || c.verifying > 1 || c.now < c.verifyAt {
		return
	}
	n := min(len(c.askOrder), 4*c.cfg.TxnOps)
	ids := append([]string(nil), c.askOrder[:n]...)
	c.askOrder = append(c.askOrder[:0], c.askOrder[n:]...)
	reqs := map[string][]uint64{}
	for _, id := range ids {
		reqs[id] = c.asking[id]
		delete(c.asking, id)
	}
	c.verifyAt = c.now + verifyEvery
	c.verify(ids, reqs)
}

// verify answers the questions about the jobs given.
func (c *Core) verify(ids []string, reqs map[string][]uint64) {
	stamps := make(map[string]uint64, len(ids))
	for _, id := range ids {
		if j := c.jobs[id]; j != nil {
			stamps[id] = j.stamp
		}
	}
	c.verifying++
	c.compare(ids, stamps, func(out Outcome, rest, differ []string) {
		c.verifying--
		switch out {
		case OK:
			for _, id := range rest {
				for _, req := range reqs[id] {
					c.verified(req, id, stamps[id] > 0)
				}
			}
		case Refused:
			for _, id := range differ {
				for _, req := range reqs[id] {
					c.lookUp(req, id, func() { c.refuse(req, 404, 0, "no such job") })
				}
			}
			if len(rest) > 0 {
				c.verify(rest, reqs)
			}
		default:
			c.unverified(ids, reqs)
		}
	})
}

// verified answers with what the comparison has shown to hold. A job may have
// ended in the meantime; its end is then known here and is newer.
func (c *Core) verified(req uint64, id string, exists bool) {
	if _, over := c.final[id]; !exists && !over && c.jobs[id] == nil {
		c.refuse(req, 404, 0, "no such job")
		return
	}
	c.emit(Reply{Req: req, Status: 200, Run: c.runState(id)})
}

func (c *Core) unverified(ids []string, reqs map[string][]uint64) {
	for _, id := range ids {
		for _, req := range reqs[id] {
			c.refuse(req, 503, retryBusy, "state service out of reach")
		}
	}
}

// withdraw cancels a job.
func (c *Core) withdraw(e Withdraw) { c.tryWithdraw(e, 4) }

func (c *Core) tryWithdraw(e Withdraw, tries int) {
	if s, over := c.final[e.ID]; over {
		c.emit(Reply{Req: e.Req, Status: 200, Run: RunState{ID: e.ID, Standing: s}})
		return
	}
	if tries == 0 {
		c.refuse(e.Req, 503, retryBusy, "changing too fast")
		return
	}
	c.read("job/"+e.ID, true, func(res ReadResult) {
		if res.Outcome != OK {
			c.refuse(e.Req, 503, retryBusy, "state service out of reach")
			return
		}
		if !res.Found {
			c.refuse(e.Req, 404, 0, "no such job")
			return
		}
		c.learnJob(e.ID, res.Item.Value, res.Item.Stamp)
		j := c.jobs[e.ID]
		if j == nil || j.stamp != res.Item.Stamp {
			c.tryWithdraw(e, tries-1)
			return
		}
		key, value := j.key(), j.value(standingWithdrawn)
		t := Txn{Guards: []Guard{{key, j.stamp}}, Apply: []Set{{Key: key, Value: value}}}
		c.commit(t, true, func(res CommitResult) {
			if res.Outcome != OK {
				c.tryWithdraw(e, tries-1)
				return
			}
			c.note(1, "job withdrawn", "job", e.ID)
			c.learnJob(e.ID, value, res.Revision)
			c.tellAll(Message{Jobs: []Item{{key, value, res.Revision}}})
			c.emit(Reply{Req: e.Req, Status: 200, Run: RunState{ID: e.ID, Standing: Withdrawn}})
		})
	})
}

// estimate is the expected run time of a job's task, corrected by what was
// seen of its class.
func (c *Core) estimate(j *job) float64 {
	e := j.spec.Estimate
	if e <= 0 {
		e = 3600
		if !j.spec.Service {
			e = 30
		}
	}
	if j.class < len(c.classRatio) && c.classRatio[j.class] > 0 {
		e *= c.classRatio[j.class]
	}
	return e
}

// ran learns from a completed task of the class.
func (c *Core) ran(j *job, seconds float64) {
	if j.spec.Estimate <= 0 || seconds <= 0 {
		return
	}
	for len(c.classRatio) <= j.class {
		c.classRatio = append(c.classRatio, 1)
	}
	r := math.Log(c.classRatio[j.class])
	x := math.Log(min(max(seconds/j.spec.Estimate, 0.1), 10))
	c.classRatio[j.class] = math.Exp(r + 0.05*(x-r))
}
