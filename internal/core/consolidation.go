package core

import (
	"cmp"
	"slices"
	"time"

	"roadcleat/internal/model"
)

// Consolidation moves the replicas of services off machines that hold few of them, so that
// these machines can be returned. Arrays end, so machines with their tasks empty by themselves.
// A service's replicas end one by one and leave each machine partly empty, and a machine stays
// rented until the last of them has ended. A machine that is to be emptied is cordoned: it gets
// no new work. Its replicas are stopped one at a time per service, and only while every other
// replica of the service in this zone runs; each finds room and its image on another machine.

const (
	// cordonedShare and minCordoned bound how many of a zone's machines are emptied at a
	// time: a share of them, but always the minimum.
	cordonedShare = 1.0 / 32
	minCordoned   = 2
	// maxConsolidatedShare is the share of a machine in use up to which emptying it is worth
	// interrupting its replicas.
	maxConsolidatedShare = 0.7
	// maxCordonTries bounds how many machines are tried in one round.
	maxCordonTries = 8
	// longestCordon is how long a machine may stay cordoned without becoming empty.
	longestCordon = time.Minute
)

// consolidate empties machines of the types given as far as the surplus allows and nothing in
// the zone waits for room.
func (c *Core) consolidate(shard *Shard, types uint64, over surplus) {
	calm := len(shard.unplaced) == 0 && c.mayStartTasks() && c.storeReachable() && !c.noHeartbeats(shard)
	cordoned, machines := 0, 0
	for _, host := range shard.hostList() {
		if !host.isOfTypes(types) || host.state != hostUp {
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
	maxCordoned := max(int(float64(machines)*cordonedShare), minCordoned)
	if calm && cordoned < maxCordoned {
		c.cordonHosts(shard, types, over, maxCordoned-cordoned)
	}
}

// cordonHosts cordons up to so many machines whose replicas have room elsewhere, those with
// the least in use first.
func (c *Core) cordonHosts(shard *Shard, types uint64, over surplus, count int) {
	receivers := c.receiversByUse(shard, types)
	tries := 0
	for i, r := range receivers {
		capacity := c.types[r.host.typeIndex].Capacity.Cores
		if count == 0 || tries == maxCordonTries || r.used > maxConsolidatedShare*capacity {
			return
		}
		if r.receives || !c.holdsOnlyReplicas(r.host) {
			continue
		}
		tries++
		if !c.reserveElsewhere(shard, r.host, receivers[i+1:]) {
			continue
		}
		if !over.take(capacity, r.host.spot) {
			return
		}
		r.host.cordoned, r.host.cordonedAt = true, c.now
		count--
		c.info("host cordoned", "host", r.host.name, "shard", shard.name, "replicas", len(r.host.tasks))
		c.evictReplicas(shard, r.host)
	}
}

// receiver is a machine that may take replicas of others.
type receiver struct {
	host     *Host
	used     float64 // of the machine, in its cores
	free     model.Resources
	receives bool // room is reserved there for a replica
}

// receiversByUse lists the usable machines of the types given that hold tasks, those with the
// least in use first.
func (c *Core) receiversByUse(shard *Shard, types uint64) []*receiver {
	var receivers []*receiver
	for _, host := range shard.hostList() {
		if host.isOfTypes(types) && host.isUsable(c.now) && len(host.tasks) > 0 {
			receivers = append(receivers, c.receiverOf(host))
		}
	}
	slices.SortStableFunc(receivers, func(a, b *receiver) int { return cmp.Compare(a.used, b.used) })
	return receivers
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

// holdsOnlyReplicas reports whether a machine holds nothing but replicas that have run for a
// while: one that is stopped right after its start would count as never started.
func (c *Core) holdsOnlyReplicas(host *Host) bool {
	for _, task := range host.tasks {
		job := task.job()
		if job == nil || !job.spec.Service || task.phase != taskPlaced || task.stopping {
			return false
		}
		if task.state != TaskRunning || c.now < task.startedAt+serviceProvenAfter {
			return false
		}
	}
	return true
}

// reservation is room on a receiver for a replica of another machine.
type reservation struct {
	receiver *receiver
	need     model.Resources
}

// reserveElsewhere reserves room on the receivers for all replicas of a machine, on the fullest
// receiver first, or none at all, and reports which.
func (c *Core) reserveElsewhere(shard *Shard, host *Host, receivers []*receiver) bool {
	var reserved []reservation
	for _, id := range sortedTasks(host.tasks) {
		task := host.tasks[id]
		r := c.receiverFor(shard, task, receivers)
		if r == nil {
			for _, made := range reserved {
				made.receiver.free = made.receiver.free.Plus(made.need)
			}
			return false
		}
		r.free = r.free.Minus(task.need)
		reserved = append(reserved, reservation{r, task.need})
	}
	for _, made := range reserved {
		made.receiver.receives = true
	}
	return true
}

// receiverFor is the fullest receiver with room for a replica, or nil. Only machines that hold
// its image count, so that the replica is back within moments.
func (c *Core) receiverFor(shard *Shard, task *Task, receivers []*receiver) *receiver {
	job := task.job()
	for _, r := range slices.Backward(receivers) {
		_, held := r.host.images[job.image]
		kind := c.kindIndex(shard.zone, r.host.typeIndex, r.host.spot)
		if (held || job.image < 0) && task.need.FitsIn(r.free) && c.allowedOn(job, kind) {
			return r
		}
	}
	return nil
}

// evictReplicas stops the replicas of a cordoned machine whose services lack none here.
func (c *Core) evictReplicas(shard *Shard, host *Host) {
	for _, id := range sortedTasks(host.tasks) {
		task := host.tasks[id]
		if job := task.job(); job != nil && job.spec.Service && task.phase == taskPlaced && task.assignment.allRun() {
			c.info("replica evicted", "job", id.Job, "task", id.Index, "host", host.name, "shard", shard.name)
			c.stopTask(shard, task, 0)
		}
	}
}

// allRun reports whether every task of an assignment that is not done runs and is not being
// stopped.
func (a *Assignment) allRun() bool {
	for _, task := range a.tasks {
		if task.state != TaskRunning || task.stopping {
			return false
		}
	}
	return len(a.waiting) == 0
}
