package core

import (
	"math/rand/v2"
	"time"

	"roadcleat/internal/leadership"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// tickInterval is how often what is due by time is looked at.
const tickInterval = 100 * time.Millisecond

// Core is one controller. It is not safe for concurrent use: one goroutine owns it.
type Core struct {
	cfg     Config
	now     time.Duration
	rng     *rand.Rand
	effects []Effect // of the event at hand
	calls   callTable
	budget  callBudget
	timers  []timer
	stats   Stats

	nextTickAt time.Duration

	// Names as dense indices.
	zones, teams, images, classes, typeIndex nameIndex

	// The cloud's catalogue, and its copy in the state service.
	types              []model.MachineType
	catalogReadAt      time.Duration
	catalogRequestedAt time.Duration
	catalogPending     bool
	typesPending       bool
	typesRevision      uint64
	storedTypes        string // without their prices

	// Leadership and what rests on it.
	lease         leadership.Lease
	confirmations *leadership.Confirmations
	shardWatch    watchState
	jobWatch      watchState
	isolatedUntil time.Duration // no shard is handed to this controller before then
	clockJumpAt   time.Duration // 0: never
	overloadedAt  time.Duration // when requests were last turned away here, 0: never
	storeOKAt     time.Duration // when a call that then succeeded was last sent
	storeBadSince time.Duration
	storeSeen     bool
	cloudOKAt     time.Duration // when the cloud last answered
	cloudBadSince time.Duration

	// Other controllers.
	peers               []*Peer // as in the settings
	nextGossipAt        time.Duration
	gossipSeq           uint64
	recentCancellations []cancellationNotice
	foreignHeartbeats   map[string]map[string]time.Duration // workers of others' shards, by zone
	jobCounts           map[string][]JobCounts              // by zone, as the owners show them

	// Jobs and those who ask for them.
	jobs      map[string]*Job           // unfinished ones
	finished  map[string]model.JobState // kept for ever
	admission admission
	queries   queryBatcher

	// Teams, by index.
	quotas         []*TeamQuota
	teamConfigs    []Team
	underGuarantee []bool // the team uses less than its guarantee

	// Machines and work on them.
	shards            []*Shard // by zone
	nextListAt        time.Duration
	listPending       bool
	openProbes        int             // calls under way that show workers the token of their new owner
	imageGB           []float64       // by image
	fetchSecondsPerGB map[int]float64 // by machine type
	runTimeRatio      []float64       // observed over estimated run time, by class
	typesByClass      []classKinds    // by class
}

// Stats are counters for the operators. Their JSON names are part of GET /status.
type Stats struct {
	Placed       uint64  `json:"Placed"`
	Finished     uint64  `json:"Finished"`
	Requeued     uint64  `json:"Requeued"`
	Preempted    uint64  `json:"Stopped"`
	Failed       uint64  `json:"Failed"`
	Rented       uint64  `json:"Hired"`
	Returned     uint64  `json:"Returned"`
	Rebalanced   uint64  `json:"Moves"`
	Conflicts    uint64  `json:"Conflicts"`
	Plans        uint64  `json:"Plans"`
	FetchSeconds float64 `json:"FetchSeconds"`
	FetchGB      float64 `json:"FetchGB"`
}

// New makes a controller that owns nothing yet.
func New(cfg Config) *Core {
	c := &Core{
		cfg:               cfg,
		rng:               rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch)),
		calls:             callTable{pending: map[uint64]func(Result){}, counts: map[string]int{}},
		jobs:              map[string]*Job{},
		finished:          map[string]model.JobState{},
		admission:         admission{byJob: map[string]*submission{}},
		queries:           queryBatcher{open: map[string][]uint64{}},
		jobCounts:         map[string][]JobCounts{},
		foreignHeartbeats: map[string]map[string]time.Duration{},
		fetchSecondsPerGB: map[int]float64{},
		shardWatch:        watchState{prefix: records.ShardPrefix},
		jobWatch:          watchState{prefix: records.JobPrefix},
		gossipSeq:         cfg.Epoch << 32, // no number of an earlier process comes again
		confirmations:     leadership.NewConfirmations(len(cfg.Peers)),
	}
	c.cfg.Tuning = cfg.Tuning.Effective(cfg.HeartbeatInterval, cfg.WorkerLease)
	c.lease = leadership.NewLease(c.cfg.Tuning.LeaseTTL)
	for _, zone := range cfg.Zones {
		c.zoneIndex(zone)
	}
	for _, team := range cfg.Teams {
		c.teams.indexOf(team.Name)
		c.quotas = append(c.quotas, &TeamQuota{team: team.Name, requests: map[int]receivedRequest{}})
		c.teamConfigs = append(c.teamConfigs, team)
	}
	c.underGuarantee = make([]bool, len(c.teamConfigs))
	for i, peer := range cfg.Peers {
		c.peers = append(c.peers, &Peer{PeerConfig: peer, index: i, lastHeardAt: -time.Hour})
	}
	return c
}

// Handle feeds one event at the given time and returns what is to be done. The slice is
// valid until the next call.
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
		c.handlePeerMessage(e.From, e.Message)
	case Overloaded:
		c.overloadedAt = c.now
	}
	return c.effects
}

// Advance does the work that is due after a batch of events: leases, views, plans and
// commits. The slice is valid until the next call.
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
		if shard.servedHere() {
			c.runShard(shard)
		}
	}
	return c.effects
}

// tick does what is due by time alone. The order matters: leadership comes before what rests
// on it, and gossip tells of all that the tick has changed.
func (c *Core) tick() {
	c.runTimers()
	c.maintainLease()
	c.watch(&c.shardWatch)
	c.watch(&c.jobWatch)
	c.refreshCatalog()
	c.maintainShards()
	c.maintainHosts()
	c.sendGossip()
	c.updateBudgetShare()
	c.logCallCounts()
}
