package core

import (
	"math/rand/v2"
	"time"

	"roadcleat/internal/leadership"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// tickInterval is the interval of tick, which runs periodic and delayed work.
const tickInterval = 100 * time.Millisecond

// Core is the state of one controller. It is not safe for concurrent use: all calls must come from
// one goroutine.
type Core struct {
	cfg     Config        // the settings, with the result of Tuning.Effective as Tuning
	now     time.Duration // time of the current event
	rng     *rand.Rand
	effects []Effect // effects of the current call of Handle or Advance
	calls   callTable
	budget  callBudget
	timers  []timer
	stats   Stats

	nextTickAt time.Duration

	// Dense indices of names.
	zones, teams, images, classes, typeNames nameIndex

	// The cloud's catalog of machine types, and its copy in the state service.
	machineTypes        []model.MachineType
	catalogReadAt       time.Duration
	catalogRequestedAt  time.Duration
	catalogPending      bool   // a read of the catalog is pending
	storedTypesPending  bool   // a read or write of the stored copy is pending
	storedTypesRevision uint64 // revision of the stored copy
	storedMachineTypes  string // the stored copy, without prices

	// Leadership, and the health of the services that it depends on.
	lease         leadership.Lease
	confirmations *leadership.Confirmations
	shardWatch    watchState
	jobWatch      watchState
	// Until isolatedUntil peers hand no shard over to this controller, and it claims its home
	// shard only after a delay.
	isolatedUntil             time.Duration
	clockJumpAt               time.Duration // when the last pause of the process was detected, 0: never
	overloadedAt              time.Duration // when requests were last rejected or dropped here, 0: never
	lastStateServiceSuccessAt time.Duration // when the newest successful call to the state service was sent
	stateServiceFailingSince  time.Duration // since when calls to the state service have failed, 0: they succeed
	stateServiceContacted     bool          // a call to the state service has succeeded since the start
	lastCloudSuccessAt        time.Duration // when the cloud last responded
	cloudFailingSince         time.Duration // since when calls to the cloud have failed, 0: they succeed

	// Other controllers.
	peers               []*Peer // in the order of Config.Peers
	nextGossipAt        time.Duration
	gossipSeq           uint64               // sequence number of the newest gossip sent
	recentCancellations []cancellationNotice // cancellations that gossip repeats
	// heartbeatsFromOtherShards holds the times of the last heartbeats that this controller received
	// from workers of other controllers' shards, by zone and host.
	heartbeatsFromOtherShards map[string]map[string]time.Duration
	jobCounts                 map[string][]JobCounts // by zone, as the owners last sent them in gossip

	// Jobs, and the users' requests about them.
	jobs         map[string]*Job // unfinished jobs, by id
	jobsToReread map[string]bool // ids of jobs whose records may be outdated, see applyJobRecord
	// nextJobRereadAt is the time before which the jobs in jobsToReread are not compared.
	nextJobRereadAt time.Duration
	finalJobStates  map[string]model.JobState // final states of finished jobs, by id; never removed
	admission       admission                 // submissions that have not been committed yet
	queries         queryBatcher              // queries of users that have not been answered yet

	// Teams, by team index.
	quotas           []*TeamQuota
	teamConfigs      []Team
	isUnderGuarantee []bool // the team uses less than its guarantee

	// Machines, and the tasks on them.
	shards              []*Shard            // by zone
	nextHostListAt      time.Duration       // time of the next listing of the cloud's machines
	hostListPending     bool                // a listing of the cloud's machines is pending
	probesInProgress    int                 // pending calls that show workers the fencing token of their new owner
	imageGB             []float64           // image sizes, by image
	fetchSecondsPerGB   map[int]float64     // by machine type
	runTimeRatio        []float64           // ratio of observed to estimated run time, by job class
	machineTypesByClass []classMachineTypes // by job class
}

// Stats holds counters since the start of the process. Their JSON names are part of GET /status.
type Stats struct {
	Placed       uint64  `json:"Placed"`       // tasks placed on machines
	Finished     uint64  `json:"Finished"`     // tasks completed
	Requeued     uint64  `json:"Requeued"`     // tasks put back into the queue
	Preempted    uint64  `json:"Stopped"`      // tasks stopped in favor of more urgent ones
	Failed       uint64  `json:"Failed"`       // failures of tasks
	Rented       uint64  `json:"Hired"`        // machines rented
	Returned     uint64  `json:"Returned"`     // machines returned
	Rebalanced   uint64  `json:"Moves"`        // waiting tasks moved to another shard
	Conflicts    uint64  `json:"Conflicts"`    // transactions refused because a key had changed
	Plans        uint64  `json:"Plans"`        // runs of the planner
	FetchSeconds float64 `json:"FetchSeconds"` // total time of image fetches
	FetchGB      float64 `json:"FetchGB"`      // total size of the fetched images
}

// New returns a controller that owns no shards yet.
func New(cfg Config) *Core {
	c := &Core{
		cfg:                       cfg,
		rng:                       rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch)),
		calls:                     callTable{pending: map[uint64]func(Result){}, countsSinceLog: map[string]int{}},
		jobs:                      map[string]*Job{},
		jobsToReread:              map[string]bool{},
		finalJobStates:            map[string]model.JobState{},
		admission:                 admission{byJob: map[string]*submission{}},
		queries:                   queryBatcher{queuedRequests: map[string][]uint64{}},
		jobCounts:                 map[string][]JobCounts{},
		heartbeatsFromOtherShards: map[string]map[string]time.Duration{},
		fetchSecondsPerGB:         map[int]float64{},
		shardWatch:                watchState{prefix: records.ShardPrefix},
		jobWatch:                  watchState{prefix: records.JobPrefix},
		gossipSeq:                 firstGossipSeq(cfg.Epoch),
		confirmations:             leadership.NewConfirmations(len(cfg.Peers)),
	}
	c.cfg.Tuning = cfg.Tuning.Effective(cfg.HeartbeatInterval, cfg.WorkerLease)
	c.lease = leadership.NewLease(c.cfg.Tuning.LeaseTTL)
	for _, zone := range cfg.Zones {
		c.zoneIndexOrAdd(zone)
	}
	for _, team := range cfg.Teams {
		c.teams.indexOrAdd(team.Name)
		c.quotas = append(c.quotas, &TeamQuota{team: team.Name, grantRequests: map[int]receivedRequest{}})
		c.teamConfigs = append(c.teamConfigs, team)
	}
	c.isUnderGuarantee = make([]bool, len(c.teamConfigs))
	for i, peer := range cfg.Peers {
		c.peers = append(c.peers, &Peer{PeerConfig: peer, index: i, lastMessageAt: -time.Hour})
	}
	return c
}

// Handle processes one event at the given time and returns its effects. The slice is valid until
// the next call of Handle or Advance.
func (c *Core) Handle(now time.Duration, event Event) []Effect {
	c.advanceClock(now)
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case Tick:
	case CallResult:
		c.finishCall(e)
	case JobSubmission:
		c.handleSubmission(e)
	case JobQuery:
		c.handleQuery(e)
	case JobCancellation:
		c.handleCancellation(e)
	case Heartbeat:
		c.handleHeartbeat(e)
	case PeerMessage:
		c.handlePeerMessage(e.PeerIndex, e.Message)
	case Overloaded:
		c.overloadedAt = c.now
	}
	return c.effects
}

// Advance does the work that is due after a batch of events: lease renewals, watches, plans and
// commits. It returns the effects; the slice is valid until the next call of Handle or Advance.
func (c *Core) Advance(now time.Duration) []Effect {
	c.advanceClock(now)
	c.effects = c.effects[:0]
	c.flushSubmissions()
	c.flushQueries()
	if c.now >= c.nextTickAt {
		c.nextTickAt = c.now + tickInterval
		c.tick()
	}
	for _, shard := range c.shards {
		if shard.isServedHere() {
			c.runShard(shard)
		}
	}
	return c.effects
}

// tick does periodic and delayed work. The order matters: leadership is updated before the work
// that depends on it, and gossip is sent after the changes of the tick, so that it reports them.
func (c *Core) tick() {
	c.runTimers()
	c.maintainLease()
	c.watch(&c.shardWatch)
	c.watch(&c.jobWatch)
	c.rereadOutdatedJobs()
	c.refreshCatalog()
	c.maintainShards()
	c.maintainHosts()
	c.sendGossip()
	c.updateBudgetShare()
	c.logCallCounts()
}
