package core

import (
	"cmp"
	"math"
	"roadcleat/internal/model"
	"slices"
	"time"
)

// Backfill is work that only borrows: that of teams without a guarantee, and work of
// the lowest priority beyond its team's guarantee. It takes what others leave. The
// room that the recent past says others will want again is kept free of it, no
// dear machine is hired for it, and where others lack room all the same, backfill
// that saves its progress is preempted. Without that, long tasks that came in a quiet
// hour held the machines, and every later peak of urgent work waited for them.

// updateGuarantees notes which teams use less than their guarantee.
func (c *Core) updateGuarantees() {
	for t := range c.teamConfigs {
		used, g := c.teamUsage(t), c.teamConfigs[t].Guarantee
		c.underGuarantee[t] = used.Cores < g.Cores || used.GPUs < g.GPUs
	}
}

// isBackfill says whether a job only borrows.
func (c *Core) isBackfill(job *Job) bool {
	if job.team < 0 {
		return false
	}
	return c.teamConfigs[job.team].Guarantee == (model.Resources{}) || job.spec.Priority == priorities-1 && !c.underGuarantee[job.team]
}

// preemptible says whether a running task may be stopped at little loss for a job that
// needs its room.
func (c *Core) preemptible(task *Task) bool {
	job := task.job()
	return job != nil && job.state == model.JobPending && task.phase == taskPlaced && !task.stopping && c.isBackfill(job) &&
		(job.spec.CheckpointSeconds > 0 || task.state == TaskFetching)
}

// backfillReserve is what is kept free of backfill, in cores by pool of machine types.
type backfillReserve struct {
	pools []uint64
	cores []float64
}

// backfillShare is the part of the machines that is not kept free of backfill however much
// others want: small work of theirs need not wait for a quiet hour.
const backfillShare = 1.0 / 16

// roomForBackfill is what backfill may still take of the part's machines, by pool: what is
// there, less what others use or are likely to want again, less what backfill have.
func (c *Core) roomForBackfill(shard *Shard) []float64 {
	total, backfill, others := make([]float64, len(shard.reserve.pools)), make([]float64, len(shard.reserve.pools)), make([]float64, len(shard.reserve.pools))
	for _, host := range shard.hostList() {
		if !host.countsForPlans(c.now) || host.state != hostUp {
			continue
		}
		i := poolOf(shard.reserve.pools, host.typeIndex)
		total[i] += c.types[host.typeIndex].Capacity.Cores
		for _, task := range host.tasks {
			if job := task.job(); job != nil && c.isBackfill(job) {
				backfill[i] += c.coresTaken(task.need, host.typeIndex)
			} else {
				others[i] += c.coresTaken(task.need, host.typeIndex)
			}
		}
	}
	room := make([]float64, len(total))
	for i := range room {
		kept := max(others[i], min(shard.reserve.cores[i], total[i]*(1-backfillShare)))
		room[i] = total[i] - kept - backfill[i]
	}
	return room
}

// backfillCandidates is the machines of pools in which a backfill job's tasks still have room, and how
// many of them all pools together may take.
func (c *Core) backfillCandidates(k *backfillReserve, job *Job, all []device, left []float64) (fit []device, most int) {
	for _, d := range all {
		if left[poolOf(k.pools, d.host.typeIndex)] >= c.coresTaken(job.spec.Need, d.host.typeIndex) {
			fit = append(fit, d)
		}
	}
	for i, room := range left {
		for t := range c.types {
			if poolOf(k.pools, t) == i && room > 0 {
				most += wholeTasks(room / c.coresTaken(job.spec.Need, t))
				break
			}
		}
	}
	return fit, most
}

// backfillRoomOn is what backfill may still take of a part's machines of a type, as its owner
// last said or as was last reckoned here.
func (c *Core) backfillRoomOn(shard *Shard, typ int) float64 {
	if !shard.servedHere() {
		if shard.view == nil {
			return 0
		}
		return shard.view.BackfillRoom[c.types[typ].Name]
	}
	if shard.reserve.pools == nil {
		return 0
	}
	if shard.backfillRoom == nil || c.now > shard.backfillRoomAt+500*time.Millisecond {
		shard.backfillRoom, shard.backfillRoomAt = c.roomForBackfill(shard), c.now
	}
	return shard.backfillRoom[poolOf(shard.reserve.pools, typ)]
}

// noBackfillRoomCost is by how many seconds a part without room for backfill is worse for one
// than a part with some.
const noBackfillRoomCost = 30.0

// overdueBackfillTasks is how many tasks of a backfill job that has waited far too long for its first
// start at once, whatever is kept for others.
const overdueBackfillTasks = 4

// leavesReserve says whether a backfill job leaves alone what is kept for others. One that has been
// there for very long does not any more; it still comes after all others.
func (c *Core) leavesReserve(s *Assignment) bool {
	return c.isBackfill(s.job) && !c.isOverdue(s) && !c.hasWaitedTooLong(s) && c.now <= s.job.knownSince+overdueAfter
}

// backfillWait is how long all of a backfill job may wait beside room that is kept for others.
const backfillWait = time.Minute

// hasWaitedTooLong says whether nothing of a backfill job has run here for so long that some of it starts
// whatever is kept for others. Time spent in other parts counts: what was moved for want
// of room had waited its minute there, and waited another one in each part.
func (c *Core) hasWaitedTooLong(s *Assignment) bool {
	return len(s.tasks) == 0 && c.now > max(s.job.knownSince, s.lastExitAt)+backfillWait
}

// preemptibleFor says whether a task may be stopped so that one of job j's starts in its room:
// what only borrows, and any array of lower priority for the replicas of a service. A
// replica that is missing is missed every second, and it stays: stopped once, the
// array's task starts elsewhere and that room is the service's for good.
func (c *Core) preemptibleFor(task *Task, job *Job) bool {
	v := task.job()
	if c.preemptible(task) {
		return v.spec.Priority > job.spec.Priority || c.underGuarantee[job.team]
	}
	return v != nil && job.spec.Service && !v.spec.Service && v.spec.Priority > job.spec.Priority &&
		v.state == model.JobPending && task.phase == taskPlaced && !task.stopping
}

// preemptibleHosts lists the machines with tasks that would give way to somebody.
func (c *Core) preemptibleHosts(p *Shard) []*Host {
	return c.usableHostsWith(p, c.preemptible)
}

// preemptibleHostsFor lists those with tasks that would give way to a service's replicas.
func (c *Core) preemptibleHostsFor(p *Shard, j *Job) []*Host {
	return c.usableHostsWith(p, func(t *Task) bool { return c.preemptibleFor(t, j) })
}

func (c *Core) usableHostsWith(shard *Shard, which func(*Task) bool) []*Host {
	out := []*Host{}
	for _, host := range shard.hostList() {
		if host.typeIndex < 0 || !host.isUsable(c.now) {
			continue
		}
		for _, task := range host.tasks {
			if which(task) {
				out = append(out, host)
				break
			}
		}
	}
	return out
}

// saveMargin is how long a worker may take beyond a task's own time to save.
const saveMargin = 1.0

// preemptFor stops tasks that give way where their room lets tasks of the job start that
// would wait otherwise, and returns how many. As few are stopped as will do, those that lose
// least first; they save if the job can wait for that. What is being made is
// remembered, so that no plan asks for the same room twice.
func (c *Core) preemptFor(shard *Shard, assignment *Assignment, tasks int, by float64, hosts []*Host) int {
	job := assignment.job
	assignment.pendingPreemptions = slices.DeleteFunc(assignment.pendingPreemptions, func(until time.Duration) bool { return c.now >= until })
	tasks -= len(assignment.pendingPreemptions)
	if tasks <= 0 || c.isBackfill(job) || job.spec.Gang || job.failedTrials > 0 {
		return len(assignment.pendingPreemptions)
	}
	type offer struct {
		host    *Host
		victims []*Task
		free    model.Resources
		image   bool
		loss    float64
	}
	var offers []offer
	for _, host := range hosts {
		if !host.isUsable(c.now) || !c.allowedOn(job, c.kindIndex(shard.zone, host.typeIndex, host.spot)) {
			continue
		}
		if c.imageReadyAt(host, job)+minPreemptionGain > by {
			continue // it may as well wait for the room that is planned for it
		}
		o := offer{host: host, free: c.types[host.typeIndex].Capacity}
		for _, id := range sortedTasks(host.tasks) { // sums must not depend on a map's order
			task := host.tasks[id]
			o.free = o.free.Minus(task.need)
			if c.preemptibleFor(task, job) {
				o.victims = append(o.victims, task)
				o.loss += c.preemptionLoss(task)
			}
		}
		if len(o.victims) == 0 {
			continue
		}
		o.loss /= float64(len(o.victims))
		_, o.image = host.images[job.image]
		offers = append(offers, o)
	}
	slices.SortStableFunc(offers, func(a, b offer) int {
		if a.image != b.image {
			if a.image {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.loss, b.loss)
	})
	made := 0
	for _, o := range offers {
		slices.SortFunc(o.victims, func(a, b *Task) int {
			return cmp.Or(cmp.Compare(c.preemptionLoss(a), c.preemptionLoss(b)), cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Index, b.id.Index))
		})
		for made < tasks {
			k, free := 0, o.free
			for !job.spec.Need.FitsIn(free) && k < len(o.victims) {
				free = free.Plus(o.victims[k].need)
				k++
			}
			if k == 0 || !job.spec.Need.FitsIn(free) {
				break // free without anybody's stopping is the plan's business
			}
			until := c.now + time.Second
			for _, task := range o.victims[:k] {
				gracePeriod := c.gracePeriodFor(job, task)
				until = max(until, c.now+duration(gracePeriod)+time.Second)
				c.stats.Preempted++
				c.info("task stopped for a more urgent one", "job", task.id.Job, "task", task.id.Index, "host", o.host.name, "part", shard.name, "for", job.id, "leeway", gracePeriod)
				c.stopTask(shard, task, gracePeriod)
			}
			o.victims, o.free = o.victims[k:], free.Minus(job.spec.Need)
			assignment.pendingPreemptions = append(assignment.pendingPreemptions, until)
			made++
		}
		if made >= tasks {
			break
		}
	}
	return len(assignment.pendingPreemptions)
}

// minPreemptionGain is by how many seconds a task must start earlier for others to be
// stopped for it.
const minPreemptionGain = 3.0

// imageReadyAt is when a job's image can be on a machine.
func (c *Core) imageReadyAt(host *Host, job *Job) float64 {
	if _, has := host.images[job.image]; has || job.image < 0 {
		return seconds(c.now)
	}
	if at, on := host.fetching[job.image]; on {
		return seconds(max(at, c.now))
	}
	return seconds(max(host.fetchesDoneAt, c.now)) + job.spec.ImageGB*c.fetchRate(host.typeIndex)
}

// preemptionLoss is how many core seconds of work are lost if a task is stopped without
// having time to save.
func (c *Core) preemptionLoss(task *Task) float64 {
	job := task.job()
	if job == nil || task.state != TaskRunning {
		return 0
	}
	ran := seconds(c.now - task.startedAt)
	if cp := job.spec.CheckpointSeconds; cp > 0 {
		ran = math.Mod(ran, cp)
	}
	return ran * task.need.Cores
}

// gracePeriodFor is the time a task gets to save when it is stopped for job j: enough, if
// j's starts are still in time after it, else none.
func (c *Core) gracePeriodFor(job *Job, task *Task) float64 {
	v := task.job()
	if v == nil || v.spec.CheckpointSeconds <= 0 || task.state != TaskRunning {
		return 0
	}
	need := v.spec.SaveSeconds + saveMargin
	if within, ok := c.cfg.StartObjectives[job.spec.Class]; ok && seconds(c.now-job.knownSince)+need > within && seconds(c.now-job.knownSince) <= within {
		return 0
	}
	return need
}
