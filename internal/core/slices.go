package core

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"
)

// slice is a part's tasks of a job.
type slice struct {
	job     *job
	stamp   uint64
	waiting ranges
	done    ranges
	tasks   map[int]*task   // on a machine, or on the way there
	settled map[int]outcome // ended for certain, not yet recorded
	next    uint64          // highest attempt given out
	moveAt  time.Duration
	checkAt time.Duration // when to look again whether the whole job is done
	busy    bool
	shortAt time.Duration   // since when none of its waiting tasks could start
	bareAt  time.Duration   // when the last of its tasks left its machine
	making  []time.Duration // room being made for its tasks, each until when at most
	// Since when some of its tasks have not been running, for operators; 0: all run.
	missingAt time.Duration
	// Since when all its room within the team's limit has been left to others' work.
	leavesAt time.Duration
}

type outcome struct {
	attempt uint64
	done    bool
}

// sliceValue is a slice as the state service holds it: every task of it is
// waiting, done or placed.
type sliceValue struct {
	Waiting ranges      `json:"w,omitempty"`
	Done    ranges      `json:"d,omitempty"`
	Placed  placedTasks `json:"p,omitempty"`
	Next    uint64      `json:"n,omitempty"`
	// The job as it was when the slice was written, and its stamp; without one,
	// both keys were written by the same transaction. A new owner then only has
	// to compare stamps, many at a time, where it would have to read every job.
	Job   *jobValue `json:"j,omitempty"`
	Stamp uint64    `json:"k,omitempty"`
	// How long the job has been failing everywhere: a new owner need not find that
	// out by starting all of it once more.
	Doubt int `json:"f,omitempty"`
}

func sliceKey(zone, job string) string { return "slice/" + zone + "/" + job }

func (s *slice) complete() bool { return len(s.waiting) == 0 && len(s.tasks) == 0 }

func (s *slice) running() int {
	n := 0
	for _, t := range s.tasks {
		if t.state == Running || t.state == Saving {
			n++
		}
	}
	return n
}

// valueOf is what a slice is for the store, its job being as given.
func (s *slice) valueOf(j *job, stamp uint64) *sliceValue {
	v := &sliceValue{Waiting: s.waiting, Done: s.done, Next: s.next, Job: j.stored(""), Stamp: stamp, Doubt: s.job.doubt}
	for _, i := range sorted(s.tasks) {
		t := s.tasks[i]
		v.Placed = append(v.Placed, placed{i, t.host.name, t.attempt})
	}
	return v
}

// adoptSlice takes a slice that this controller has no memory of.
func (c *Core) adoptSlice(p *part, id string, value []byte, stamp uint64) {
	if j := c.jobs[id]; j != nil {
		c.adoptSliceOf(p, j, value, stamp)
	}
}

// adoptSliceOf also takes slices of jobs that are over: what is left of them
// on machines still counts against the team's limit.
func (c *Core) adoptSliceOf(p *part, j *job, value []byte, stamp uint64) {
	id := j.id
	if s := p.slices[id]; s != nil {
		if stamp > s.stamp {
			c.reconcile(p, s, value, stamp)
		}
		return
	}
	s := &slice{job: j, tasks: map[int]*task{}, settled: map[int]outcome{}, missingAt: j.since}
	p.slices[id] = s
	c.reconcile(p, s, value, stamp)
	if j.standing != Pending {
		c.endSlice(p, s)
	}
}

// sliceSeen applies a slice's key as read or told.
func (c *Core) sliceSeen(p *part, id string, value []byte, stamp uint64) {
	s := p.slices[id]
	switch {
	case s == nil && value != nil:
		c.adoptSlice(p, id, value, stamp)
	case s == nil:
		// Neither here nor there.
	case value == nil:
		// The job is over, or all of the slice went elsewhere.
		for _, i := range sorted(s.tasks) {
			t := s.tasks[i]
			c.makeStray(p, t)
		}
		delete(p.slices, id)
		delete(p.dirty, id)
	case stamp == s.stamp:
		for _, i := range sorted(s.tasks) {
			t := s.tasks[i]
			if t != nil && t.phase == placing {
				c.unplace(p, t)
			}
		}
	case stamp > s.stamp:
		c.reconcile(p, s, value, stamp)
	}
	p.replan = true
}

// reconcile makes memory agree with the store's slice while it keeps what was
// proven since and is not yet recorded.
func (c *Core) reconcile(p *part, s *slice, value []byte, stamp uint64) {
	var v sliceValue
	if json.Unmarshal(value, &v) != nil {
		c.note(2, "slice unreadable", "job", s.job.id, "part", p.name)
		return
	}
	old := s.tasks
	s.stamp, s.waiting, s.done, s.next = stamp, v.Waiting.clone(), v.Done.clone(), max(s.next, v.Next)
	s.tasks = map[int]*task{}
	if !s.job.good {
		s.job.doubt = max(s.job.doubt, v.Doubt)
	}
	inStore := map[int]bool{}
	for _, pl := range v.Placed {
		inStore[pl.Index] = true
		s.next = max(s.next, pl.Attempt)
		if o, ok := s.settled[pl.Index]; ok && o.attempt >= pl.Attempt {
			if o.done {
				s.done.add(pl.Index)
			} else {
				s.waiting.add(pl.Index)
			}
			p.dirty[s.job.id] = s
			continue
		}
		// The host counts too: a value of long ago may name the same attempt elsewhere,
		// and what it confirms is launched.
		if t := old[pl.Index]; t != nil && t.attempt == pl.Attempt && t.host.name == pl.Host {
			s.tasks[pl.Index] = t
			if t.phase == placing {
				c.placedNow(p, t)
			}
			continue
		}
		h := c.hostNamed(p, pl.Host)
		t := &task{id: TaskID{s.job.id, pl.Index}, slice: s, host: h, attempt: pl.Attempt, phase: onHost,
			inherited: true, need: s.job.spec.Need, team: s.job.team, since: c.now}
		if other := h.tasks[t.id]; other != nil {
			// A worker holds one attempt of a task at most; what is there of an
			// earlier one keeps this one on the host until it is gone too.
			c.vacate(p, other)
		}
		c.occupy(p, t)
		s.tasks[pl.Index] = t
	}
	for _, i := range sorted(old) {
		t := old[i]
		if s.tasks[i] == t {
			continue
		}
		if t.phase == placing {
			c.vacate(p, t)
		} else {
			c.makeStray(p, t)
		}
	}
	for _, i := range sorted(s.settled) {
		o := s.settled[i]
		if inStore[i] {
			continue
		}
		if o.done && s.waiting.has(i) {
			s.waiting.remove(i)
			s.done.add(i)
			p.dirty[s.job.id] = s
			continue
		}
		delete(s.settled, i)
	}
	if s.complete() {
		p.dirty[s.job.id] = s
	}
	p.replan = true
}

// endSlice winds a slice of a finished job up: what is on machines is
// stopped, and the key goes once nothing is.
func (c *Core) endSlice(p *part, s *slice) {
	s.waiting = nil
	for _, i := range sorted(s.tasks) {
		t := s.tasks[i]
		if t != nil && t.phase == onHost {
			c.halt(p, t, 0)
		}
	}
	p.dirty[s.job.id] = s
}

// writing is a transaction of a part's owner under way.
type writing struct {
	part    *part
	token   uint64
	txn     Txn
	slices  map[string]*slice
	settled map[*slice]map[int]outcome
	placing []*task
	quotas  map[*quota]map[string]grant
	done    []*job
	news    []Item
	drops   []string
	moved   []Item // slices of other parts, changed by a move
	undo    func() // takes back what memory shows already
}

// write sends an owner's transaction; the part does one at a time.
func (c *Core) write(w *writing) {
	p := w.part
	w.token = p.token
	p.committing = true
	c.commitOp(CommitOp{Txn: w.txn, Urgent: true, Spare: true}, func(res CommitResult) {
		if p.mine && p.token == w.token {
			c.wrote(w, res)
		}
	})
}

func (c *Core) wrote(w *writing, res CommitResult) {
	p := w.part
	switch res.Outcome {
	case OK:
		p.committing = false
		var quotas []Item
		for _, q := range c.quotas {
			if g, ok := w.quotas[q]; ok {
				if res.Revision > q.stamp {
					q.stamp, q.grants = res.Revision, g
				}
				value, _ := json.Marshal(g)
				quotas = append(quotas, Item{q.key(), value, res.Revision})
			}
		}
		if len(quotas) > 0 {
			c.tellAll(Message{Quotas: quotas})
		}
		for id, s := range w.slices {
			s.stamp = max(s.stamp, res.Revision)
			for i, o := range w.settled[s] {
				if s.settled[i] == o {
					delete(s.settled, i)
				}
			}
			if s.complete() && len(s.settled) == 0 && s.job.standing == Pending {
				p.dirty[id] = s
			}
		}
		for _, t := range w.placing {
			if t.phase == placing {
				c.placedNow(p, t)
			}
		}
		for _, j := range w.done {
			c.note(1, "job done", "job", j.id, "part", p.name, "token", p.token)
			c.finalise(j.id, Complete)
		}
		for _, id := range w.drops {
			delete(p.slices, id)
			delete(p.dirty, id)
		}
		c.announce(w, res.Revision)
		p.replan = true
	case Refused:
		c.stats.Conflicts++
		c.note(0, "transaction refused", "part", p.name, "token", p.token, "keys", res.Failed)
		c.takeBack(w)
		for _, k := range res.Failed {
			p.refreshing[k] = false
		}
		if len(res.Failed) == 0 {
			p.committing = false
			p.retryAt = c.now + 300*time.Millisecond
		}
	case NotSent:
		c.takeBack(w)
		p.committing = false
		p.retryAt = c.now + 300*time.Millisecond
	default:
		if w.undo != nil {
			// Tasks that may not have left must not be missing here: the slice
			// would look complete.
			w.undo()
		}
		// Nobody can tell: what holds is read again before anything else. The
		// placements stay booked until then and are not launched.
		for _, g := range w.txn.Guards {
			p.refreshing[g.Key] = false
		}
		c.markAgain(w)
	}
	c.refresh(p)
}

// announce tells the others of jobs and slices that a transaction changed.
func (c *Core) announce(w *writing, revision uint64) {
	for i := range w.news {
		w.news[i].Stamp = revision
		c.learnJob(strings.TrimPrefix(w.news[i].Key, "job/"), w.news[i].Value, revision)
	}
	for i := range w.moved {
		w.moved[i].Stamp = revision
		zone, id, _ := strings.Cut(strings.TrimPrefix(w.moved[i].Key, "slice/"), "/")
		if q := c.parts[c.zone(zone)]; q.mine && q.loaded {
			c.sliceSeen(q, id, w.moved[i].Value, revision)
		}
	}
	if len(w.news)+len(w.moved) > 0 {
		c.tellAll(Message{Jobs: w.news, Slices: w.moved})
	}
}

// takeBack undoes the placements of a transaction that was not carried out.
func (c *Core) takeBack(w *writing) {
	if w.undo != nil {
		w.undo()
	}
	for _, t := range w.placing {
		if t.phase == placing {
			c.unplace(w.part, t)
		}
	}
	c.markAgain(w)
	w.part.replan = true
}

// markAgain has everything a transaction should have recorded tried again.
func (c *Core) markAgain(w *writing) {
	for id := range w.slices {
		if s := w.part.slices[id]; s != nil {
			w.part.dirty[id] = s
		}
	}
	for _, id := range w.drops {
		if s := w.part.slices[id]; s != nil {
			w.part.dirty[id] = s
		}
	}
}

// refresh reads keys again whose state is in doubt; the part commits nothing
// until all are known.
func (c *Core) refresh(p *part) {
	if len(p.refreshing) == 0 || c.now < p.retryAt {
		return
	}
	token := p.token
	for _, key := range sorted(p.refreshing) {
		if p.refreshing[key] {
			continue
		}
		p.refreshing[key] = true
		c.read(key, true, func(res ReadResult) {
			if !p.mine || p.token != token {
				return
			}
			if res.Outcome != OK {
				p.refreshing[key] = false
				p.retryAt = c.now + 300*time.Millisecond
				return
			}
			c.refreshed(p, key, res)
			if !p.mine || p.token != token {
				return
			}
			delete(p.refreshing, key)
			if len(p.refreshing) == 0 {
				p.committing = false
				p.replan = true
			}
		})
	}
}

func (c *Core) refreshed(p *part, key string, res ReadResult) {
	kind, rest, _ := strings.Cut(key, "/")
	switch kind {
	case "part":
		if !res.Found || res.Item.Stamp != p.token {
			c.lose(p, "claim has changed")
			c.rereadPart(p)
		}
	case "job":
		if res.Found {
			c.learnJob(rest, res.Item.Value, res.Item.Stamp)
		}
	case "quota":
		if t := c.teams.known(rest); t >= 0 {
			c.learnQuota(c.quotas[t], res.Found, res.Item.Value, res.Item.Stamp)
		}
	case "slice":
		zone, id, _ := strings.Cut(rest, "/")
		if zone != p.name {
			return
		}
		if !res.Found {
			c.sliceSeen(p, id, nil, 0)
		} else {
			c.sliceSeen(p, id, res.Item.Value, res.Item.Stamp)
		}
	}
}

// recordOps is how many changes an owner puts into a transaction: no more than
// its share brings in half a second. A larger one would have to wait for tokens
// longer than any call does; it was given up and tried again for 8 s.
func (c *Core) recordOps() int {
	if c.cfg.Changes == 0 {
		return c.cfg.TxnOps
	}
	return min(max(int(c.cfg.Changes*c.share.Changes/2), 6), c.cfg.TxnOps)
}

// dirtyOrder lists the slices to record: the more urgent jobs first, so that
// none waits behind others because of its name when changes are short.
func (p *part) dirtyOrder() []string {
	ids := sorted(p.dirty)
	slices.SortStableFunc(ids, func(a, b string) int {
		x, y := p.dirty[a].job, p.dirty[b].job
		return cmp.Or(cmp.Compare(x.spec.Priority, y.spec.Priority), cmp.Compare(x.since, y.since))
	})
	return ids
}

// record gathers what must be made durable into one transaction: placements
// just planned, ends just proven, grants that must grow first.
func (c *Core) record(p *part) {
	for _, id := range sorted(p.later) {
		if s := p.slices[id]; s == nil {
			delete(p.later, id)
		} else if c.now >= p.later[id] {
			p.dirty[id] = s
		}
	}
	if len(p.dirty)+len(p.finishing) == 0 || p.committing || p.claiming || p.handingOver || c.now < p.retryAt || len(p.refreshing) > 0 {
		return
	}
	w := &writing{part: p, slices: map[string]*slice{}, settled: map[*slice]map[int]outcome{},
		quotas: map[*quota]map[string]grant{}}
	w.txn.Guards = []Guard{{p.key(), p.stamp}}
	size := c.finishJobs(p, w)
	for _, id := range p.dirtyOrder() {
		s := p.dirty[id]
		if len(w.txn.Apply)+3 > c.recordOps() || len(w.txn.Guards)+4 > 4*c.cfg.TxnOps || size > 40<<10 {
			break
		}
		delete(p.dirty, id)
		delete(p.later, id)
		size += c.recordSlice(p, w, id, s)
	}
	if len(w.txn.Apply) > 0 {
		c.write(w)
	}
}

func (c *Core) recordSlice(p *part, w *writing, id string, s *slice) int {
	key := sliceKey(p.name, id)
	guard := func() { w.txn.Guards = append(w.txn.Guards, Guard{key, s.stamp}) }
	if s.job.standing != Pending {
		// No transaction is under way, so what is only planned will never be
		// placed. Left booked, it would hold room and the team's grant for ever.
		for _, i := range sorted(s.tasks) {
			if t := s.tasks[i]; t.phase == placing {
				c.vacate(p, t)
				delete(s.tasks, i)
			}
		}
		if len(s.tasks) == 0 {
			guard()
			w.txn.Apply = append(w.txn.Apply, Set{Key: key})
			w.drops = append(w.drops, id)
		}
		return 0
	}
	if s.complete() && !s.job.spec.Service {
		if len(s.job.split) == 1 {
			return w.finish(s, nil, 0)
		}
		if len(s.settled) == 0 {
			c.finishTogether(p, s)
			return 0
		}
	}
	guard()
	placingHere := false
	for _, i := range sorted(s.tasks) {
		t := s.tasks[i]
		if t == nil || t.phase != placing {
			continue
		}
		// The grants may have changed since the task was planned: another part
		// may have taken what was free then.
		if !c.granted(p, s.job.team, w) {
			c.unplace(p, t)
			continue
		}
		placingHere = true
		w.placing = append(w.placing, t)
	}
	if placingHere {
		// A placement counts only while the job is not withdrawn.
		w.txn.Guards = append(w.txn.Guards, Guard{s.job.key(), s.job.stamp})
		q := c.quotas[s.job.team]
		if _, in := w.quotas[q]; !in {
			if next, grows := c.grow(p, s.job.team); grows {
				value, _ := json.Marshal(next)
				w.quotas[q] = next
				w.txn.Guards = append(w.txn.Guards, Guard{q.key(), q.stamp})
				w.txn.Apply = append(w.txn.Apply, Set{Key: q.key(), Value: value})
			}
		}
	}
	value := c.encodeSlice(s.valueOf(s.job, s.job.stamp))
	w.txn.Apply = append(w.txn.Apply, Set{Key: key, Value: value})
	w.slices[id] = s
	w.settled[s] = maps.Clone(s.settled)
	return len(value)
}

// finish sets a job done whose slices are all complete: this part's, and the others
// named, of which as many as fit are dropped with it.
func (w *writing) finish(s *slice, others []Guard, drops int) int {
	j := s.job
	key, value := sliceKey(w.part.name, j.id), j.value(standingDone)
	w.txn.Guards = append(append(w.txn.Guards, Guard{key, s.stamp}, Guard{j.key(), j.stamp}), others...)
	w.txn.Apply = append(w.txn.Apply, Set{Key: j.key(), Value: value}, Set{Key: key})
	for _, o := range others[:drops] {
		w.txn.Apply = append(w.txn.Apply, Set{Key: o.Key})
	}
	w.done = append(w.done, j)
	w.drops = append(w.drops, j.id)
	w.news = append(w.news, Item{Key: j.key(), Value: value})
	w.slices[j.id], w.settled[s] = s, maps.Clone(s.settled)
	return len(value)
}

// finish is a job of several parts whose slices were all seen complete.
type finish struct {
	slice  *slice
	stamp  uint64 // of the job
	others []Guard
}

// finishJobs adds such jobs to a transaction. They wait their turn like anything else
// that is recorded: written only if nothing was under way when the last slice was
// read, they were not written for minutes in parts where something always is.
func (c *Core) finishJobs(p *part, w *writing) int {
	size := 0
	kept := p.finishing[:0]
	for _, f := range p.finishing {
		s := f.slice
		j := s.job
		if p.slices[j.id] != s || j.standing != Pending || j.stamp != f.stamp || !s.complete() || len(s.settled) > 0 {
			s.busy, s.checkAt = false, 0
			continue
		}
		drops := min(len(f.others), c.cfg.TxnOps-2) // the rest is dropped by its owners
		if n := len(w.txn.Apply); n > 0 && (n+2+drops > c.recordOps() || len(w.txn.Guards)+2+len(f.others) > 4*c.cfg.TxnOps || size > 40<<10) {
			kept = append(kept, f)
			continue
		}
		size += w.finish(s, f.others, drops)
		s.busy = false
		delete(p.dirty, j.id)
	}
	p.finishing = kept
	return size
}

// finishTogether sets a job of several parts done once every slice is
// complete. Each owner looks after its own slice is recorded complete, so the
// last of them sees all.
func (c *Core) finishTogether(p *part, s *slice) {
	if s.busy || c.now < s.checkAt {
		return
	}
	s.busy, s.checkAt = true, c.now+5*time.Second
	token, id := p.token, s.job.id
	c.read(s.job.key(), true, func(jr ReadResult) {
		s.busy = false
		if jr.Outcome != OK || !jr.Found || !p.mine || p.token != token || p.slices[id] != s {
			return
		}
		c.learnJob(id, jr.Item.Value, jr.Item.Stamp)
		j := s.job
		if j.standing != Pending || j.stamp != jr.Item.Stamp || !s.complete() {
			return
		}
		f := &finish{slice: s, stamp: j.stamp}
		left, all := 0, true
		for _, zone := range sorted(j.split) {
			if zone == p.name {
				continue
			}
			left++
			key := sliceKey(zone, id)
			c.read(key, true, func(r ReadResult) {
				left--
				var v sliceValue
				if r.Outcome != OK || !r.Found || json.Unmarshal(r.Item.Value, &v) != nil ||
					len(v.Waiting) > 0 || len(v.Placed) > 0 {
					all = false
				} else {
					f.others = append(f.others, Guard{key, r.Item.Stamp})
				}
				if left > 0 || !all || !p.mine || p.token != token || p.slices[id] != s {
					return
				}
				s.busy = true // until it is written
				p.finishing = append(p.finishing, f)
			})
		}
	})
}
