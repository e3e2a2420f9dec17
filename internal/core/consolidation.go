package core

import (
	"cmp"
	"roadcleat/internal/model"
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
func (c *Core) consolidate(shard *Shard, types uint64, over surplus) {
	calm := len(shard.unplaced) == 0 && c.mayStartTasks() && c.storeReachable() && !c.noHeartbeats(shard)
	cordoned, machines := 0, 0
	for _, host := range shard.hostList() {
		if host.typeIndex < 0 || types&(1<<host.typeIndex) == 0 || host.state != hostUp {
			continue
		}
		machines++
		if !host.cordoned {
			continue
		}
		stuck := len(host.tasks) > 0 && c.now > host.cordonedAt+longestCordon
		if !calm || stuck || !over.take(c.types[host.typeIndex].Capacity.Cores, host.spot) {
			host.cordoned = false
			shard.needsPlan = true
			continue
		}
		cordoned++
		c.evictReplicas(shard, host)
	}
	most := max(int(float64(machines)*cordonedShare), cordonedLeast)
	if calm && cordoned < most {
		c.cordonMachines(shard, types, over, most-cordoned)
	}
}

// cordonMachines chooses up to so many machines whose replicas have room elsewhere, those
// with the fewest first.
func (c *Core) cordonMachines(shard *Shard, types uint64, over surplus, most int) {
	var rooms []*receiver
	for _, host := range shard.hostList() {
		if host.typeIndex >= 0 && types&(1<<host.typeIndex) != 0 && host.isUsable(c.now) && len(host.tasks) > 0 {
			rooms = append(rooms, c.receiverOf(host))
		}
	}
	slices.SortStableFunc(rooms, func(a, b *receiver) int { return cmp.Compare(a.used, b.used) })
	tries := 0
	for i, r := range rooms {
		if most == 0 || tries == cordonTries || r.used > consolidateUpTo*c.types[r.host.typeIndex].Capacity.Cores {
			return
		}
		if r.receives || !c.onlyReplicas(r.host) {
			continue
		}
		tries++
		if !c.fitElsewhere(shard, r.host, rooms[i+1:]) {
			continue
		}
		if !over.take(c.types[r.host.typeIndex].Capacity.Cores, r.host.spot) {
			return
		}
		r.host.cordoned, r.host.cordonedAt = true, c.now
		most--
		c.info("host cordoned", "host", r.host.name, "part", shard.name, "replicas", len(r.host.tasks))
		c.evictReplicas(shard, r.host)
	}
}

// receiver is a machine that may take replicas of others.
type receiver struct {
	host     *Host
	used     float64 // of the machine, in its cores
	free     model.Resources
	receives bool // some replica is to go there
}

func (c *Core) receiverOf(host *Host) *receiver {
	r := &receiver{host: host, free: c.types[host.typeIndex].Capacity}
	for _, id := range sortedTasks(host.tasks) { // sums must not depend on a map's order
		task := host.tasks[id]
		r.used += c.coresTaken(task.need, host.typeIndex)
		r.free = r.free.Minus(task.need)
	}
	return r
}

// onlyReplicas says whether all that is on a machine are replicas that have served for a
// while: a start that is stopped at once would count as none.
func (c *Core) onlyReplicas(host *Host) bool {
	for _, task := range host.tasks {
		job := task.job()
		if job == nil || !job.spec.Service || task.phase != taskPlaced || task.stopping || task.state != TaskRunning || c.now < task.startedAt+serviceProvenAfter {
			return false
		}
	}
	return true
}

// fitElsewhere books room on the receivers for all replicas of a machine, the fullest
// receiver first, and says whether there was enough. Only machines that hold a replica's
// image count: it should be back within moments.
func (c *Core) fitElsewhere(shard *Shard, host *Host, rooms []*receiver) bool {
	type booking struct {
		to   *receiver
		need model.Resources
	}
	var booked []booking
	for _, id := range sortedTasks(host.tasks) {
		task := host.tasks[id]
		job := task.job()
		found := false
		for i := len(rooms) - 1; i >= 0 && !found; i-- {
			r := rooms[i]
			_, image := r.host.images[job.image]
			if (image || job.image < 0) && task.need.FitsIn(r.free) && c.allowedOn(job, c.kindIndex(shard.zone, r.host.typeIndex, r.host.spot)) {
				r.free = r.free.Minus(task.need)
				booked = append(booked, booking{r, task.need})
				found = true
			}
		}
		if !found {
			for _, b := range booked {
				b.to.free = b.to.free.Plus(b.need)
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
func (c *Core) evictReplicas(shard *Shard, host *Host) {
	for _, id := range sortedTasks(host.tasks) {
		task := host.tasks[id]
		if job := task.job(); job != nil && job.spec.Service && task.phase == taskPlaced && task.assignment.allRun() {
			c.info("replica evicted", "job", id.Job, "task", id.Index, "host", host.name, "part", shard.name)
			c.stopTask(shard, task, 0)
		}
	}
}

// allRun says whether every task of a slice that is not done runs and goes on running.
func (a *Assignment) allRun() bool {
	for _, task := range a.tasks {
		if task.state != TaskRunning || task.stopping {
			return false
		}
	}
	return len(a.waiting) == 0
}
