package core

import (
	"fmt"
	"roadcleat/internal/model"
	"time"
)

// hostState is the state of a machine, as its shard's owner sees it.
type hostState int

// States of a machine.
const (
	hostBooting hostState = iota + 1
	hostUp
	hostReturning // asked the cloud to take it back
	hostGone      // the cloud has taken it back
)

// String names the state for operators.
func (s hostState) String() string {
	switch s {
	case hostBooting:
		return "booting"
	case hostUp:
		return "up"
	case hostReturning:
		return "returning"
	case hostGone:
		return "gone"
	}
	return fmt.Sprintf("host state %d", int(s))
}

// taskPhase is how far a task's placement on a machine has come.
type taskPhase int

// Phases of a placement.
const (
	taskPlacing taskPhase = iota + 1 // booked; the placement is not durable yet
	taskPlaced                       // the placement is durable; the task may be launched
)

// Host is a machine of a part.
type Host struct {
	name, address string
	shard         *Shard
	typeIndex     int // -1 while unknown
	spot          bool
	state         hostState

	rentedAt, expectedUpAt time.Duration
	giveUpAt               time.Duration // when a machine that has not come up is returned
	since                  time.Duration // when it became known here or came up
	incarnation, statusSeq uint64
	heartbeatSeq           uint64 // of the newest report that came by itself
	token                  uint64 // highest the worker is known to have seen
	confirmedAt            time.Duration
	lastHeard              time.Duration
	notListening           time.Duration // how long since then this controller stood still and heard nobody
	lastAnswer             time.Duration
	missedListings         int  // listings in a row without it
	leaseExpired           bool // its lease has run out for certain
	unansweredCalls        int  // calls to it without an answer, each after a fresh report
	unansweredAt           time.Duration
	unreachable            bool // its reports come, but what it is told does not arrive
	reclaimedAt            time.Duration
	blockedUntil           time.Duration
	heartbeatTimeout       time.Duration
	failuresByJob          map[string]int // failures here by job since anything last ended well
	slowness               float64        // run times over estimates, as a running mean
	judgedTasks            int
	idleSince              time.Duration
	faulty                 bool
	cordoned               bool // gets no new work: its replicas are being moved off it
	cordonedAt             time.Duration

	tasks            map[model.TaskID]*Task
	reported         map[model.TaskID]TaskStatus
	commands         []Command
	inSendList       bool                     // on the part's list of hosts with orders
	launchesInFlight map[launchKey]sentLaunch // launches that may still be under way
	commandPending   bool                     // an /orders call is open
	nextProbeAt      time.Duration
	probing          bool
	failedProbes     int // in vain, in a row
	returnAt         time.Duration

	ranCoreSeconds, heldCoreSeconds float64 // core seconds of running tasks, and of tasks that wait for their image
	meteredAt                       time.Duration

	images        map[int]time.Duration // image -> last used
	fetching      map[int]time.Duration // image -> when it should be there
	fetchesDoneAt time.Duration
}

// Task is a task that is, may be or is about to be on a machine.
type Task struct {
	id              model.TaskID
	assignment      *Assignment // nil: nobody wants it any more
	host            *Host
	attempt         uint64
	phase           taskPhase
	state           TaskState
	need            model.Resources
	team            int
	placedAt        time.Duration
	startedAt       time.Duration // when it was seen running
	fetchStartedAt  time.Duration
	launchSent      bool // a launch may have reached the worker
	launchInReply   bool // one went into an answer to a report
	reported        bool // the worker has shown it
	inherited       bool // placed by an earlier owner
	stopping        bool
	stopRequestedAt time.Duration
	gracePeriod     float64
}

// isUsable says whether work may be started on the host: it is up, wanted, its
// last report is no older than the next one should be, and it has shown my
// token. Only that proves that it hears me and that its report is no copy of
// one sent long ago, by a machine that may be gone.
func (h *Host) isUsable(now time.Duration) bool {
	return h.state == hostUp && h.reclaimedAt == 0 && !h.leaseExpired && !h.faulty && !h.unreachable && !h.cordoned && now >= h.blockedUntil &&
		h.incarnation > 0 && h.token >= h.shard.claim.Term() && now < h.lastHeard+h.heartbeatTimeout
}

// countsForPlans says whether the plans count on the host: it can take work now or is
// on its way.
func (h *Host) countsForPlans(now time.Duration) bool {
	return h.typeIndex >= 0 && (h.isUsable(now) || h.state == hostBooting)
}

// isJoining says whether a machine is up and about to show that it hears me.
func (h *Host) isJoining(now time.Duration) bool {
	return h.state == hostUp && h.incarnation > 0 && h.token < h.shard.claim.Term() && h.reclaimedAt == 0 && !h.faulty && !h.unreachable && now < h.since+5*time.Second
}

func (c *Core) hostByName(shard *Shard, name string) *Host {
	host := shard.hosts[name]
	if host == nil {
		host = &Host{name: name, shard: shard, typeIndex: -1, state: hostUp, since: c.now, lastHeard: c.now, slowness: 1, heartbeatTimeout: c.cfg.HeartbeatInterval * 18 / 10,
			tasks: map[model.TaskID]*Task{}, reported: map[model.TaskID]TaskStatus{}, launchesInFlight: map[launchKey]sentLaunch{},
			images: map[int]time.Duration{}, fetching: map[int]time.Duration{}, idleSince: c.now}
		shard.addHost(host)
	}
	return host
}

// reserve books a task's room on its host.
func (c *Core) reserve(shard *Shard, task *Task) {
	task.host.tasks[task.id] = task
	if task.team >= 0 {
		shard.teamUsage[task.team] = shard.teamUsage[task.team].Plus(task.need)
	}
}

// release gives the room back.
func (c *Core) release(shard *Shard, task *Task) {
	if task.host.tasks[task.id] != task {
		return
	}
	delete(task.host.tasks, task.id)
	if len(task.host.tasks) == 0 {
		task.host.idleSince = c.now
	}
	if task.team >= 0 {
		shard.teamUsage[task.team] = shard.teamUsage[task.team].Minus(task.need)
	}
	shard.needsPlan = true
}

// rollBackPlacement undoes a placement that is not durable.
func (c *Core) rollBackPlacement(shard *Shard, task *Task) {
	c.release(shard, task)
	if task.assignment != nil && task.assignment.tasks[task.id.Index] == task {
		delete(task.assignment.tasks, task.id.Index)
		task.assignment.waiting.Add(task.id.Index)
	}
}

// orphanTask leaves a task on its host that nobody wants.
func (c *Core) orphanTask(shard *Shard, task *Task) {
	task.assignment = nil
	if task.phase == taskPlacing {
		c.release(shard, task)
		return
	}
	c.stopTask(shard, task, 0)
}

func (t *Task) job() *Job {
	if t.assignment == nil {
		return nil
	}
	return t.assignment.job
}

// recordImage notes that a host has an image, and learns from the fetch.
func (c *Core) recordImage(host *Host, task *Task, job *Job) {
	if job.image < 0 {
		return
	}
	if _, was := host.fetching[job.image]; was {
		delete(host.fetching, job.image)
		if took := seconds(c.now - task.fetchStartedAt); job.spec.ImageGB > 0.2 && took > 0 && host.typeIndex >= 0 {
			rate := c.fetchRate(host.typeIndex)
			c.fetchSecondsPerGB[host.typeIndex] = rate + 0.2*(min(took/job.spec.ImageGB, 4*rate)-rate)
			c.emit(Observation{MetricImageFetch, took})
			c.stats.FetchSeconds += took
			c.stats.FetchGB += job.spec.ImageGB
		}
	}
	host.images[job.image] = c.now
	if host.typeIndex < 0 {
		return
	}
	// The machine caches the most recently used images only.
	for {
		total, oldest := 0.0, -1
		for _, img := range sorted(host.images) { // images used at the same moment go by number
			total += c.imageGB[img]
			if oldest < 0 || host.images[img] < host.images[oldest] {
				oldest = img
			}
		}
		if total <= c.types[host.typeIndex].CacheGB || len(host.images) <= 1 || oldest == job.image {
			return
		}
		delete(host.images, oldest)
	}
}

// fetchRate is seconds per GB on machines of a type: what was seen, else what
// the catalogue states, else the operators' setting.
func (c *Core) fetchRate(typ int) float64 {
	if r, ok := c.fetchSecondsPerGB[typ]; ok {
		return r
	}
	r := c.cfg.Tuning.FetchSecondsPerGB
	if g := c.types[typ].FetchGBPerSecond; g > 0 {
		r = 1 / g
	}
	c.fetchSecondsPerGB[typ] = r
	return r
}

// expectedEnd is when a task should leave its host. One that outlives its
// estimate is expected to run on in proportion to its age, never to end now.
func (c *Core) expectedEnd(task *Task) time.Duration {
	if task.stopping {
		return max(task.stopRequestedAt+duration(task.gracePeriod), c.now+100*time.Millisecond)
	}
	est := 30.0
	if j := task.job(); j != nil {
		est = c.estimatedRunTime(j)
	}
	if task.state == TaskRunning || task.state == TaskSaving {
		ran := seconds(c.now - task.startedAt)
		return c.now + duration(max(est-ran, 0.35*ran, 0.5))
	}
	wait := 0.3
	if job := task.job(); job != nil && job.image >= 0 {
		if at, ok := task.host.fetching[job.image]; ok {
			wait = max(seconds(at-c.now), wait)
		}
	}
	return c.now + duration(wait+est)
}

// meterUsage adds up how the host's cores were used since it was last called.
func (c *Core) meterUsage(host *Host) {
	dt := seconds(c.now - host.meteredAt)
	host.meteredAt = c.now
	if dt > 5 {
		return // the first time
	}
	ran, held := 0.0, 0.0 // whole cores add up to the same in any order
	for _, task := range host.tasks {
		if task.state == TaskRunning {
			ran += task.need.Cores
		} else {
			held += task.need.Cores
		}
	}
	host.ranCoreSeconds += ran * dt
	host.heldCoreSeconds += held * dt
}

func (c *Core) typeName(host *Host) string {
	if host.typeIndex < 0 {
		return "unknown"
	}
	return c.types[host.typeIndex].Name
}
