package core

import (
	"fmt"
	"time"

	"roadcleat/internal/model"
)

// hostState is the state of a machine, as its shard's owner sees it.
type hostState int

// States of a machine.
const (
	hostBooting hostState = iota + 1
	hostUp
	hostReturning // the cloud was asked to take it back
	hostGone      // the cloud has confirmed its return
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

// joiningWithin is how long a machine that is up may take to confirm its owner's token for
// plans to wait for it.
const joiningWithin = 5 * time.Second

// Host is a machine of a shard: what its owner knows of it, of its worker and of the tasks
// on it. Only what the worker has confirmed under the owner's token counts as known.
type Host struct {
	name, address string
	shard         *Shard
	typeIndex     int // -1 while unknown
	spot          bool
	state         hostState

	// Renting and returning.
	rentedAt, expectedUpAt time.Duration
	giveUpAt               time.Duration // when a machine that has not come up is returned
	since                  time.Duration // when it became known here or came up
	missedListings         int           // listings in a row without it
	returnAt               time.Duration // when a return without an answer is repeated

	// The worker, by its statuses and its answers to calls.
	incarnation, statusSeq uint64
	heartbeatSeq           uint64        // of the newest heartbeat; calls yield statuses as well
	token                  uint64        // highest that the worker is known to have seen
	confirmedAt            time.Duration // when it first confirmed the owner's token, 0: not yet
	lastHeard              time.Duration
	notListening           time.Duration // how long since lastHeard this controller did not run
	lastAnswer             time.Duration // when a heartbeat was last answered
	heartbeatTimeout       time.Duration // age of the last status from which on no work is placed
	leaseExpired           bool          // the worker's lease has certainly expired
	unansweredCalls        int           // calls without an answer, each after a fresh heartbeat
	unansweredAt           time.Duration
	unreachable            bool // its heartbeats arrive, what is sent to it does not

	// Fitness for work.
	reclaimedAt   time.Duration  // when the cloud takes the spot machine back, 0: no notice
	blockedUntil  time.Duration  // no placements before
	failuresByJob map[string]int // failures here by job since a task last succeeded
	slowness      float64        // run times over estimates, as a running mean
	judgedTasks   int            // tasks in slowness
	faulty        bool
	idleSince     time.Duration
	cordoned      bool // gets no new work: its replicas are being moved off it
	cordonedAt    time.Duration

	// Tasks and commands.
	tasks            map[model.TaskID]*Task
	reported         map[model.TaskID]TaskStatus // by the newest status
	commands         []Command
	inSendList       bool                     // listed in Shard.hostsWithCommands
	launchesInFlight map[launchKey]sentLaunch // launches that may still arrive
	commandPending   bool                     // a call with commands is open
	nextProbeAt      time.Duration
	probing          bool
	failedProbes     int // in a row

	// Use of its cores.
	ranCoreSeconds  float64 // by running tasks
	heldCoreSeconds float64 // by tasks that do not run yet, as while their image is fetched
	meteredAt       time.Duration

	// Image cache.
	images        map[int]time.Duration // image -> last used
	fetching      map[int]time.Duration // image -> when it should be there
	fetchesDoneAt time.Duration
}

// isUsable reports whether tasks may be placed on the host: it is up and wanted, its last
// status is no older than the next one should be, and its worker has confirmed the owner's
// token. Only the token proves that the worker receives what is sent to it, and that its
// status is not a late copy from a machine that may be gone.
func (h *Host) isUsable(now time.Duration) bool {
	return h.state == hostUp &&
		h.isWanted() &&
		!h.leaseExpired &&
		!h.cordoned &&
		now >= h.blockedUntil &&
		h.incarnation > 0 &&
		h.confirmedToken() &&
		now < h.lastHeard+h.heartbeatTimeout
}

// isWanted reports whether nothing is known of the machine itself for which it is returned.
func (h *Host) isWanted() bool { return h.reclaimedAt == 0 && !h.faulty && !h.unreachable }

// confirmedToken reports whether the worker has seen a token of the owner's present term. It
// then refuses whatever an earlier owner sent.
func (h *Host) confirmedToken() bool { return h.token >= h.shard.claim.Term() }

// countsForPlans reports whether plans may count on the host: it is usable now or booting.
func (h *Host) countsForPlans(now time.Duration) bool {
	return h.typeIndex >= 0 && (h.isUsable(now) || h.state == hostBooting)
}

// isJoining reports whether the host is up and should confirm the owner's token soon.
func (h *Host) isJoining(now time.Duration) bool {
	return h.state == hostUp &&
		h.isWanted() &&
		h.incarnation > 0 &&
		!h.confirmedToken() &&
		now < h.since+joiningWithin
}

// hostByName returns a host of the shard. One that was not known is added as a machine that
// is up.
func (c *Core) hostByName(shard *Shard, name string) *Host {
	if host := shard.hosts[name]; host != nil {
		return host
	}
	host := &Host{
		name:             name,
		shard:            shard,
		typeIndex:        -1,
		state:            hostUp,
		since:            c.now,
		lastHeard:        c.now,
		idleSince:        c.now,
		slowness:         1,
		heartbeatTimeout: c.cfg.HeartbeatInterval * 18 / 10,
		tasks:            map[model.TaskID]*Task{},
		reported:         map[model.TaskID]TaskStatus{},
		launchesInFlight: map[launchKey]sentLaunch{},
		images:           map[int]time.Duration{},
		fetching:         map[int]time.Duration{},
	}
	shard.addHost(host)
	return host
}

func (c *Core) typeName(host *Host) string {
	if host.typeIndex < 0 {
		return "unknown"
	}
	return c.types[host.typeIndex].Name
}

// recordContact notes that the worker was heard just now.
func (c *Core) recordContact(host *Host) {
	host.lastHeard = c.now
	host.notListening = 0
}

// silentFor is for how long nothing came from the host while this controller ran.
func (c *Core) silentFor(host *Host) time.Duration { return c.now - host.lastHeard - host.notListening }

// longestMetered is the longest time between two calls of meterUsage. A longer one means that
// the host was not metered before.
const longestMetered = 5 // seconds

// meterUsage adds up how the host's cores were used since it was last called.
func (c *Core) meterUsage(host *Host) {
	elapsed := seconds(c.now - host.meteredAt)
	host.meteredAt = c.now
	if elapsed > longestMetered {
		return
	}
	ran, held := 0.0, 0.0 // cores are whole, so the order of addition does not matter
	for _, task := range host.tasks {
		if task.state == TaskRunning {
			ran += task.need.Cores
		} else {
			held += task.need.Cores
		}
	}
	host.ranCoreSeconds += ran * elapsed
	host.heldCoreSeconds += held * elapsed
}
