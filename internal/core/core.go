package core

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"

	"roadcleat/internal/plan"
)

// Peer is another controller.
type Peer struct{ Label, Zone string }

// Team is a team's guarantee and limit. An amount of 0 means that there is none:
// nothing guaranteed, or not limited.
type Team struct {
	Name             string
	Guarantee, Limit Amount
}

// Knobs are the operators' settings.
type Knobs struct {
	FetchSPerGB  float64
	Frontier     int
	KeepIdle     time.Duration
	Window       time.Duration
	SpareShare   float64
	SilentReturn time.Duration
	Hold         time.Duration
	Grace        time.Duration
}

// Config is what a controller knows from its settings.
type Config struct {
	Label, Zone           string
	Zones                 []string
	Peers                 []Peer
	Teams                 []Team
	Finishes              map[string][]float64 // completion aims per class in seconds, tightest first
	Deadlines             map[string][]float64 // aims per class in multiples of the job's deadline, likewise
	Waits                 map[string]float64   // the tightest aim per class for the start of a task, in seconds
	Report, Lease, Cancel time.Duration
	ListLag               time.Duration
	WorkerCalls           int // calls to workers that may be open at a time
	TxnOps, ValueBytes    int
	Changes               float64 // what the state service takes a second from all controllers; 0: not limited
	Knobs                 Knobs
	Boot                  uint64 // which life of this controller; never the same twice
	Seed                  uint64
}

// Core is one controller. It is not safe for concurrent use: one goroutine
// owns it.
type Core struct {
	cfg     Config
	now     time.Duration
	out     []any
	calls   map[uint64]func(any)
	callSeq uint64
	asked   map[string]int // calls by kind since they were last logged
	askedAt time.Duration
	rng     *rand.Rand

	zones, teams, images, classes names
	imageGB                       []float64 // by image
	types                         []MachineType
	typeIdx                       names
	catalogAt, catalogAsked       time.Duration
	catalogBusy                   bool
	typesBusy                     bool
	typesStamp                    uint64
	typesKept                     string // the types the store holds, without their prices

	parts []*part // by zone
	peers []*peer // as in the settings
	jobs  map[string]*job
	final map[string]Standing // ended jobs; kept for ever

	quotas []*quota // by team
	limits []Team   // by team
	within []bool   // by team: it uses less than its guarantee

	overloadedAt  time.Duration // when requests were last turned away here, 0: never
	wokeAt        time.Duration // when it last went on after it had stood still, 0: never
	cutOffUntil   time.Duration
	cloudOK       time.Duration // when the cloud last answered a listing
	cloudBadSince time.Duration
	heard         map[string]map[string]time.Duration // workers of others' parts, by zone
	lease         uint64
	leaseSent     time.Duration // when the last good renewal was sent
	leaseBusy     bool
	leaseRetry    time.Duration
	storeOK       time.Duration // when a call that then succeeded was last sent
	storeBadSince time.Duration
	storeSeen     bool
	partsView     view
	jobsView      view
	gossipAt      time.Duration
	gossipSeq     uint64
	sentAt        map[uint64]time.Duration // when my gossip of late was sent, by number
	withdrawn     []withdrawal
	batch         []*submission
	batchAt       time.Duration
	batching      map[string]*submission
	asking        map[string][]uint64 // users' questions by job, not yet compared
	askOrder      []string
	verifying     int
	verifyAt      time.Duration
	commitsInUse  int
	listAt        time.Duration
	listBusy      bool
	shown         map[string][]Shown
	classRatio    []float64 // observed over estimated run time, by class
	sPerGB        map[int]float64
	kinds         []classKinds // by class
	tickAt        time.Duration
	timers        []timer
	greets        int // calls to workers under way that make this owner known
	share         Share
	shareAt       time.Duration
	wanted, wants Share // calls made since shareAt, and by the second of late
	stats         Stats
}

// Stats are counters for the operators.
type Stats struct {
	Placed, Finished, Requeued, Stopped, Failed, Hired, Returned, Moves, Conflicts, Plans uint64
	FetchSeconds, FetchGB                                                                 float64
}

// cloudSaid notes whether the cloud answers.
func (c *Core) cloudSaid(ok bool) {
	if ok {
		c.cloudOK, c.cloudBadSince = c.now, 0
	} else if c.cloudBadSince == 0 {
		c.cloudBadSince = c.now
	}
}

// view is how far this controller has followed a prefix of the store.
type view struct {
	prefix  string
	loaded  bool
	busy    bool
	ledger  uint64
	fresh   time.Duration // everything before this moment is known
	since   time.Duration // everything after this moment up to fresh is known
	started bool          // fresh is meaningful
	nextAt  time.Duration
}

// New makes a controller that owns nothing yet.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, calls: map[uint64]func(any){}, asked: map[string]int{},
		rng:  rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)),
		jobs: map[string]*job{}, final: map[string]Standing{}, batching: map[string]*submission{}, asking: map[string][]uint64{},
		shown: map[string][]Shown{}, heard: map[string]map[string]time.Duration{}, sentAt: map[uint64]time.Duration{}, sPerGB: map[int]float64{},
		partsView: view{prefix: "part/"}, jobsView: view{prefix: "job/"},
	}
	c.cfg.Knobs = cfg.Knobs.InForce(cfg.Report, cfg.Lease)
	c.gossipSeq = cfg.Boot << 32 // no number of an earlier life comes again
	for _, z := range cfg.Zones {
		c.zone(z)
	}
	for _, t := range cfg.Teams {
		c.teams.of(t.Name)
		c.quotas = append(c.quotas, &quota{team: t.Name, asks: map[int]heardAsk{}})
		c.limits = append(c.limits, t)
	}
	c.within = make([]bool, len(c.limits))
	for _, p := range cfg.Peers {
		c.peers = append(c.peers, &peer{Peer: p, heard: -time.Hour})
	}
	return c
}

// Handle feeds one event at the given time and returns what is to be done.
// The slice is valid until the next call.
func (c *Core) Handle(now time.Duration, event any) []any {
	c.pass(now)
	c.out = c.out[:0]
	switch e := event.(type) {
	case Tick:
	case Answer:
		if then := c.calls[e.ID]; then != nil {
			delete(c.calls, e.ID)
			then(e.Result)
		}
	case Submit:
		c.submit(e)
	case Poll:
		c.poll(e)
	case Withdraw:
		c.withdraw(e)
	case Beat:
		c.beat(e)
	case PeerMessage:
		c.hear(e.From, e.Message)
	case Overloaded:
		c.overloadedAt = c.now
	}
	return c.out
}

// Settle does the work that is due after a batch of events: leases, views,
// plans and commits. The slice is valid until the next call.
func (c *Core) Settle(now time.Duration) []any {
	c.pass(now)
	c.out = c.out[:0]
	c.flushSubmissions()
	c.flushPolls()
	if c.now >= c.tickAt {
		c.tickAt = c.now + 100*time.Millisecond
		c.ring()
		c.keepLease()
		c.follow(&c.partsView)
		c.follow(&c.jobsView)
		c.keepCatalog()
		c.keepParts()
		c.keepHosts()
		c.gossip()
		c.keepShare()
		c.noteCalls()
	}
	for _, p := range c.parts {
		if p.mine && p.loaded {
			c.work(p)
		}
	}
	return c.out
}

// stoodStill is the gap between two looks at the world, which come every few
// hundredths of a second, that can only mean that the process did not run.
const stoodStill = time.Second

// pass lets time pass.
func (c *Core) pass(now time.Duration) {
	if now <= c.now {
		return
	}
	gap := now - c.now
	first := c.now == 0
	c.now = now
	if !first && gap > stoodStill {
		c.woke(gap)
	}
}

// woke draws conclusions from time that has passed anew: while this controller
// stood still its clock ran on, but it read nothing. Nobody was silent to it in
// that time, no machine overdue and none idle. What rests on what others did
// meanwhile needs no word here: leases of workers run out by their own clocks, and
// whoever took a part has changed the keys that guard every transaction.
func (c *Core) woke(gap time.Duration) {
	c.wokeAt = c.now
	c.note(2, "stood still", "for", seconds(gap))
	for _, p := range c.parts {
		if !p.mine {
			continue
		}
		p.heardAt += gap
		p.homeUp = 0
		for i := range p.demand {
			p.demand[i].at += gap
		}
		for _, h := range p.hosts {
			h.unread += gap
			h.unheard = 0 // calls that it never read the answers of prove nothing
			h.giveUp += gap
			h.idleSince += gap
		}
	}
}

// overloaded says whether requests were turned away or dropped here lately. Until every
// worker has had time to try twice more, silence speaks against nobody, and neither do
// calls that were not answered: an owner that had too little of its processor for its
// machines gave thousands of them back that were well.
func (c *Core) overloaded() bool {
	return c.overloadedAt > 0 && c.now < c.overloadedAt+2*c.cfg.Report+5*time.Second
}

// sure says whether the state service has confirmed this controller's lease
// since it last stood still. Before that its parts may long be others', and it
// neither returns nor hires machines for them.
func (c *Core) sure() bool { return c.leaseSent >= c.wokeAt }

func (c *Core) emit(e any) { c.out = append(c.out, e) }

func (c *Core) note(level int, text string, args ...any) {
	c.emit(Note{level, text, args})
}

// call asks for something outside; then runs with its result.
func (c *Core) call(op any, then func(any)) {
	c.callSeq++
	c.calls[c.callSeq] = then
	c.asked[reflect.TypeOf(op).Name()]++
	switch op := op.(type) {
	case CommitOp:
		c.wanted.Requests++
		c.wanted.Changes += float64(len(op.Txn.Apply))
	case ReadOp, ListOp, FollowOp, HoldOp, RenewOp:
		c.wanted.Requests++
	}
	c.emit(Call{c.callSeq, op})
}

// timer is something to do later.
type timer struct {
	at time.Duration
	f  func()
}

// after does f at the first tick after d.
func (c *Core) after(d time.Duration, f func()) { c.timers = append(c.timers, timer{c.now + d, f}) }

// ring does what is due.
func (c *Core) ring() {
	due := c.timers
	c.timers = nil
	for _, t := range due {
		if c.now >= t.at {
			t.f()
		} else {
			c.timers = append(c.timers, t)
		}
	}
}

// noteCalls logs what was asked of the outside lately.
func (c *Core) noteCalls() {
	if c.now < c.askedAt {
		return
	}
	c.askedAt = c.now + 15*time.Second
	args := []any{"share", c.share.Requests}
	for _, k := range sorted(c.asked) {
		args = append(args, strings.ToLower(strings.TrimSuffix(k, "Op")), c.asked[k])
	}
	clear(c.asked)
	c.note(1, "calls in 15 s", args...)
}

// keepShare divides the budgets. Of the cloud's calls most go to owners, by
// parts. Of the state service's requests and changes a portion goes to all
// alike and the rest by what each needed lately, as its gossip says: users bunch
// at one controller, and an owner's work comes in bursts. By one rule on nearly
// one view the shares hardly add up to more than all of it; where they do, a
// refused call is repeated.
func (c *Core) keepShare() {
	if c.now < c.shareAt {
		return
	}
	c.shareAt = c.now + 500*time.Millisecond
	// The mean of some seconds, so that a burst counts at once and is not
	// forgotten at once.
	c.wants.Requests += 0.2 * (2*c.wanted.Requests - c.wants.Requests)
	c.wants.Changes += 0.2 * (2*c.wanted.Changes - c.wants.Changes)
	c.wanted = Share{}
	mine := Share{Requests: c.wants.Requests + 1, Changes: c.wants.Changes + 1}
	sum := mine
	for _, q := range c.peers {
		if q.gossip != nil && c.now < q.gossipAt+3*time.Second {
			sum.Requests += q.gossip.Wants.Requests + 1
			sum.Changes += q.gossip.Wants.Changes + 1
		}
	}
	owned := 0
	for _, p := range c.parts {
		if p.mine || p.claiming {
			owned++
		}
	}
	all, parts := 1/float64(1+len(c.peers)), 0.0
	if len(c.parts) > 0 {
		parts = float64(owned) / float64(len(c.parts))
	}
	s := Share{Requests: 0.3*all + 0.7*mine.Requests/sum.Requests, Changes: 0.25*all + 0.75*mine.Changes/sum.Changes,
		Calls: 0.2*all + 0.8*parts}
	if s != c.share {
		c.share = s
		c.emit(s)
	}
}

// store notes whether the state service answers.
func (c *Core) store(sent time.Duration, ok bool) {
	if ok {
		c.storeOK, c.storeSeen, c.storeBadSince = max(c.storeOK, sent), true, 0
	} else if c.storeBadSince == 0 {
		c.storeBadSince = c.now
	}
}

func (c *Core) read(key string, urgent bool, then func(ReadResult)) {
	sent := c.now
	c.call(ReadOp{key, urgent}, func(r any) {
		res := r.(ReadResult)
		c.store(sent, res.Outcome == OK)
		then(res)
	})
}

func (c *Core) commit(t Txn, urgent bool, then func(CommitResult)) {
	c.commitOp(CommitOp{Txn: t, Urgent: urgent}, then)
}

func (c *Core) commitOp(op CommitOp, then func(CommitResult)) {
	sent := c.now
	c.call(op, func(r any) {
		res := r.(CommitResult)
		c.store(sent, res.Outcome == OK || res.Outcome == Refused)
		then(res)
	})
}

// zone returns the index of a zone and makes its part when it is new.
func (c *Core) zone(name string) int {
	z := c.zones.of(name)
	for len(c.parts) <= z {
		c.parts = append(c.parts, newPart(len(c.parts), c.zones.list[len(c.parts)]))
	}
	return z
}

// keepCatalog refreshes the machine types and their prices.
func (c *Core) keepCatalog() {
	wait := 30 * time.Second
	if len(c.types) == 0 {
		wait = time.Second
	}
	if c.catalogBusy || c.catalogAsked > 0 && c.now < c.catalogAsked+wait {
		return
	}
	c.catalogBusy, c.catalogAsked = true, c.now
	c.call(CatalogOp{}, func(r any) {
		c.catalogBusy = false
		res := r.(CatalogResult)
		c.cloudSaid(res.Outcome == OK)
		if res.Outcome != OK || len(res.Types) == 0 {
			return
		}
		c.learnTypes(res.Types)
		c.catalogAt = c.now
		c.storeTypes()
	})
	if len(c.types) == 0 && !c.typesBusy {
		c.readTypes()
	}
}

func (c *Core) learnTypes(types []MachineType) {
	for _, t := range types {
		i := c.typeIdx.of(t.Name)
		for len(c.types) <= i {
			c.types = append(c.types, MachineType{})
		}
		c.types[i] = t
		for _, z := range t.Zones {
			c.zone(z)
		}
	}
}

// typesKey holds the machine types as the cloud last told them. A controller
// that starts while the cloud is out of reach would otherwise know of none and
// could take no request until the cloud is back.
const typesKey = "types"

func (c *Core) readTypes() {
	c.typesBusy = true
	c.read(typesKey, true, func(res ReadResult) {
		c.typesBusy = false
		if res.Outcome != OK {
			return
		}
		var types []MachineType
		if c.typesStamp = res.Item.Stamp; res.Found && json.Unmarshal(res.Item.Value, &types) == nil && len(c.types) == 0 {
			c.learnTypes(types)
			c.typesKept = plainTypes(types)
		}
	})
}

// storeTypes writes the types down when they are others than those kept there.
// Prices change all the time and do not count.
func (c *Core) storeTypes() {
	plain := plainTypes(c.types)
	if c.typesBusy || c.typesKept == plain || !c.storeWell() {
		return
	}
	c.typesBusy = true
	value, _ := json.Marshal(c.types)
	t := Txn{Guards: []Guard{{typesKey, c.typesStamp}}, Apply: []Set{{Key: typesKey, Value: value}}}
	c.commit(t, false, func(res CommitResult) {
		c.typesBusy = false
		switch res.Outcome {
		case OK:
			c.typesStamp, c.typesKept = res.Revision, plain
		case Refused, Unknown:
			c.typesBusy = true
			c.read(typesKey, false, func(r ReadResult) {
				c.typesBusy = false
				var types []MachineType
				if r.Outcome == OK && json.Unmarshal(r.Item.Value, &types) == nil {
					c.typesStamp, c.typesKept = r.Item.Stamp, plainTypes(types)
				}
			})
		}
	})
}

// plainTypes is what of machine types counts when they are compared.
func plainTypes(types []MachineType) string {
	plain := slices.Clone(types)
	for i := range plain {
		plain[i].Price, plain[i].SpotPrice = 0, 0
	}
	slices.SortFunc(plain, func(a, b MachineType) int { return strings.Compare(a.Name, b.Name) })
	b, _ := json.Marshal(plain)
	return string(b)
}

// kind is the dense index of a machine's zone, type and kind.
func (c *Core) kind(zone, typ int, spot bool) int {
	k := (zone*len(c.types) + typ) * 2
	if spot {
		k++
	}
	return k
}

func (a Amount) plan() plan.Amount { return plan.Amount{Cores: a.Cores, Cards: a.Cards, Mem: a.Mem} }

func (a Amount) plus(b Amount, times float64) Amount {
	return Amount{a.Cores + b.Cores*times, a.Cards + b.Cards*times, a.Mem + b.Mem*times}
}

func seconds(d time.Duration) float64 { return d.Seconds() }

// duration is some seconds, three years at most: sums of what users state must not
// run over.
func duration(s float64) time.Duration {
	const most = 1e8
	return time.Duration(min(max(s, -most), most) * float64(time.Second))
}

// count is a number of tasks as a whole number; what tiny amounts make of it must not
// run over.
func count(x float64) int {
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
	if c.now < c.storeOK+2500*time.Millisecond || c.storeBadSince == 0 {
		return true
	}
	for _, p := range c.peers {
		if p.gossip != nil && c.now < p.gossipAt+2*time.Second && p.gossip.StoreOK {
			return false
		}
	}
	return true
}
