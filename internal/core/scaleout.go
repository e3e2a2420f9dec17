package core

import "math"

const (
	// negligibleTasks is the number of missing tasks below which no machine is rented, and
	// by which a machine may be short of holding all of them.
	negligibleTasks = 0.01
	// minLastingTasks is how many tasks must be expected to wait still when an on-demand
	// machine is up for one to be rented.
	minLastingTasks = 0.5
	// minQueueSeconds bounds the queue by which that is estimated.
	minQueueSeconds = 0.1
	// maxForeseenAtOnce is how many machines are rented at a time for foreseen demand.
	maxForeseenAtOnce = 4
)

// pendingHosts counts the machines that boot, join or are being rented, by kind.
func (c *Core) pendingHosts(shard *Shard) map[int]float64 {
	pending := map[int]float64{}
	for _, host := range shard.hostList() {
		if (host.state == hostBooting || host.isJoining(c.now)) && host.typeIndex >= 0 {
			pending[c.kindIndex(shard.zone, host.typeIndex, host.spot)]++
		}
	}
	for _, rental := range shard.rentals {
		kind := c.kindIndex(shard.zone, rental.typeIndex, rental.request.Spot)
		pending[kind] += float64(rental.request.Count)
	}
	return pending
}

// rentFor rents machines for work that finds no room soon, beyond what machines that are coming
// will hold. The room of these is used up by that.
func (c *Core) rentFor(shard *Shard, work unplacedWork, coming map[int]float64) {
	job := work.job
	missing := c.missingRoom(work, coming)
	if missing < negligibleTasks {
		return
	}
	offer, found := c.firstOfferFor(shard, job)
	if !found {
		return
	}
	missing = c.worthRenting(shard, job, offer, missing)
	if missing <= 0 {
		return
	}
	typ := c.typeIndex.lookup(offer.Type)
	machines := missing / float64(c.tasksPerMachine(typ, job.spec.Need))
	count := c.rent(shard, offer, wholeTasks(math.Ceil(machines-negligibleTasks)), "waiting work")
	if count > 0 {
		coming[c.kindIndex(shard.zone, typ, offer.Spot)] += max(float64(count)-machines, 0)
	}
}

// missingRoom is how many of the tasks find no room on machines that are coming. The room
// there that the rest of the tasks take is subtracted from coming.
func (c *Core) missingRoom(work unplacedWork, coming map[int]float64) float64 {
	missing := float64(work.tasks)
	for _, kind := range sorted(coming) {
		perMachine := float64(c.tasksPerMachine(kind/2%len(c.types), work.job.spec.Need))
		if perMachine == 0 || coming[kind] <= 0 || !c.allowedOn(work.job, kind) || missing <= 0 {
			continue
		}
		used := min(coming[kind], missing/perMachine)
		coming[kind] -= used
		missing -= used * perMachine
	}
	return missing
}

// worthRenting is for how many of a job's missing tasks a machine of the kind offered is worth
// its price. On-demand machines for work that may use spot ones are rented only as a last
// resort: other shards may have spot machines, and backfill can wait.
func (c *Core) worthRenting(shard *Shard, job *Job, offer MachineKind, missing float64) float64 {
	typ := c.typeIndex.lookup(offer.Type)
	boot := duration(c.types[typ].BootSeconds)
	lastResort := !offer.Spot && job.spec.Spot
	if c.isBackfill(job) {
		assignment := shard.assignments[job.id]
		if assignment == nil {
			return 0
		}
		if c.now < job.knownSince+boot && c.queueSeconds(shard, priorities)[typ] < seconds(boot) {
			return 0
		}
		if lastResort {
			if c.exportTasks(shard, job, missing) || c.leavesReserve(assignment) {
				return 0
			}
			missing = min(missing, overdueBackfillTasks)
		}
	}
	if !lastResort || c.capacity(shard, c.typeSet(job)) <= smallFleetCores {
		return missing
	}
	// On-demand machines only for tasks that still wait when they are up. A job that has
	// waited for a boot already is not delayed by an estimate: the queue counts machines that
	// the job may be unable to use, and on few machines it says little of when it ends.
	if c.now < job.knownSince+boot {
		queue := c.queueSeconds(shard, job.spec.Priority)[typ]
		missing *= max(1-seconds(boot)/max(queue, minQueueSeconds), 0)
		if missing < minLastingTasks {
			return 0
		}
	}
	if c.exportTasks(shard, job, missing) {
		return 0
	}
	return missing
}

// taskExport is work to be moved to another shard, which rents spot machines for it.
type taskExport struct {
	to    *Shard
	tasks int
}

// exportTasks has waiting tasks moved to the shard that can rent spot machines for them. It
// reports whether there is one and the tasks may go there.
func (c *Core) exportTasks(shard *Shard, job *Job, tasks float64) bool {
	if !movable(job) {
		return false
	}
	other := c.spotElsewhere(shard, c.typeSet(job), job.spec.Priority)
	if other == nil {
		return false
	}
	shard.exports[job.id] = taskExport{other, wholeTasks(math.Ceil(tasks))}
	return true
}

// rentForDemand rents machines of one kind for foreseen demand. Spot machines are rented for
// the cores that peaks and their growth need; on-demand ones only for the peaks, and where no
// queue outlasts a boot only for demand that lasts, since most peaks are over by the time a
// machine is up. None of the latter are rented while other shards can rent spot ones.
func (c *Core) rentForDemand(shard *Shard, types uint64, grown, peaks, lasting float64) {
	for _, offer := range c.offers(shard) {
		typ := c.typeIndex.lookup(offer.Type)
		cores := grown
		if !offer.Spot {
			cores = peaks
			if c.queueSeconds(shard, priorities)[typ] < c.types[typ].BootSeconds {
				cores = lasting
			}
		}
		if !offer.Spot && c.spotAvailableElsewhere(shard, types) {
			return
		}
		if count := c.machinesFor(cores, typ); count > 0 && types&(1<<typ) != 0 {
			c.rent(shard, offer, min(count, maxForeseenAtOnce), "foreseen demand")
			return
		}
	}
}

// rentOnDemand rents on-demand machines for foreseen demand of work that may use no others.
func (c *Core) rentOnDemand(shard *Shard, types uint64, cores float64) {
	for _, offer := range c.offers(shard) {
		typ := c.typeIndex.lookup(offer.Type)
		if count := c.machinesFor(cores, typ); count > 0 && !offer.Spot && types&(1<<typ) != 0 {
			c.rent(shard, offer, min(count, maxForeseenAtOnce), "foreseen on-demand work")
			return
		}
	}
}

// machinesFor is the nearest number of machines of a type that have so many cores.
func (c *Core) machinesFor(cores float64, typ int) int {
	return wholeTasks(cores/c.types[typ].Capacity.Cores + 0.5)
}
