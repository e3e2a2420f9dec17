package core

import (
	"cmp"
	"slices"
	"time"

	"roadcleat/internal/model"
)

// Consolidation moves replicas of services off machines that hold few of them, so that these
// machines can be returned. Machines with tasks of job arrays need no consolidation: the tasks
// finish and the machines become empty. Replicas of a service, in contrast, finish one by one and
// leave each machine partly empty, and the machine stays rented until its last replica has
// finished.
//
// A machine to be emptied is cordoned: no new work is placed on it. Its replicas are stopped one at
// a time per service, and only while every other replica of the service in this zone is running.
// For each replica another machine has free capacity and holds its image.

const (
	// maxCordonedRatio and minCordonLimit determine how many of a shard's machines of one pool may
	// be cordoned at a time: this ratio of them, or minCordonLimit if that is more.
	maxCordonedRatio = 1.0 / 32
	minCordonLimit   = 2
	// maxConsolidatedUseRatio is the used ratio of a machine above which it is not emptied, since
	// interrupting its replicas is not worth the saving.
	maxConsolidatedUseRatio = 0.7
	// maxCordonCandidates is the maximum number of machines for which one round searches targets.
	maxCordonCandidates = 8
	// cordonTimeout is the time after which a cordoned machine that still holds tasks is
	// uncordoned.
	cordonTimeout = time.Minute
)

// consolidate cordons and empties machines of the given types, as far as the surplus allows. It
// uncordons them while work in the shard is unplaced, tasks may not be started, the state service
// is unreachable or no heartbeats arrive. A machine is also uncordoned when the surplus no longer
// covers it, or after cordonTimeout if it still holds tasks.
func (c *Core) consolidate(shard *Shard, typeSet uint64, excess surplus) {
	mayCordon := len(shard.unplacedWork) == 0 && c.canStartTasks() && c.stateServiceReachable() && !c.receivesNoHeartbeats(shard)
	cordonedHosts, hosts := 0, 0
	for _, host := range shard.sortedHosts() {
		if !host.hasTypeIn(typeSet) || host.state != hostUp {
			continue
		}
		hosts++
		if !host.cordoned {
			continue
		}
		timedOut := len(host.tasks) > 0 && c.now > host.cordonedAt+cordonTimeout
		if !mayCordon || timedOut || !excess.consume(c.machineTypes[host.typeIndex].Capacity.Cores, host.spot) {
			host.cordoned = false
			shard.needsPlan = true
			continue
		}
		cordonedHosts++
		c.evictReplicas(shard, host)
	}
	maxCordoned := max(int(float64(hosts)*maxCordonedRatio), minCordonLimit)
	if mayCordon && cordonedHosts < maxCordoned {
		c.cordonHosts(shard, typeSet, excess, maxCordoned-cordonedHosts)
	}
}

// cordonHosts cordons up to count machines whose replicas all fit on other machines, least used
// first.
func (c *Core) cordonHosts(shard *Shard, typeSet uint64, excess surplus, count int) {
	candidates := c.consolidationHostsByUse(shard, typeSet)
	tried := 0
	for i, candidate := range candidates {
		hostCores := c.machineTypes[candidate.host.typeIndex].Capacity.Cores
		if count == 0 || tried == maxCordonCandidates || candidate.usedCores > maxConsolidatedUseRatio*hostCores {
			return
		}
		if candidate.hasReservation || !c.holdsOnlyEvictableReplicas(candidate.host) {
			continue
		}
		tried++
		if !c.reserveTargets(shard, candidate.host, candidates[i+1:]) {
			continue
		}
		if !excess.consume(hostCores, candidate.host.spot) {
			return
		}
		candidate.host.cordoned, candidate.host.cordonedAt = true, c.now
		count--
		c.info("host cordoned for consolidation", "host", candidate.host.name, "shard", shard.name,
			"replicas", len(candidate.host.tasks))
		c.evictReplicas(shard, candidate.host)
	}
}

// consolidationHost is a machine that consolidation may empty or use as a target for replicas of
// other machines.
type consolidationHost struct {
	host           *Host
	usedCores      float64         // occupied capacity of the machine, see equivalentCores
	free           model.Resources // resources neither used nor reserved
	hasReservation bool            // resources are reserved for a replica of another machine
}

// consolidationHostsByUse returns the usable machines of the given types that hold tasks, least
// used first.
func (c *Core) consolidationHostsByUse(shard *Shard, typeSet uint64) []*consolidationHost {
	var hosts []*consolidationHost
	for _, host := range shard.sortedHosts() {
		if host.hasTypeIn(typeSet) && host.isUsable(c.now) && len(host.tasks) > 0 {
			hosts = append(hosts, c.newConsolidationHost(host))
		}
	}
	slices.SortStableFunc(hosts, func(a, b *consolidationHost) int {
		return cmp.Compare(a.usedCores, b.usedCores)
	})
	return hosts
}

// newConsolidationHost returns a machine with its present use and free resources.
func (c *Core) newConsolidationHost(host *Host) *consolidationHost {
	result := &consolidationHost{host: host, free: c.machineTypes[host.typeIndex].Capacity}
	for _, id := range sortedTaskIDs(host.tasks) { // the sum must not depend on map iteration order
		task := host.tasks[id]
		result.usedCores += c.equivalentCores(task.resources, host.typeIndex)
		result.free = result.free.Minus(task.resources)
	}
	return result
}

// holdsOnlyEvictableReplicas reports whether all tasks of a machine are replicas that have been
// running for at least healthyReplicaUptime. A replica that is stopped earlier would be judged as
// one that never started.
func (c *Core) holdsOnlyEvictableReplicas(host *Host) bool {
	for _, task := range host.tasks {
		job := task.job()
		if job == nil || !job.spec.Service || task.phase != taskPlaced || task.stopping {
			return false
		}
		if task.state != TaskRunning || c.now < task.startedAt+healthyReplicaUptime {
			return false
		}
	}
	return true
}

// reservation records the resources reserved on a target for a replica of another machine.
type reservation struct {
	target *consolidationHost
	need   model.Resources
}

// reserveTargets reserves resources for every replica of a machine on the most used targets on
// which they fit. It returns false and reserves nothing if any replica does not fit.
func (c *Core) reserveTargets(shard *Shard, host *Host, targets []*consolidationHost) bool {
	var reserved []reservation
	for _, id := range sortedTaskIDs(host.tasks) {
		task := host.tasks[id]
		target := c.fullestTargetFor(shard, task, targets)
		if target == nil {
			for _, entry := range reserved {
				entry.target.free = entry.target.free.Plus(entry.need)
			}
			return false
		}
		target.free = target.free.Minus(task.resources)
		reserved = append(reserved, reservation{target, task.resources})
	}
	for _, entry := range reserved {
		entry.target.hasReservation = true
	}
	return true
}

// fullestTargetFor returns the most used target with free resources for a replica, or nil. The
// target must hold the replica's image, so that the replica restarts without an image fetch.
func (c *Core) fullestTargetFor(shard *Shard, task *Task, targets []*consolidationHost) *consolidationHost {
	job := task.job()
	for _, target := range slices.Backward(targets) {
		_, cached := target.host.imageLastUsedAt[job.image]
		kindIndex := c.zoneKindIndex(shard.zone, target.host.typeIndex, target.host.spot)
		if (cached || job.image < 0) && task.resources.FitsIn(target.free) && c.mayRunOn(job, kindIndex) {
			return target
		}
	}
	return nil
}

// evictReplicas stops the replicas of a cordoned machine whose service has all its replicas of this
// shard running.
func (c *Core) evictReplicas(shard *Shard, host *Host) {
	for _, id := range sortedTaskIDs(host.tasks) {
		task := host.tasks[id]
		if job := task.job(); job != nil && job.spec.Service && task.phase == taskPlaced &&
			task.assignment.allTasksRunning() {
			c.info("evicting replica from cordoned host", "job", id.Job, "task", id.Index,
				"host", host.name, "shard", shard.name)
			c.stopTask(shard, task, 0)
		}
	}
}

// allTasksRunning reports whether every unfinished task of an assignment is running and not being
// stopped.
func (a *Assignment) allTasksRunning() bool {
	for _, task := range a.tasks {
		if task.state != TaskRunning || task.stopping {
			return false
		}
	}
	return len(a.waiting) == 0
}
