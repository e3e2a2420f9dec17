package core

import (
	"encoding/json"
	"maps"
	"time"

	"roadcleat/internal/plan"
)

// moveGain is by how much earlier, in seconds, a task must end elsewhere to be
// moved there: what is known of another part is a moment old.
const moveGain = 4.0

// maybeMove hands waiting tasks that find no room soon to a part that has some
// now. They are on no machine for certain; one transaction on both slices and
// the job changes hands.
func (c *Core) maybeMove(p *part) {
	if p.moving || c.now < p.moveAt || p.committing || p.claiming || p.handingOver || len(p.refreshing) > 0 || !c.mayStart() {
		return
	}
	dark := c.dark(p) // machines that should be up any moment are not heard either
	for _, n := range p.shortage {
		j := n.job
		s := p.slices[j.id]
		if s == nil || n.after < moveGain && !dark || !movable(j) || s.busy || len(s.settled) > 0 || c.now < s.moveAt {
			continue
		}
		to, count := c.betterPart(p, s, n)
		if e, ok := p.export[j.id]; ok && to == nil {
			to, count = e.to, min(e.tasks, n.tasks, 64)
			delete(p.export, j.id)
		}
		if to != nil {
			s.moveAt = c.now + 5*time.Second
			c.move(p, to, s, count)
			return
		}
	}
	p.moveAt = c.now + 500*time.Millisecond
}

// movable says whether a job's tasks may go to any part.
func movable(j *job) bool {
	return j.spec.Zone == "" && !j.spec.OneZone && !j.spec.Gang && !j.spec.Apart
}

// betterPart finds a part of another owner, or another of mine, with room for
// some of the tasks now, and how many.
func (c *Core) betterPart(p *part, s *slice, n need) (*part, int) {
	j := s.job
	if c.dark(p) {
		return c.leastBusy(p, j), min(n.tasks, 64)
	}
	var best *part
	most := 0
	now, typ, backfills, at := seconds(c.now), c.usualType(j), c.backfills(j), 32
	if typ < 0 {
		return nil, 0
	}
	if backfills && c.leftOut(s) {
		backfills, at = false, beginWith // a few may go where they may not as backfill, and start there
	}
	for _, q := range c.parts {
		if q == p || !c.current(q) {
			continue
		}
		room := 0.0
		if backfills {
			if room = c.backfillRoomOn(q, typ); room < max(c.takes(j.spec.Need, typ), 1) {
				continue
			}
		}
		var devices []*plan.Device
		for _, d := range c.partDevices(q) {
			devices = append(devices, d.Device)
		}
		fits, step := 0, c.step(j)
		for _, d := range devices {
			if step.Allowed(d.Kind) {
				fits += d.FreeFor(step, now, now+1)
			}
		}
		if backfills {
			fits = min(fits, count(room/c.takes(j.spec.Need, typ)))
		}
		if fits > most {
			best, most = q, fits
		}
	}
	return best, min(most, n.tasks, at)
}

// current says whether a part is known as it is now: by own knowledge, or by its
// owner's word of a moment ago.
func (c *Core) current(q *part) bool {
	if q.mine {
		return q.loaded
	}
	return q.view != nil && c.now <= q.viewAt+1500*time.Millisecond
}

// leastBusy is the part with the shortest queue for a job's tasks, of those whose
// workers are heard. It takes in what waits in a dark part, room or not.
func (c *Core) leastBusy(p *part, j *job) *part {
	var best *part
	least := 0.0
	typ := c.usualType(j)
	for _, q := range c.parts {
		if q == p || typ < 0 || c.darkFor(q) || !c.current(q) || !c.zoneHolds(j, q) {
			continue
		}
		if wait := c.queueFor(q, j.spec.Priority)[typ]; best == nil || wait < least {
			best, least = q, wait
		}
	}
	return best
}

// move carries out a move: the other part's slice is read, then both change
// together.
func (c *Core) move(p, to *part, s *slice, count int) {
	j, token := s.job, p.token
	p.moving = true
	key := sliceKey(to.name, j.id)
	c.read(key, true, func(res ReadResult) {
		p.moving = false
		if res.Outcome != OK || !p.mine || p.token != token || p.committing || p.claiming || p.handingOver ||
			len(p.refreshing) > 0 || p.slices[j.id] != s || j.standing != Pending || len(s.settled) > 0 {
			return
		}
		for _, t := range s.tasks {
			if t.phase == placing {
				return // the slice is about to change by itself
			}
		}
		ids := s.waiting.clone().first(min(count, s.waiting.count()))
		if len(ids) == 0 {
			return
		}
		var v sliceValue
		if res.Found && json.Unmarshal(res.Item.Value, &v) != nil {
			return
		}
		split := maps.Clone(j.split)
		split[to.name] = nil
		for _, i := range ids {
			v.Waiting.add(i)
		}
		v.Next = max(v.Next, s.next) // an attempt is never given out twice
		moved := *j
		moved.split, moved.moves = split, j.moves+1
		if !c.holdsMoved(&moved, &v) {
			return
		}
		for _, i := range ids {
			s.waiting.remove(i)
		}
		empty := s.complete() && len(s.done) == 0
		if empty {
			delete(split, p.name)
		}
		v.Job, v.Stamp = moved.stored(""), 0
		theirs, mineValue := c.encodeSlice(&v), c.encodeSlice(s.valueOf(&moved, 0))
		if empty {
			mineValue = nil
		}
		value := moved.value("")
		w := &writing{part: p, slices: map[string]*slice{j.id: s},
			news:  []Item{{Key: j.key(), Value: value}},
			moved: []Item{{Key: key, Value: theirs}}}
		if empty {
			w.slices, w.drops = nil, []string{j.id}
		}
		stamp := s.stamp
		w.undo = func() {
			for _, i := range ids {
				if s.stamp == stamp && s.tasks[i] == nil && !s.done.has(i) {
					s.waiting.add(i)
				}
			}
		}
		w.txn.Guards = []Guard{{p.key(), p.stamp}, {sliceKey(p.name, j.id), s.stamp}, {j.key(), j.stamp}, {key, res.Item.Stamp}}
		w.txn.Apply = []Set{{Key: sliceKey(p.name, j.id), Value: mineValue}, {Key: key, Value: theirs}, {Key: j.key(), Value: value}}
		delete(p.dirty, j.id)
		c.forgetDemand(p, j, len(ids))
		c.stats.Moves += uint64(len(ids))
		c.note(1, "tasks moved", "job", j.id, "tasks", len(ids), "from", p.name, "to", to.name, "token", p.token)
		c.write(w)
	})
}

// forgetDemand takes tasks that leave a part out of what its past demand asks room for:
// dear machines were hired here for a peak that had gone elsewhere.
func (c *Core) forgetDemand(p *part, j *job, tasks int) {
	typ := c.usualType(j)
	if typ < 0 || c.backfills(j) {
		return
	}
	i := poolOf(c.pools(), typ)
	for _, s := range p.demand {
		if i < len(s.cores) {
			s.cores[i] = max(s.cores[i]-float64(tasks)*c.takes(j.spec.Need, typ), 0)
			if !j.spec.Spot {
				s.plain[i] = max(s.plain[i]-float64(tasks)*c.takes(j.spec.Need, typ), 0)
			}
		}
	}
}

// movedHeardBy is how long after word of a job's move its slices may still be told of it.
const movedHeardBy = time.Second

// lookForMoved reads a slice in which nothing waits once more when tasks of its job have
// moved and it was not told of it: the answer to the move, or the word of it, was lost.
// Nothing else may ever write the slice, as when its replicas run, and the tasks would
// wait unseen. Where some wait, the next placement finds out.
func (c *Core) lookForMoved(p *part, id string) {
	tenure := p.tenure
	unsure := func() bool {
		s, j := p.slices[id], c.jobs[id]
		return p.mine && p.loaded && p.tenure == tenure && s != nil && j != nil && s.stamp < j.stamp && len(s.waiting) == 0
	}
	c.after(movedHeardBy, func() {
		switch {
		case !unsure():
		case p.committing:
			c.lookForMoved(p, id)
		default:
			c.readSurely(sliceKey(p.name, id), unsure, func(res ReadResult) {
				if p.committing {
					c.lookForMoved(p, id) // what was read may be from before or after it
				} else if res.Found && res.Item.Stamp > p.slices[id].stamp {
					c.sliceSeen(p, id, res.Item.Value, res.Item.Stamp)
				}
			})
		}
	})
}
