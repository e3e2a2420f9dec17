package core

import (
	"fmt"
	"time"

	"roadcleat/internal/model"
)

// hostState is the state of a machine, as its shard's owner observes it.
type hostState int

// States of a machine.
const (
	hostBooting hostState = iota + 1
	hostUp
	hostReturning // a return request was sent to the cloud
	hostReturned  // the cloud has confirmed the return
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
	case hostReturned:
		return "gone"
	}
	return fmt.Sprintf("host state %d", int(s))
}

// maxJoiningTime is how long plans wait for a machine that is up to confirm its owner's token.
const maxJoiningTime = 5 * time.Second

// Host is a machine of a shard: the owner's view of the machine, of its worker and of the tasks on
// it. Only what the worker has confirmed under the owner's token counts as certain.
type Host struct {
	name, address string
	shard         *Shard
	typeIndex     int  // index in Core.machineTypes; -1 while the type is unknown
	spot          bool // a spot instance
	state         hostState

	// Renting and returning. expectedUpAt is the forecast end of the boot.
	rentedAt, expectedUpAt time.Duration
	bootDeadline           time.Duration // when a machine that is still booting is returned to the cloud
	addedOrUpAt            time.Duration // when the machine came up; if this owner has not observed that, when it added the host
	missedListings         int           // consecutive lists of the cloud without the machine
	returnRetryAt          time.Duration // when an unanswered return request is repeated; 0: none is due

	// The worker, by its statuses and its responses to calls.
	incarnation, statusSeq uint64        // of the newest status
	heartbeatSeq           uint64        // of the newest heartbeat; statusSeq may come from a response to a call
	token                  uint64        // highest token that the worker is known to have received
	presentedToken         uint64        // token of the newest command or reply to the worker, see tokenFor
	tokenConfirmedAt       time.Duration // when it confirmed the owner's token, or started an incarnation since; 0: not yet
	lastContactAt          time.Duration // when its last status arrived; before the first, when the host was added
	pausedSinceContact     time.Duration // time since lastContactAt during which this controller was paused
	lastHeartbeatReplyAt   time.Duration // when a heartbeat was last answered, which renews the lease
	heartbeatTimeout       time.Duration // maximum age of the last status for placements: 1.8 heartbeat intervals
	leaseExpired           bool          // the worker's lease has certainly expired
	unansweredCalls        int           // consecutive calls without a response, at most one per heartbeat
	lastUnansweredCallAt   time.Duration // when unansweredCalls was last incremented
	unreachable            bool          // its heartbeats arrive, but replies and calls to it do not

	// Fitness for work.
	reclaimAt       time.Duration  // when the cloud reclaims the spot instance; 0: no spot notice
	blockedUntil    time.Duration  // no placements before this time
	failuresByJob   map[string]int // failures by job ID since a task last succeeded on the machine
	slownessRatio   float64        // running mean of run time divided by expected run time
	slownessSamples int            // number of tasks in slownessRatio
	faulty          bool           // tasks fail or run far too long because of the machine; it is returned
	idleSince       time.Duration  // when the last task left the machine, or it came up
	cordoned        bool           // receives no new work: its replicas are being moved to other machines
	cordonedAt      time.Duration  // when the machine was cordoned

	// Tasks and commands.
	tasks              map[model.TaskID]*Task      // placed, or being placed, on the machine
	reportedTasks      map[model.TaskID]TaskStatus // the tasks in the newest status, each with its newest attempt
	earlierAttempts    []TaskStatus                // the other attempts in the newest status
	commands           []Command                   // queued for a direct call
	inCommandList      bool                        // is in Shard.hostsWithCommands
	sentLaunches       map[launchKey]sentLaunch    // launches sent in direct calls that the worker may execute
	commandCallPending bool                        // a call with commands is in progress
	nextProbeAt        time.Duration               // no probe before this time
	probeInProgress    bool                        // a probe has not finished yet
	failedProbes       int                         // consecutive probes without a response

	// Use of the machine's cores, see meterUsage.
	runningCoreSeconds    float64       // reserved for running tasks
	notRunningCoreSeconds float64       // reserved for tasks that do not run, for example during an image fetch
	meteredAt             time.Duration // end of the metered time

	// Image cache. Images are keyed by their dense index.
	imageLastUsedAt   map[int]time.Duration // time when each cached image was last used
	fetchingUntil     map[int]time.Duration // expected end of the fetch of each image being fetched
	fetchQueueEmptyAt time.Duration         // expected end of the last fetch
}

// isUsable reports whether tasks may be placed on the host. The host must be up and fit for work,
// its last status must be younger than heartbeatTimeout (the next heartbeat is not overdue), and
// its worker must have confirmed the owner's token. Only the token proves that the worker receives
// replies and commands, and that its status is not a delayed copy from a machine that may be gone.
func (h *Host) isUsable(now time.Duration) bool {
	return h.state == hostUp &&
		h.isFitForWork() &&
		!h.leaseExpired &&
		!h.cordoned &&
		now >= h.blockedUntil &&
		h.incarnation > 0 &&
		h.hasConfirmedToken() &&
		now < h.lastContactAt+h.heartbeatTimeout
}

// isFitForWork reports whether there is no reason to return the machine: no spot notice, no fault,
// and its worker is reachable.
func (h *Host) isFitForWork() bool { return h.reclaimAt == 0 && !h.faulty && !h.unreachable }

// hasConfirmedToken reports whether the worker has received a token of the owner's current term. It
// then refuses all commands of earlier owners.
func (h *Host) hasConfirmedToken() bool { return h.token >= h.shard.claim.Term() }

// isPlannable reports whether plans may include the host: it is usable now or booting.
func (h *Host) isPlannable(now time.Duration) bool {
	return h.typeIndex >= 0 && (h.isUsable(now) || h.state == hostBooting)
}

// isJoining reports whether the host is up and is expected to confirm the owner's token within
// maxJoiningTime of addedOrUpAt.
func (h *Host) isJoining(now time.Duration) bool {
	return h.state == hostUp &&
		h.isFitForWork() &&
		h.incarnation > 0 &&
		!h.hasConfirmedToken() &&
		now < h.addedOrUpAt+maxJoiningTime
}

// findOrAddHost returns the host of the given name. If the shard has no such host, it adds one in
// state hostUp.
func (c *Core) findOrAddHost(shard *Shard, name string) *Host {
	if host := shard.hosts[name]; host != nil {
		return host
	}
	host := &Host{
		name:             name,
		shard:            shard,
		typeIndex:        -1,
		state:            hostUp,
		addedOrUpAt:      c.now,
		lastContactAt:    c.now,
		idleSince:        c.now,
		slownessRatio:    1,
		heartbeatTimeout: c.cfg.HeartbeatInterval * 18 / 10,
		tasks:            map[model.TaskID]*Task{},
		reportedTasks:    map[model.TaskID]TaskStatus{},
		sentLaunches:     map[launchKey]sentLaunch{},
		imageLastUsedAt:  map[int]time.Duration{},
		fetchingUntil:    map[int]time.Duration{},
	}
	shard.addHost(host)
	return host
}

// hostTypeName returns the name of the host's machine type for logs and status.
func (c *Core) hostTypeName(host *Host) string {
	if host.typeIndex < 0 {
		return "unknown"
	}
	return c.machineTypes[host.typeIndex].Name
}

// recordContact records that a status of the worker has just arrived.
func (c *Core) recordContact(host *Host) {
	host.lastContactAt = c.now
	host.pausedSinceContact = 0
}

// silenceDuration returns the time since the last status of the host, without the time during which
// this controller was paused.
func (c *Core) silenceDuration(host *Host) time.Duration {
	return c.now - host.lastContactAt - host.pausedSinceContact
}

// maxMeteringGapSeconds is the maximum time between two calls of meterUsage that is added to the
// usage. A longer gap means that the host was not metered during it: the host is new to this owner,
// or the controller was paused.
const maxMeteringGapSeconds = 5

// meterUsage adds the core-seconds that the host's tasks have reserved since the last call,
// separately for running tasks and other tasks.
func (c *Core) meterUsage(host *Host) {
	elapsed := toSeconds(c.now - host.meteredAt)
	host.meteredAt = c.now
	if elapsed > maxMeteringGapSeconds {
		return
	}
	// Amounts of cores are whole numbers, so the order of addition doesn't change the sums.
	runningCores, notRunningCores := 0.0, 0.0
	for _, task := range host.tasks {
		if task.state == TaskRunning {
			runningCores += task.resources.Cores
		} else {
			notRunningCores += task.resources.Cores
		}
	}
	host.runningCoreSeconds += runningCores * elapsed
	host.notRunningCoreSeconds += notRunningCores * elapsed
}
