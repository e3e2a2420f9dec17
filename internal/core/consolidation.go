package core

import (
	"cmp"
	"slices"
	"time"
)

// Consolidation moves the replicas of services off machines that hold few of them, so
// that these machines can be returned. A service's replicas end one by one and leave
// each machine partly empty; arrays end, so their machines empty by themselves, but
// replicas stay, and machines that are half empty were rented until the last of them
// had ended. A machine that is to be emptied is cordoned: it gets no new work. Its
// replicas are stopped one at a time per service, and only while every other replica of
// the service in this zone runs; each finds room and its image on another machine.

const (
	// cordonedShare and cordonedLeast bound how many of a zone's machines are emptied at
	// a time: a share of them, but no fewer than the least.
	cordonedShare = 1.0 / 32
	cordonedLeast = 2
	// consolidateUpTo is the share of a machine in use up to which emptying it is worth
	// interrupting its replicas.
	consolidateUpTo = 0.7
	// cordonTries bounds how many machines are looked at in one round.
	cordonTries = 8
	// longestCordon is how long a machine may stay cordoned without becoming empty.
	longestCordon = time.Minute
)

// surplus is how many cores of a pool's machines may be returned.
type surplus struct {
	cores    float64 // of all machines
	ordinary float64 // of the machines that are no spot machines
}

// take uses up the surplus for one machine and says whether there was enough of it.
func (s *surplus) take(cores float64, spot bool) bool {
	if s.cores < cores || !spot && s.ordinary < cores {
		return false
	}
	s.cores -= cores
	if !spot {
		s.ordinary -= cores
	}
	return true
}

// consolidate empties machines of the types given as far as the surplus allows and
// nothing in the zone waits for room.
func (c *Core) consolidate(p *part, types uint64, over surplus) {
	calm := len(p.shortage) == 0 && c.mayStart() && c.storeWell() && !c.dark(p)
	cordoned, machines := 0, 0
	for _, h := range p.hostList() {
		if h.typ < 0 || types&(1<<h.typ) == 0 || h.state != up {
			continue
		}
		machines++
		if !h.cordoned {
			continue
		}
		stuck := len(h.tasks) > 0 && c.now > h.cordonedAt+longestCordon
		if !calm || stuck || !over.take(c.types[h.typ].Total.Cores, h.spot) {
			h.cordoned = false
			p.replan = true
			continue
		}
		cordoned++
		c.evictReplicas(p, h)
	}
	most := max(int(float64(machines)*cordonedShare), cordonedLeast)
	if calm && cordoned < most {
		c.cordonMachines(p, types, over, most-cordoned)
	}
}

// cordonMachines chooses up to so many machines whose replicas have room elsewhere, those
// with the fewest first.
func (c *Core) cordonMachines(p *part, types uint64, over surplus, most int) {
	var rooms []*receiver
	for _, h := range p.hostList() {
		if h.typ >= 0 && types&(1<<h.typ) != 0 && h.usable(c.now) && len(h.tasks) > 0 {
			rooms = append(rooms, c.receiverOf(h))
		}
	}
	slices.SortStableFunc(rooms, func(a, b *receiver) int { return cmp.Compare(a.used, b.used) })
	tries := 0
	for i, r := range rooms {
		if most == 0 || tries == cordonTries || r.used > consolidateUpTo*c.types[r.host.typ].Total.Cores {
			return
		}
		if r.receives || !c.onlyReplicas(r.host) {
			continue
		}
		tries++
		if !c.fitElsewhere(p, r.host, rooms[i+1:]) {
			continue
		}
		if !over.take(c.types[r.host.typ].Total.Cores, r.host.spot) {
			return
		}
		r.host.cordoned, r.host.cordonedAt = true, c.now
		most--
		c.note(1, "host cordoned", "host", r.host.name, "part", p.name, "replicas", len(r.host.tasks))
		c.evictReplicas(p, r.host)
	}
}

// receiver is a machine that may take replicas of others.
type receiver struct {
	host     *host
	used     float64 // of the machine, in its cores
	free     Amount
	receives bool // some replica is to go there
}

func (c *Core) receiverOf(h *host) *receiver {
	r := &receiver{host: h, free: c.types[h.typ].Total}
	for _, id := range sortedTasks(h.tasks) { // sums must not depend on a map's order
		t := h.tasks[id]
		r.used += c.takes(t.need, h.typ)
		r.free = r.free.plus(t.need, -1)
	}
	return r
}

// onlyReplicas says whether all that is on a machine are replicas that have served for a
// while: a start that is stopped at once would count as none.
func (c *Core) onlyReplicas(h *host) bool {
	for _, t := range h.tasks {
		j := t.job()
		if j == nil || !j.spec.Service || t.phase != onHost || t.halting || t.state != Running || c.now < t.started+longRun {
			return false
		}
	}
	return true
}

// fitElsewhere books room on the receivers for all replicas of a machine, the fullest
// receiver first, and says whether there was enough. Only machines that hold a replica's
// image count: it should be back within moments.
func (c *Core) fitElsewhere(p *part, h *host, rooms []*receiver) bool {
	type booking struct {
		to   *receiver
		need Amount
	}
	var booked []booking
	for _, id := range sortedTasks(h.tasks) {
		t := h.tasks[id]
		j := t.job()
		found := false
		for i := len(rooms) - 1; i >= 0 && !found; i-- {
			r := rooms[i]
			_, image := r.host.images[j.image]
			if (image || j.image < 0) && t.need.plan().Within(r.free.plan()) && c.allowedOn(j, c.kind(p.zone, r.host.typ, r.host.spot)) {
				r.free = r.free.plus(t.need, -1)
				booked = append(booked, booking{r, t.need})
				found = true
			}
		}
		if !found {
			for _, b := range booked {
				b.to.free = b.to.free.plus(b.need, 1)
			}
			return false
		}
	}
	for _, b := range booked {
		b.to.receives = true
	}
	return true
}

// evictReplicas stops those replicas of a cordoned machine whose services miss none here.
func (c *Core) evictReplicas(p *part, h *host) {
	for _, id := range sortedTasks(h.tasks) {
		t := h.tasks[id]
		if j := t.job(); j != nil && j.spec.Service && t.phase == onHost && t.slice.allRun() {
			c.note(1, "replica evicted", "job", id.Job, "task", id.Index, "host", h.name, "part", p.name)
			c.halt(p, t, 0)
		}
	}
}

// allRun says whether every task of a slice that is not done runs and goes on running.
func (s *slice) allRun() bool {
	for _, t := range s.tasks {
		if t.state != Running || t.halting {
			return false
		}
	}
	return len(s.waiting) == 0
}
