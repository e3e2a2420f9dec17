package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"roadcleat/internal/model"
)

const (
	// saveMarginSeconds is the time that a worker may take to stop a task beyond the time that
	// the task needs to save its checkpoint.
	saveMarginSeconds = 1.0
	// minPreemptionGainSeconds is how much earlier a task must be able to start by preemption for
	// other tasks to be preempted for it.
	minPreemptionGainSeconds = 3.0
	// preemptionOverhead is the expected duration of a preemption beyond the grace period.
	preemptionOverhead = time.Second
)

// isPreemptible reports whether a task is backfill that loses little work when it is stopped: its
// job saves checkpoints, or it has not started to run.
func (c *Core) isPreemptible(task *Task) bool {
	job := task.job()
	return canBeStopped(task) && c.isBackfill(job) && (job.spec.CheckpointIntervalSeconds > 0 || task.state == TaskFetching)
}

// canBeStopped reports whether a task belongs to a pending job, is placed on a machine and is not
// being stopped yet.
func canBeStopped(task *Task) bool {
	job := task.job()
	return job != nil && job.state == model.JobPending && task.phase == taskPlaced && !task.stopping
}

// isPreemptibleFor reports whether a task may be stopped so that a task of the given job can use
// its resources: backfill, and for replicas of a service also any job array of lower priority.
// Every second with a missing replica counts against the service's objective, and a replica keeps
// its machine once it runs, whereas the array's task is stopped once and restarts on another
// machine.
func (c *Core) isPreemptibleFor(task *Task, job *Job) bool {
	victim := task.job()
	if c.isPreemptible(task) {
		return victim.spec.Priority > job.spec.Priority || c.isUnderGuarantee[job.team]
	}
	return canBeStopped(task) && job.spec.Service && !victim.spec.Service && victim.spec.Priority > job.spec.Priority
}

// preemptibleHosts returns the hosts with backfill tasks that may be preempted.
func (c *Core) preemptibleHosts(shard *Shard) []*Host {
	return c.usableHostsWith(shard, c.isPreemptible)
}

// preemptibleHostsFor returns the hosts with tasks that may be preempted for the given job.
func (c *Core) preemptibleHostsFor(shard *Shard, job *Job) []*Host {
	return c.usableHostsWith(shard, func(task *Task) bool { return c.isPreemptibleFor(task, job) })
}

// usableHostsWith returns the usable hosts with at least one matching task. The result is not
// nil, so that an empty one can be cached.
func (c *Core) usableHostsWith(shard *Shard, matches func(*Task) bool) []*Host {
	hosts := []*Host{}
	for _, host := range shard.sortedHosts() {
		if host.typeIndex < 0 || !host.isUsable(c.now) {
			continue
		}
		for _, task := range host.tasks {
			if matches(task) {
				hosts = append(hosts, host)
				break
			}
		}
	}
	return hosts
}

// preemptionOffer is what preempting tasks on a host would free and lose.
type preemptionOffer struct {
	host                *Host
	victims             []*Task         // preemptible tasks that are not stopped yet
	freeResources       model.Resources // free resources, without those of the victims
	hasImage            bool            // the host holds the image of the job to be started
	meanLossCoreSeconds float64         // mean loss of a victim, see preemptionLossCoreSeconds
}

// preemptFor stops tasks where this lets tasks of the assignment start earlier, and returns the
// number of the assignment's tasks for which resources are being freed. It stops as few tasks as
// possible, those that lose least first, and lets them save checkpoints if the job can wait for
// that. The expected end of each preemption is kept in preemptionDeadlines, so that until then
// later plans do not preempt for the same tasks again. allStartedBy is the time in seconds by which
// all of the job's tasks would start without preemption.
func (c *Core) preemptFor(shard *Shard, assignment *Assignment, tasks int, allStartedBy float64, hosts []*Host) int {
	job := assignment.job
	expired := func(until time.Duration) bool { return c.now >= until }
	assignment.preemptionDeadlines = slices.DeleteFunc(assignment.preemptionDeadlines, expired)
	wanted := tasks - len(assignment.preemptionDeadlines)
	if wanted <= 0 || c.isBackfill(job) || job.spec.Gang || job.failedTrials > 0 {
		return len(assignment.preemptionDeadlines)
	}
	for _, offer := range c.preemptionOffers(shard, job, allStartedBy, hosts) {
		slices.SortFunc(offer.victims, c.compareLoss)
		for wanted > 0 && c.preemptOn(shard, assignment, offer) {
			wanted--
		}
		if wanted <= 0 {
			break
		}
	}
	return len(assignment.preemptionDeadlines)
}

// preemptionOffers returns the hosts on which tasks may be preempted for the job: first those
// that hold its image, then by mean loss. It excludes hosts where the image would not be ready at
// least minPreemptionGainSeconds before allStartedBy.
func (c *Core) preemptionOffers(shard *Shard, job *Job, allStartedBy float64, hosts []*Host) []*preemptionOffer {
	var offers []*preemptionOffer
	for _, host := range hosts {
		if !host.isUsable(c.now) || !c.mayRunOn(job, c.zoneKindIndex(shard.zone, host.typeIndex, host.spot)) {
			continue
		}
		if c.imageReadyAt(host, job)+minPreemptionGainSeconds > allStartedBy {
			continue
		}
		if offer := c.preemptionOfferOf(host, job); len(offer.victims) > 0 {
			offers = append(offers, offer)
		}
	}
	slices.SortStableFunc(offers, func(a, b *preemptionOffer) int {
		return cmp.Or(trueFirst(a.hasImage, b.hasImage), cmp.Compare(a.meanLossCoreSeconds, b.meanLossCoreSeconds))
	})
	return offers
}

// preemptionOfferOf returns the offer of a host for a job; it has no victims if nothing may be
// preempted there.
func (c *Core) preemptionOfferOf(host *Host, job *Job) *preemptionOffer {
	offer := &preemptionOffer{host: host, freeResources: c.machineTypes[host.typeIndex].Capacity}
	_, offer.hasImage = host.imageLastUsedAt[job.image]
	totalLoss := 0.0
	// The order is fixed because floating-point sums depend on it.
	for _, id := range sortedTaskIDs(host.tasks) {
		task := host.tasks[id]
		offer.freeResources = offer.freeResources.Minus(task.resources)
		if c.isPreemptibleFor(task, job) {
			offer.victims = append(offer.victims, task)
			totalLoss += c.preemptionLossCoreSeconds(task)
		}
	}
	if len(offer.victims) > 0 {
		offer.meanLossCoreSeconds = totalLoss / float64(len(offer.victims))
	}
	return offer
}

// compareLoss orders tasks by the work lost if they are preempted, then by task ID.
func (c *Core) compareLoss(a, b *Task) int {
	return cmp.Or(
		cmp.Compare(c.preemptionLossCoreSeconds(a), c.preemptionLossCoreSeconds(b)),
		cmp.Compare(a.id.Job, b.id.Job),
		cmp.Compare(a.id.Index, b.id.Index),
	)
}

// preemptOn stops as many tasks on a host as one task of the assignment needs, and reports
// whether it did. It does nothing if that task fits without preemption, since the next plan
// places it, or if it does not fit even when all victims are stopped.
func (c *Core) preemptOn(shard *Shard, assignment *Assignment, offer *preemptionOffer) bool {
	job := assignment.job
	victimCount, free := 0, offer.freeResources
	for !job.spec.TaskResources.FitsIn(free) && victimCount < len(offer.victims) {
		free = free.Plus(offer.victims[victimCount].resources)
		victimCount++
	}
	if victimCount == 0 || !job.spec.TaskResources.FitsIn(free) {
		return false
	}
	expectedUntil := c.now + preemptionOverhead
	for _, task := range offer.victims[:victimCount] {
		graceSeconds := c.gracePeriodSeconds(job, task)
		expectedUntil = max(expectedUntil, c.now+secondsToDuration(graceSeconds)+preemptionOverhead)
		c.stats.Preempted++
		c.info("task preempted", "job", task.id.Job, "task", task.id.Index, "host", offer.host.name,
			"shard", shard.name, "for", job.id, "grace_period_s", graceSeconds)
		c.stopTask(shard, task, graceSeconds)
	}
	offer.victims, offer.freeResources = offer.victims[victimCount:], free.Minus(job.spec.TaskResources)
	assignment.preemptionDeadlines = append(assignment.preemptionDeadlines, expectedUntil)
	return true
}

// imageReadyAt returns when a host can have a job's image, in seconds.
func (c *Core) imageReadyAt(host *Host, job *Job) float64 {
	if _, held := host.imageLastUsedAt[job.image]; held || job.image < 0 {
		return toSeconds(c.now)
	}
	if fetchedAt, fetching := host.fetchingUntil[job.image]; fetching {
		return toSeconds(max(fetchedAt, c.now))
	}
	return toSeconds(max(host.fetchQueueEmptyAt, c.now)) + job.spec.ImageGB*c.imageFetchSecondsPerGB(host.typeIndex)
}

// preemptionLossCoreSeconds returns how many core seconds of work are lost if a task is stopped
// without time to save a checkpoint.
func (c *Core) preemptionLossCoreSeconds(task *Task) float64 {
	job := task.job()
	if job == nil || task.state != TaskRunning {
		return 0
	}
	lostSeconds := toSeconds(c.now - task.startedAt)
	if checkpointInterval := job.spec.CheckpointIntervalSeconds; checkpointInterval > 0 {
		lostSeconds = math.Mod(lostSeconds, checkpointInterval)
	}
	return lostSeconds * task.resources.Cores
}

// gracePeriodSeconds returns how long a task may save its checkpoint when it is preempted for the
// given job: as long as it needs, or 0 if the job would then miss its start objective, which it
// can still meet otherwise.
func (c *Core) gracePeriodSeconds(job *Job, task *Task) float64 {
	saveSeconds := checkpointSaveSeconds(task)
	waited := toSeconds(c.now - job.firstSeenAt)
	startLimit, hasObjective := c.cfg.StartObjectives[job.spec.Class]
	if saveSeconds > 0 && hasObjective && waited+saveSeconds > startLimit && waited <= startLimit {
		return 0
	}
	return saveSeconds
}

// checkpointSaveSeconds returns how long a task needs to save its checkpoint when it is stopped:
// 0 if it is not running or its job saves no checkpoints.
func checkpointSaveSeconds(task *Task) float64 {
	job := task.job()
	if job == nil || job.spec.CheckpointIntervalSeconds <= 0 || task.state != TaskRunning {
		return 0
	}
	return job.spec.SaveSeconds + saveMarginSeconds
}
