package core

import (
	"log/slog"
	"math/rand/v2"
	"roadcleat/internal/leadership"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
	"slices"
	"strings"
	"time"
)

// PeerConfig is another controller.
type PeerConfig struct{ Label, Zone string }

// Team is a team's guarantee and limit. An amount of 0 means that there is none:
// nothing guaranteed, or not limited.
type Team struct {
	Name             string
	Guarantee, Limit model.Resources
}

// Tuning are the operators' settings.
type Tuning struct {
	FetchSecondsPerGB float64
	Frontier          int
	KeepIdle          time.Duration
	DemandWindow      time.Duration
	SpareShare        float64
	ReturnSilentAfter time.Duration
	LeaseTTL          time.Duration
	TakeoverDelay     time.Duration
}

// Config is what a controller knows from its settings.
type Config struct {
	Label, Zone                                  string
	Zones                                        []string
	Peers                                        []PeerConfig
	Teams                                        []Team
	CompletionObjectives                         map[string][]float64 // completion aims per class in seconds, tightest first
	DeadlineObjectives                           map[string][]float64 // aims per class in multiples of the job's deadline, likewise
	StartObjectives                              map[string]float64   // the tightest aim per class for the start of a task, in seconds
	HeartbeatInterval, WorkerLease, CancelWithin time.Duration
	ListLag                                      time.Duration
	MaxWorkerCalls                               int // calls to workers that may be open at a time
	MaxTxnOps, MaxValueBytes                     int
	WritesPerSecond                              float64 // what the state service takes a second from all controllers; 0: not limited
	Tuning                                       Tuning
	Epoch                                        uint64 // which life of this controller; never the same twice
	Seed                                         uint64
}

// Core is one controller. It is not safe for concurrent use: one goroutine
// owns it.
type Core struct {
	cfg           Config
	now           time.Duration
	effects       []Effect
	pendingCalls  map[uint64]func(Result)
	lastCallID    uint64
	callCounts    map[string]int // calls by kind since they were last logged
	nextCallLogAt time.Duration
	rng           *rand.Rand

	zones, teams, images, classes     nameIndex
	imageGB                           []float64 // by image
	types                             []model.MachineType
	typeIndex                         nameIndex
	catalogReadAt, catalogRequestedAt time.Duration
	catalogPending                    bool
	typesPending                      bool
	typesRevision                     uint64
	storedTypes                       string // the types the store holds, without their prices

	shards   []*Shard // by zone
	peers    []*Peer  // as in the settings
	jobs     map[string]*Job
	finished map[string]model.JobState // ended jobs; kept for ever

	quotas         []*TeamQuota // by team
	teamConfigs    []Team       // by team
	underGuarantee []bool       // by team: it uses less than its guarantee

	overloadedAt              time.Duration // when requests were last turned away here, 0: never
	clockJumpAt               time.Duration // when it last went on after it had stood still, 0: never
	isolatedUntil             time.Duration
	cloudOKAt                 time.Duration // when the cloud last answered a listing
	cloudBadSince             time.Duration
	foreignHeartbeats         map[string]map[string]time.Duration // workers of others' parts, by zone
	lease                     leadership.Lease
	storeOKAt                 time.Duration // when a call that then succeeded was last sent
	storeBadSince             time.Duration
	storeSeen                 bool
	shardWatch                watchState
	jobWatch                  watchState
	nextGossipAt              time.Duration
	gossipSeq                 uint64
	confirmations             *leadership.Confirmations
	recentCancellations       []cancellationNotice
	submissionQueue           []*submission
	nextBatchAt               time.Duration
	submissionsByJob          map[string]*submission
	openQueries               map[string][]uint64 // users' questions by job, not yet compared
	queryOrder                []string
	openVerifications         int
	nextVerifyAt              time.Duration
	openCommits               int
	nextListAt                time.Duration
	listPending               bool
	jobCounts                 map[string][]JobCounts
	runTimeRatio              []float64 // observed over estimated run time, by class
	fetchSecondsPerGB         map[int]float64
	typesByClass              []classKinds // by class
	nextTickAt                time.Duration
	timers                    []timer
	openProbes                int // calls to workers under way that make this owner known
	budgetShare               BudgetShare
	nextShareAt               time.Duration
	callsSinceShare, callRate BudgetShare // calls made since shareAt, and by the second of late
	stats                     Stats
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

// recordCloudOutcome notes whether the cloud answers.
func (c *Core) recordCloudOutcome(ok bool) {
	if ok {
		c.cloudOKAt, c.cloudBadSince = c.now, 0
	} else if c.cloudBadSince == 0 {
		c.cloudBadSince = c.now
	}
}

// New makes a controller that owns nothing yet.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, pendingCalls: map[uint64]func(Result){}, callCounts: map[string]int{},
		rng:  rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch)),
		jobs: map[string]*Job{}, finished: map[string]model.JobState{}, submissionsByJob: map[string]*submission{}, openQueries: map[string][]uint64{},
		jobCounts: map[string][]JobCounts{}, foreignHeartbeats: map[string]map[string]time.Duration{}, fetchSecondsPerGB: map[int]float64{},
		shardWatch: watchState{prefix: records.ShardPrefix}, jobWatch: watchState{prefix: records.JobPrefix},
	}
	c.cfg.Tuning = cfg.Tuning.Effective(cfg.HeartbeatInterval, cfg.WorkerLease)
	c.gossipSeq = cfg.Epoch << 32 // no number of an earlier life comes again
	for _, z := range cfg.Zones {
		c.zoneIndex(z)
	}
	for _, t := range cfg.Teams {
		c.teams.indexOf(t.Name)
		c.quotas = append(c.quotas, &TeamQuota{team: t.Name, requests: map[int]receivedRequest{}})
		c.teamConfigs = append(c.teamConfigs, t)
	}
	c.underGuarantee = make([]bool, len(c.teamConfigs))
	for i, p := range cfg.Peers {
		c.peers = append(c.peers, &Peer{PeerConfig: p, index: i, lastHeardAt: -time.Hour})
	}
	c.confirmations = leadership.NewConfirmations(len(c.peers))
	c.lease = leadership.NewLease(c.cfg.Tuning.LeaseTTL)
	return c
}

// Handle feeds one event at the given time and returns what is to be done.
// The slice is valid until the next call.
func (c *Core) Handle(now time.Duration, event Event) []Effect {
	c.advanceClock(now)
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case Tick:
	case CallResult:
		if then := c.pendingCalls[e.CallID]; then != nil {
			delete(c.pendingCalls, e.CallID)
			then(e.Result)
		}
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

// Advance does the work that is due after a batch of events: leases, views,
// plans and commits. The slice is valid until the next call.
func (c *Core) Advance(now time.Duration) []Effect {
	c.advanceClock(now)
	c.effects = c.effects[:0]
	c.flushSubmissions()
	c.flushQueries()
	if c.now >= c.nextTickAt {
		c.nextTickAt = c.now + 100*time.Millisecond
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
	for _, shard := range c.shards {
		if shard.servedHere() {
			c.runShard(shard)
		}
	}
	return c.effects
}

// clockJumpGap is the gap between two looks at the world, which come every few
// hundredths of a second, that can only mean that the process did not run.
const clockJumpGap = time.Second

// advanceClock lets time pass.
func (c *Core) advanceClock(now time.Duration) {
	if now <= c.now {
		return
	}
	gap := now - c.now
	first := c.now == 0
	c.now = now
	if !first && gap > clockJumpGap {
		c.handleClockJump(gap)
	}
}

// handleClockJump draws conclusions from time that has passed anew: while this controller
// stood still its clock ran on, but it read nothing. Nobody was silent to it in
// that time, no machine overdue and none idle. What rests on what others did
// meanwhile needs no word here: leases of workers run out by their own clocks, and
// whoever took a part has changed the keys that guard every transaction.
func (c *Core) handleClockJump(gap time.Duration) {
	c.clockJumpAt = c.now
	c.warn("stood still", "for", seconds(gap))
	for _, shard := range c.shards {
		if !shard.claim.Owned() {
			continue
		}
		shard.lastHeartbeatAt += gap
		shard.claim.ResetHome()
		for i := range shard.demandSamples {
			shard.demandSamples[i].at += gap
		}
		for _, host := range shard.hosts {
			host.notListening += gap
			host.unansweredCalls = 0 // calls that it never read the answers of prove nothing
			host.giveUpAt += gap
			host.idleSince += gap
		}
	}
}

// isOverloaded says whether requests were turned away or dropped here lately. Until every
// worker has had time to try twice more, silence speaks against nobody, and neither do
// calls that were not answered: an owner that had too little of its processor for its
// machines gave thousands of them back that were well.
func (c *Core) isOverloaded() bool {
	return c.overloadedAt > 0 && c.now < c.overloadedAt+2*c.cfg.HeartbeatInterval+5*time.Second
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) debug(text string, args ...any) { c.emit(LogEvent{slog.LevelDebug, text, args}) }

func (c *Core) info(text string, args ...any) { c.emit(LogEvent{slog.LevelInfo, text, args}) }

func (c *Core) warn(text string, args ...any) { c.emit(LogEvent{slog.LevelWarn, text, args}) }

// call asks for an operation outside; then runs with its result. The type of the result
// follows from the operation.
func call[R Result](c *Core, op operationOf[R], then func(R)) {
	c.lastCallID++
	c.pendingCalls[c.lastCallID] = func(result Result) { then(result.(R)) }
	c.countCall(op)
	c.emit(Call{c.lastCallID, op})
}

// countCall counts a call for the log, and those to the state service for the budget.
func (c *Core) countCall(op Operation) {
	c.callCounts[op.operation()]++
	switch op := op.(type) {
	case CommitTxn:
		c.callsSinceShare.Requests++
		c.callsSinceShare.Changes += float64(len(op.Txn.Mutations))
	case ReadKey, ListKeys, WatchKeys, GrantLease, RenewLease:
		c.callsSinceShare.Requests++
	}
}

// timer is something to do later.
type timer struct {
	at  time.Duration
	run func()
}

// after does f at the first tick after d.
func (c *Core) after(d time.Duration, f func()) { c.timers = append(c.timers, timer{c.now + d, f}) }

// runTimers does what is due.
func (c *Core) runTimers() {
	due := c.timers
	c.timers = nil
	for _, t := range due {
		if c.now >= t.at {
			t.run()
		} else {
			c.timers = append(c.timers, t)
		}
	}
}

// logCallCounts logs what was asked of the outside lately.
func (c *Core) logCallCounts() {
	if c.now < c.nextCallLogAt {
		return
	}
	c.nextCallLogAt = c.now + 15*time.Second
	args := []any{"share", c.budgetShare.Requests}
	for _, k := range sorted(c.callCounts) {
		args = append(args, k, c.callCounts[k])
	}
	clear(c.callCounts)
	c.info("calls in 15 s", args...)
}

// updateBudgetShare divides the budgets. Of the cloud's calls most go to owners, by
// parts. Of the state service's requests and changes a portion goes to all
// alike and the rest by what each needed lately, as its gossip says: users bunch
// at one controller, and an owner's work comes in bursts. By one rule on nearly
// one view the shares hardly add up to more than all of it; where they do, a
// refused call is repeated.
func (c *Core) updateBudgetShare() {
	if c.now < c.nextShareAt {
		return
	}
	c.nextShareAt = c.now + 500*time.Millisecond
	// The mean of some seconds, so that a burst counts at once and is not
	// forgotten at once.
	c.callRate.Requests += 0.2 * (2*c.callsSinceShare.Requests - c.callRate.Requests)
	c.callRate.Changes += 0.2 * (2*c.callsSinceShare.Changes - c.callRate.Changes)
	c.callsSinceShare = BudgetShare{}
	mine := BudgetShare{Requests: c.callRate.Requests + 1, Changes: c.callRate.Changes + 1}
	sum := mine
	for _, peer := range c.peers {
		if peer.gossip != nil && c.now < peer.gossipAt+3*time.Second {
			sum.Requests += peer.gossip.CallRate.Requests + 1
			sum.Changes += peer.gossip.CallRate.Changes + 1
		}
	}
	owned := 0
	for _, shard := range c.shards {
		if shard.claim.OwnedOrPending() {
			owned++
		}
	}
	all, shards := 1/float64(1+len(c.peers)), 0.0
	if len(c.shards) > 0 {
		shards = float64(owned) / float64(len(c.shards))
	}
	s := BudgetShare{Requests: 0.3*all + 0.7*mine.Requests/sum.Requests, Changes: 0.25*all + 0.75*mine.Changes/sum.Changes,
		Calls: 0.2*all + 0.8*shards}
	if s != c.budgetShare {
		c.budgetShare = s
		c.emit(s)
	}
}

// recordStoreOutcome notes whether the state service answers.
func (c *Core) recordStoreOutcome(sent time.Duration, ok bool) {
	if ok {
		c.storeOKAt, c.storeSeen, c.storeBadSince = max(c.storeOKAt, sent), true, 0
	} else if c.storeBadSince == 0 {
		c.storeBadSince = c.now
	}
}

func (c *Core) readKey(key string, urgent bool, then func(ReadResult)) {
	sent := c.now
	call(c, ReadKey{key, urgent}, func(res ReadResult) {
		c.recordStoreOutcome(sent, res.Outcome == OutcomeOK)
		then(res)
	})
}

func (c *Core) commit(t Txn, urgent bool, then func(CommitResult)) {
	c.commitWith(CommitTxn{Txn: t, Urgent: urgent}, then)
}

func (c *Core) commitWith(op CommitTxn, then func(CommitResult)) {
	sent := c.now
	call(c, op, func(res CommitResult) {
		c.recordStoreOutcome(sent, res.Outcome == OutcomeOK || res.Outcome == OutcomeRefused)
		then(res)
	})
}

// zoneIndex returns the index of a zone and makes its part when it is new.
func (c *Core) zoneIndex(name string) int {
	z := c.zones.indexOf(name)
	for len(c.shards) <= z {
		c.shards = append(c.shards, newShard(len(c.shards), c.zones.names[len(c.shards)]))
	}
	return z
}

// refreshCatalog refreshes the machine types and their prices.
func (c *Core) refreshCatalog() {
	wait := 30 * time.Second
	if len(c.types) == 0 {
		wait = time.Second
	}
	if c.catalogPending || c.catalogRequestedAt > 0 && c.now < c.catalogRequestedAt+wait {
		return
	}
	c.catalogPending, c.catalogRequestedAt = true, c.now
	call(c, ReadCatalog{}, func(res CatalogResult) {
		c.catalogPending = false
		c.recordCloudOutcome(res.Outcome == OutcomeOK)
		if res.Outcome != OutcomeOK || len(res.Types) == 0 {
			return
		}
		c.addMachineTypes(res.Types)
		c.catalogReadAt = c.now
		c.storeTypes()
	})
	if len(c.types) == 0 && !c.typesPending {
		c.readStoredTypes()
	}
}

func (c *Core) addMachineTypes(types []model.MachineType) {
	for _, t := range types {
		i := c.typeIndex.indexOf(t.Name)
		for len(c.types) <= i {
			c.types = append(c.types, model.MachineType{})
		}
		c.types[i] = t
		for _, z := range t.Zones {
			c.zoneIndex(z)
		}
	}
}

// readStoredTypes learns the machine types from the state service, while the cloud has not
// told any.
func (c *Core) readStoredTypes() {
	c.typesPending = true
	c.readKey(records.MachineTypesKey, true, func(res ReadResult) {
		c.typesPending = false
		if res.Outcome != OutcomeOK {
			return
		}
		c.typesRevision = res.Item.Revision
		if !res.Found || len(c.types) > 0 {
			return
		}
		if types, err := records.DecodeMachineTypes(res.Item.Value); err == nil {
			c.addMachineTypes(types)
			c.storedTypes = typesWithoutPrices(types)
		}
	})
}

// storeTypes writes the types down when they are others than those kept there.
// Prices change all the time and do not count.
func (c *Core) storeTypes() {
	plain := typesWithoutPrices(c.types)
	if c.typesPending || c.storedTypes == plain || !c.storeReachable() {
		return
	}
	c.typesPending = true
	value := records.EncodeMachineTypes(c.types)
	t := Txn{Conditions: []Condition{{records.MachineTypesKey, c.typesRevision}}, Mutations: []Mutation{{Key: records.MachineTypesKey, Value: value}}}
	c.commit(t, false, func(res CommitResult) {
		c.typesPending = false
		switch res.Outcome {
		case OutcomeOK:
			c.typesRevision, c.storedTypes = res.Revision, plain
		case OutcomeRefused, OutcomeUnknown:
			c.typesPending = true
			c.readKey(records.MachineTypesKey, false, func(r ReadResult) {
				c.typesPending = false
				if r.Outcome != OutcomeOK {
					return
				}
				if types, err := records.DecodeMachineTypes(r.Item.Value); err == nil {
					c.typesRevision, c.storedTypes = r.Item.Revision, typesWithoutPrices(types)
				}
			})
		}
	})
}

// typesWithoutPrices is what of machine types counts when they are compared.
func typesWithoutPrices(types []model.MachineType) string {
	plain := slices.Clone(types)
	for i := range plain {
		plain[i].Price, plain[i].SpotPrice = 0, 0
	}
	slices.SortFunc(plain, func(a, b model.MachineType) int { return strings.Compare(a.Name, b.Name) })
	return string(records.EncodeMachineTypes(plain))
}

// kindIndex is the dense index of a machine's zone, type and kind.
func (c *Core) kindIndex(zone, typ int, spot bool) int {
	k := (zone*len(c.types) + typ) * 2
	if spot {
		k++
	}
	return k
}

func seconds(d time.Duration) float64 { return d.Seconds() }

// duration is some seconds, three years at most: sums of what users state must not
// run over.
func duration(s float64) time.Duration {
	const most = 1e8
	return time.Duration(min(max(s, -most), most) * float64(time.Second))
}

// wholeTasks is a number of tasks as a whole number; what tiny amounts make of it must not
// run over.
func wholeTasks(x float64) int {
	const most = 1 << 30
	if x < most {
		return int(max(x, -most))
	}
	return most
}

// Healthy says whether this controller can take requests. When nobody reaches
// the state service, it is as good as any: it answers what it knows and says
// when to come back. When only it is cut off, users are better served
// elsewhere.
func (c *Core) Healthy() bool {
	if !c.storeSeen || len(c.types) == 0 {
		return false
	}
	if c.now < c.storeOKAt+2500*time.Millisecond || c.storeBadSince == 0 {
		return true
	}
	for _, peer := range c.peers {
		if peer.gossip != nil && c.now < peer.gossipAt+2*time.Second && peer.gossip.StoreOK {
			return false
		}
	}
	return true
}

// storeReachable says whether the state service answered lately.
func (c *Core) storeReachable() bool {
	return c.storeSeen && c.now < c.storeOKAt+4*time.Second
}
