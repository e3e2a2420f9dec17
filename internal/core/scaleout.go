package core

import "math"

const (
	// negligibleTasks is the number of tasks without capacity below which no machine is rented, and
	// the fraction of a machine by which the rented machines may fall short of holding all of them.
	negligibleTasks = 0.01
	// minStillWaitingTasks is the number of tasks that must be expected to wait still when an
	// on-demand machine is up. With fewer, none is rented.
	minStillWaitingTasks = 0.5
	// minQueueSeconds is the lower limit of the queue time in the estimate of tasks that will still
	// wait.
	minQueueSeconds = 0.1
	// maxHostsPerForecastRental is the maximum number of machines rented at a time for forecast
	// demand.
	maxHostsPerForecastRental = 4
)

// countPendingHosts returns the number of machines that are booting, are up but have not confirmed
// the owner's token yet, or are requested from the cloud, by zoneKindIndex.
func (c *Core) countPendingHosts(shard *Shard) map[int]float64 {
	pending := map[int]float64{}
	for _, host := range shard.sortedHosts() {
		if (host.state == hostBooting || host.isJoining(c.now)) && host.typeIndex >= 0 {
			pending[c.zoneKindIndex(shard.zone, host.typeIndex, host.spot)]++
		}
	}
	for _, rental := range shard.rentals {
		kindIndex := c.zoneKindIndex(shard.zone, rental.typeIndex, rental.request.Spot)
		pending[kindIndex] += float64(rental.request.Count)
	}
	return pending
}

// rentForUnplacedWork rents machines for unplaced work that will not fit on the pending machines.
// It updates pendingByKind: capacity that the work will use is subtracted, and spare capacity of
// machines rented here is added.
func (c *Core) rentForUnplacedWork(shard *Shard, work unplacedWork, pendingByKind map[int]float64) {
	job := work.job
	missingTasks := c.tasksWithoutCapacity(work, pendingByKind)
	if missingTasks < negligibleTasks {
		return
	}
	kind, found := c.cheapestRentableKind(shard, job)
	if !found {
		return
	}
	missingTasks = c.tasksWorthRenting(shard, job, kind, missingTasks)
	if missingTasks <= 0 {
		return
	}
	typeIndex := c.typeNames.lookup(kind.Type)
	hosts := missingTasks / float64(c.tasksPerMachine(typeIndex, job.spec.TaskResources))
	count := c.rent(shard, kind, clampTaskCount(math.Ceil(hosts-negligibleTasks)), "unplaced tasks")
	if count > 0 {
		pendingByKind[c.zoneKindIndex(shard.zone, typeIndex, kind.Spot)] += max(float64(count)-hosts, 0)
	}
}

// tasksWithoutCapacity returns the number of tasks that do not fit on the pending machines. It
// subtracts from pendingByKind the machines, in fractions, that the other tasks will fill.
func (c *Core) tasksWithoutCapacity(work unplacedWork, pendingByKind map[int]float64) float64 {
	missingTasks := float64(work.tasks)
	for _, kindIndex := range sortedKeys(pendingByKind) {
		tasksPerHost := float64(c.tasksPerMachine(kindIndex/2%len(c.machineTypes), work.job.spec.TaskResources))
		if tasksPerHost == 0 || pendingByKind[kindIndex] <= 0 ||
			!c.mayRunOn(work.job, kindIndex) || missingTasks <= 0 {
			continue
		}
		usedHosts := min(pendingByKind[kindIndex], missingTasks/tasksPerHost)
		pendingByKind[kindIndex] -= usedHosts
		missingTasks -= usedHosts * tasksPerHost
	}
	return missingTasks
}

// tasksWorthRenting returns for how many of a job's tasks without capacity a machine of the given
// kind should be rented. For work that may use spot instances, on-demand machines are a last
// resort: another shard may have spot instances to rent, and backfill can wait.
func (c *Core) tasksWorthRenting(shard *Shard, job *Job, kind MachineKind, missingTasks float64) float64 {
	typeIndex := c.typeNames.lookup(kind.Type)
	bootTime := secondsToDuration(c.machineTypes[typeIndex].BootSeconds)
	isLastResort := !kind.Spot && job.spec.Spot
	if c.isBackfill(job) {
		assignment := shard.assignments[job.id]
		if assignment == nil {
			return 0
		}
		// With priorityCount, which is above all priorities, the wait is that of the whole queue.
		if c.now < job.firstSeenAt+bootTime && c.queueWaitSeconds(shard, priorityCount)[typeIndex] < toSeconds(bootTime) {
			return 0
		}
		if isLastResort {
			if c.requestTaskMove(shard, job, missingTasks) || c.mustLeaveReserve(assignment) {
				return 0
			}
			missingTasks = min(missingTasks, maxOverdueBackfillTasks)
		}
	}
	if !isLastResort || c.fleetCores(shard, c.fittingTypeSet(job)) <= smallFleetCores {
		return missingTasks
	}
	// On-demand machines are rented only for tasks that are expected to wait still when the
	// machines are up. A job that has already waited for the length of a boot is exempt from this
	// estimate: the queue also counts machines that the job may not be able to use, and with few
	// machines it predicts poorly when the wait will end.
	if c.now < job.firstSeenAt+bootTime {
		queueSeconds := c.queueWaitSeconds(shard, job.spec.Priority)[typeIndex]
		missingTasks *= max(1-toSeconds(bootTime)/max(queueSeconds, minQueueSeconds), 0)
		if missingTasks < minStillWaitingTasks {
			return 0
		}
	}
	if c.requestTaskMove(shard, job, missingTasks) {
		return 0
	}
	return missingTasks
}

// taskMoveRequest is a request to move some of a job's tasks to another shard, which will rent spot
// instances for them.
type taskMoveRequest struct {
	destination *Shard
	tasks       int
}

// requestTaskMove requests that a job's waiting tasks are moved to a shard that can rent spot
// instances for them. It returns false if the job's tasks may not be moved or no shard can rent
// such machines.
func (c *Core) requestTaskMove(shard *Shard, job *Job, tasks float64) bool {
	if !canRunInAnyShard(job) {
		return false
	}
	destination := c.shardWithSpotHosts(shard, c.fittingTypeSet(job), job.spec.Priority)
	if destination == nil {
		return false
	}
	shard.taskMoveRequests[job.id] = taskMoveRequest{destination, clampTaskCount(math.Ceil(tasks))}
	return true
}

// rentForForecast rents machines of one kind for forecast demand, cheapest kind first. Spot
// instances are rented for the peak demand and its growth (forecastCores). On-demand machines are
// rented for the peak only (peakCores); if no queue is longer than a boot, only for sustained
// demand (sustainedCores), since most peaks are over by the time a machine is up. No on-demand
// machines are rented while another shard can rent spot instances.
func (c *Core) rentForForecast(
	shard *Shard, typeSet uint64, forecastCores, peakCores, sustainedCores float64,
) {
	for _, kind := range c.rentableKinds(shard) {
		typeIndex := c.typeNames.lookup(kind.Type)
		cores := forecastCores
		if !kind.Spot {
			cores = peakCores
			// With priorityCount, which is above all priorities, the wait is that of the whole
			// queue.
			if c.queueWaitSeconds(shard, priorityCount)[typeIndex] < c.machineTypes[typeIndex].BootSeconds {
				cores = sustainedCores
			}
		}
		if !kind.Spot && c.otherShardCanRentSpot(shard, typeSet) {
			return
		}
		if count := c.hostsForCores(cores, typeIndex); count > 0 && typeSet&(1<<typeIndex) != 0 {
			c.rent(shard, kind, min(count, maxHostsPerForecastRental), "forecast demand")
			return
		}
	}
}

// rentOnDemandForForecast rents on-demand machines for forecast demand of work that may not run on
// spot instances.
func (c *Core) rentOnDemandForForecast(shard *Shard, typeSet uint64, cores float64) {
	for _, kind := range c.rentableKinds(shard) {
		typeIndex := c.typeNames.lookup(kind.Type)
		if count := c.hostsForCores(cores, typeIndex); count > 0 && !kind.Spot && typeSet&(1<<typeIndex) != 0 {
			c.rent(shard, kind, min(count, maxHostsPerForecastRental), "forecast on-demand work")
			return
		}
	}
}

// hostsForCores returns the number of machines of a type whose total cores are nearest to the given
// cores.
func (c *Core) hostsForCores(cores float64, typeIndex int) int {
	return clampTaskCount(cores/c.machineTypes[typeIndex].Capacity.Cores + 0.5)
}
