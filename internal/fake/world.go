// Package fake is a world in memory for tests: network, state service, cloud,
// workers and users in simulated time, with faults on demand and a referee who
// knows the rules. Controllers in it are real cores.
package fake

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"roadcleat/internal/core"
)

// World is one simulated day. Everything in it happens on one goroutine.
type World struct {
	Now     time.Duration
	Rng     *rand.Rand
	Nodes   []*Node
	Store   *Store
	Cloud   *Cloud
	Workers map[string]*Worker
	Jobs    map[string]*Job
	Referee *Referee
	Cfg     core.Config // what all controllers share
	Log     func(format string, args ...any)

	// OnEffect, if set, sees whatever a controller's core asks for, before it is done.
	OnEffect func(n *Node, effect any)
	// Copies, if set, says after which times copies of a report arrive once more.
	Copies func(k *Worker) []time.Duration
	// Again, if set, says after how long a request is carried out a second time,
	// 0 for not at all. Orders come again only from a process that has ended.
	Again func(node string, op any) time.Duration
	// Held, if set, says how much longer than others a worker's packet is under way:
	// an order (core.OrdersOp) or its answer (core.WorkerResult), a report
	// (core.Report) or its answer (core.BeatReply). Negative: it is lost.
	Held func(k *Worker, what any) time.Duration
	// Lag is how much longer than usual every packet is under way.
	Lag time.Duration
	// Overhear, if set, gets every message from one controller to another.
	Overhear func(from, to string, m core.Message)
	Users    Users // what users did beyond the ordinary
	// Tells, if set, may change what a controller says to another on its way out.
	Tells func(n *Node, m core.Message) core.Message
	// Calm is when the last trouble is over; the referee asks more from then on.
	Calm time.Duration
	// OnMoment, if set, hears of every moment of the protocols' steps.
	OnMoment func(Moment)

	copies     copies
	cancelEnds time.Duration // until then users call jobs off as they end
	queue      eventQueue
	seq        int
	odd        int // submissions made that can't run or lack a field
	cuts       map[[2]string]*cut
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// cut holds or drops packets between two hosts.
type cut struct {
	hold  bool
	until time.Duration
}

// Settings of a small deployment: three zones with a controller each, and two
// teams.
func Settings() core.Config {
	return core.Config{
		Zones: []string{"a", "b", "c"},
		Teams: []core.Team{
			{Name: "red", Guarantee: core.Amount{Cores: 16}, Limit: core.Amount{Cores: 40}},
			{Name: "blue", Guarantee: core.Amount{Cores: 8}, Limit: core.Amount{Cores: 16}},
		},
		Report: 3 * time.Second, Lease: 14 * time.Second, Cancel: 44 * time.Second, ListLag: 3 * time.Second,
		TxnOps: 12, ValueBytes: 16 << 10,
		Knobs: core.Knobs{FetchSPerGB: 5, Frontier: 32, KeepIdle: 25 * time.Second, Window: 40 * time.Second,
			SpareShare: 0.2, SilentReturn: 14 * time.Second, Hold: 8 * time.Second, Grace: 2 * time.Second},
	}
}

// New makes a world with a controller started in each zone.
func New(seed uint64, cfg core.Config) *World { return NewWith(seed, cfg, cfg.Zones...) }

// NewWith makes one with a controller in each of the zones given, which may be
// fewer than there are, or the same more than once.
func NewWith(seed uint64, cfg core.Config, controllers ...string) *World {
	w := &World{Rng: rand.New(rand.NewPCG(seed, 1)), Workers: map[string]*Worker{}, Jobs: map[string]*Job{},
		cuts: map[[2]string]*cut{}, Cfg: cfg, Log: func(string, ...any) {}}
	w.Referee = newReferee(w)
	w.Store = newStore(w)
	w.OnClaim(w.claimed)
	w.Cloud = newCloud(w)
	for i, z := range controllers {
		n := &Node{w: w, Name: fmt.Sprintf("node-%d", i), zone: z}
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		n.Start()
	}
	return w
}

// After runs f when d has passed.
func (w *World) After(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.Now + d, w.seq, f})
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.Now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.f()
	}
	w.Now = end
}

// Until lets time pass until ok holds, for at most d, and says whether it does.
func (w *World) Until(d time.Duration, ok func() bool) bool {
	for end := w.Now + d; w.Now < end; {
		if ok() {
			return true
		}
		w.Run(100 * time.Millisecond)
	}
	return ok()
}

// Cut interrupts the network between two hosts, both ways. With hold, packets
// are delivered when it ends; otherwise they are lost.
func (w *World) Cut(a, b string, d time.Duration, hold bool) {
	w.trouble(d)
	c := &cut{hold, w.Now + d}
	w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = c, c
	w.Log("%v cut %s-%s for %v hold=%v", w.Now, a, b, d, hold)
}

// trouble notes that something is wrong for a while.
func (w *World) trouble(d time.Duration) { w.Calm = max(w.Calm, w.Now+d) }

// CutOneWay loses what one host sends to another; the way back stays open.
func (w *World) CutOneWay(from, to string, d time.Duration) {
	w.trouble(d)
	w.cuts[[2]string{from, to}] = &cut{false, w.Now + d}
	w.Log("%v cut %s->%s for %v", w.Now, from, to, d)
}

// Deafen lets a machine's reports arrive while nothing that any controller says
// reaches it.
func (w *World) Deafen(k *Worker, d time.Duration) {
	for _, n := range w.Nodes {
		w.CutOneWay(n.Name, k.name, d)
	}
}

// Mute lets a machine open no connection to any controller, while theirs reach it
// and are answered.
func (w *World) Mute(k *Worker, d time.Duration) {
	w.trouble(d)
	w.Log("%v mute %s for %v", w.Now, k.name, d)
	k.muteUntil = w.Now + d
}

// Alone cuts a controller from the state service and the other controllers, but
// not from its workers.
func (w *World) Alone(n *Node, d time.Duration, hold bool) {
	w.Cut(n.Name, "state", d, hold)
	for _, o := range w.Nodes {
		if o != n {
			w.Cut(n.Name, o.Name, d, hold)
		}
	}
}

func (w *World) latency() time.Duration {
	return w.Lag + time.Duration(500+w.Rng.IntN(2500))*time.Microsecond
}

// packet carries f from one host to another.
func (w *World) packet(from, to string, f func()) {
	if c := w.cuts[[2]string{from, to}]; c != nil && w.Now < c.until {
		if c.hold {
			w.After(c.until-w.Now+w.latency(), f)
		}
		return
	}
	w.After(w.latency(), f)
}

// rpc calls a host: exec runs there and answers through its argument. When no
// answer came in time, done gets unknown; what is under way stays under way.
func (w *World) rpc(from, to string, timeout time.Duration, unknown any, exec func(answer func(any)), done func(any)) {
	over := false
	w.packet(from, to, func() {
		exec(func(res any) {
			w.packet(to, from, func() {
				if !over {
					over = true
					done(res)
				}
			})
		})
	})
	w.After(timeout, func() {
		if !over {
			over = true
			done(unknown)
		}
	})
}

// Node is a controller process that can be killed and started again.
type Node struct {
	Name string
	Core *core.Core
	w    *World
	zone string
	life int
	up   bool
	// It stands still until then: its clock runs on, and what comes waits for it.
	frozen time.Duration
	reqs   uint64
	wait   map[uint64]func(any)

	share    core.Share
	nextCall time.Duration
}

// Start starts the process.
func (n *Node) Start() {
	if n.up {
		return
	}
	n.up, n.frozen = true, 0
	n.life++
	cfg := n.w.Cfg
	cfg.Label, cfg.Zone, cfg.Boot, cfg.Seed = n.Name, n.zone, uint64(n.life), uint64(len(n.Name))
	for _, o := range n.w.Nodes {
		if o != n {
			cfg.Peers = append(cfg.Peers, core.Peer{Label: o.Name, Zone: o.zone})
		}
	}
	n.Core, n.wait = core.New(cfg), map[uint64]func(any){}
	life := n.life
	var tick func()
	tick = func() {
		if n.up && n.life == life {
			n.settle()
			n.w.After(50*time.Millisecond, tick)
		}
	}
	tick()
}

// Crash kills the process; what it sent stays under way.
func (n *Node) Crash() {
	n.w.Log("%v crash %s", n.w.Now, n.Name)
	n.up = false
}

// Restart kills the process and starts it again after a while.
func (n *Node) Restart(after time.Duration) {
	n.w.trouble(after)
	n.Crash()
	n.w.After(after, n.Start)
}

// Freeze has the process stand still for a while.
func (n *Node) Freeze(d time.Duration) {
	n.w.trouble(d)
	n.w.Log("%v freeze %s for %v", n.w.Now, n.Name, d)
	n.frozen = n.w.Now + d
	n.w.After(d, n.settle) // what is due comes before what waits, as it may
}

// thawed runs f in this life of the process: at once, or when it goes on.
func (n *Node) thawed(f func()) {
	if n.w.Now >= n.frozen {
		f()
		return
	}
	life := n.life
	n.w.After(n.frozen-n.w.Now, func() {
		if n.up && n.life == life {
			n.thawed(f)
		}
	})
}

func (n *Node) settle() {
	if n.up && n.w.Now >= n.frozen {
		n.carryOut(n.Core.Settle(n.w.Now))
	}
}

func (n *Node) handle(ev any) { n.thawed(func() { n.take(ev) }) }

func (n *Node) take(ev any) {
	n.carryOut(n.Core.Handle(n.w.Now, ev))
	n.settle()
}

// ask puts a request to the node; answer is not called if it dies first.
func (n *Node) ask(request func(req uint64) any, answer func(any)) {
	n.reqs++
	n.wait[n.reqs] = answer
	n.handle(request(n.reqs))
}

func (n *Node) carryOut(effects []any) {
	life := n.life
	for _, e := range append([]any(nil), effects...) {
		if !n.up || n.life != life {
			return // it ended while it was sending
		}
		if n.w.OnEffect != nil {
			n.w.OnEffect(n, e)
		}
		switch e := e.(type) {
		case core.Call:
			n.call(e)
		case core.Reply:
			n.answer(e.Req, e)
		case core.BeatReply:
			if n.w.orders(Before, n, nil, e.Orders); n.up {
				n.answer(e.Req, e)
			}
		case core.Tell:
			n.tell(e)
		case core.Share:
			n.share = e
		case core.Note:
			n.w.Log("%v %s %s %v", n.w.Now, n.Name, e.Text, e.Args)
		}
	}
}

func (n *Node) answer(req uint64, v any) {
	if f := n.wait[req]; f != nil {
		delete(n.wait, req)
		f(v)
	}
}

func (n *Node) tell(t core.Tell) {
	var to *Node
	i := 0
	for _, o := range n.w.Nodes {
		if o == n {
			continue
		}
		if i == t.To {
			to = o
		}
		i++
	}
	from := 0
	for _, o := range n.w.Nodes {
		if o == n {
			break
		}
		if o != to {
			from++
		}
	}
	if n.w.Overhear != nil {
		n.w.Overhear(n.Name, to.Name, t.Message)
	}
	life := to.life
	if n.w.Tells != nil {
		t.Message = n.w.Tells(n, t.Message)
	}
	n.w.packet(n.Name, to.Name, func() {
		if to.up && to.life == life {
			to.handle(core.PeerMessage{From: from, Message: t.Message})
		}
	})
}

// call carries out a core's call to the outside.
func (n *Node) call(c core.Call) {
	life := n.life
	w := n.w
	steps, job := w.stepsOf(c.Op)
	tell := func(phase Phase) {
		for _, s := range steps {
			w.moment(Moment{s, phase, n, nil, job})
		}
	}
	done := func(res any) {
		if n.up && n.life == life {
			n.handle(core.Answer{ID: c.ID, Result: res})
			tell(After)
		}
	}
	if tell(Before); !n.up {
		return
	}
	// carriedOut wraps an answer to a call that is carried out.
	carriedOut := func(a func(any)) func(any) {
		return func(res any) {
			if outcomeOf(res) == core.OK {
				tell(During)
			}
			a(res)
		}
	}
	const wait = 2 * time.Second
	if w.Again != nil {
		if late := w.Again(n.Name, c.Op); late > 0 {
			w.After(late, func() { n.repeat(c.Op, life) })
		}
	}
	store := func(timeout time.Duration, unknown any, exec func(func(any))) {
		exec = w.Store.delayed(n.Name, c.Op, exec)
		n.admit(func() { n.thawed(func() { w.rpc(n.Name, "state", timeout, unknown, exec, done) }) }, func() { done(notSent(unknown)) })
	}
	switch op := c.Op.(type) {
	case core.CommitOp:
		store(wait, core.CommitResult{}, func(a func(any)) {
			w.After(w.Store.Slow, func() { w.Store.commit(n.Name, op.Txn, carriedOut(a)) })
		})
	case core.ReadOp:
		store(wait, core.ReadResult{}, func(a func(any)) { w.Store.read(n.Name, op.Key, a) })
	case core.ListOp:
		store(wait, core.ListResult{}, func(a func(any)) { w.Store.list(n.Name, op.Prefix, a) })
	case core.FollowOp:
		store(op.Wait+wait, core.FollowResult{}, func(a func(any)) { w.Store.follow(n.Name, op, a) })
	case core.HoldOp:
		store(wait, core.HoldResult{}, func(a func(any)) { w.Store.hold(n.Name, op.Life, a) })
	case core.RenewOp:
		store(wait, core.RenewResult{}, func(a func(any)) { w.Store.renew(n.Name, op.Lease, a) })
	case core.CatalogOp:
		w.rpc(n.Name, "cloud", 4*time.Second, core.CatalogResult{}, w.Cloud.catalog, done)
	case core.HostsOp:
		w.rpc(n.Name, "cloud", 4*time.Second, core.HostsResult{}, w.Cloud.list, done)
	case core.HireOp:
		w.rpc(n.Name, "cloud", 4*time.Second, core.HireResult{}, func(a func(any)) { w.Cloud.hire(op, carriedOut(a)) }, done)
	case core.ReturnOp:
		w.rpc(n.Name, "cloud", 4*time.Second, core.ReturnResult{}, func(a func(any)) { w.Cloud.giveBack(op.Hosts, carriedOut(a)) }, done)
	case core.OrdersOp:
		if w.orders(Before, n, w.Workers[hostOf(op.Addr)], op.Orders); !n.up {
			return
		}
		if x := w.cuts[[2]string{n.Name, hostOf(op.Addr)}]; x != nil && w.Now < x.until && !x.hold {
			// No connection comes about, so nothing can arrive later either.
			w.After(1500*time.Millisecond, func() { done(core.WorkerResult{Outcome: core.NotSent}) })
			return
		}
		k := w.Workers[hostOf(op.Addr)]
		w.rpc(n.Name, hostOf(op.Addr), 3*time.Second, core.WorkerResult{}, func(a func(any)) {
			w.held(k, op, func() {
				w.reach(op.Addr, func(k *Worker) {
					k.direct(op, func(res any) { w.held(k, res, func() { a(res) }) })
				})
			})
		}, done)
	case core.ShowOp:
		w.rpc(n.Name, hostOf(op.Addr), 3*time.Second, core.WorkerResult{}, func(a func(any)) {
			w.reach(op.Addr, func(k *Worker) { r := k.report(); a(core.WorkerResult{Outcome: core.OK, Report: &r}) })
		}, done)
	}
}

// admit lets a call to the state service go when this controller's share of
// its budget allows, or refuses it when that would take over a second.
func (n *Node) admit(send, refuse func()) {
	w := n.w
	if w.Store.RPS == 0 {
		send()
		return
	}
	n.nextCall = max(n.nextCall, w.Now)
	if n.nextCall > w.Now+time.Second {
		w.After(time.Millisecond, refuse)
		return
	}
	w.After(n.nextCall-w.Now, send)
	n.nextCall += time.Duration(float64(time.Second) / (0.93 * w.Store.RPS * max(n.share.Requests, 0.01)))
}

// outcomeOf is the outcome of a call that a moment is told of.
func outcomeOf(res any) core.Outcome {
	switch res := res.(type) {
	case core.CommitResult:
		return res.Outcome
	case core.HireResult:
		return res.Outcome
	case core.ReturnResult:
		return res.Outcome
	}
	return core.Unknown
}

// notSent is the result of a call that was not made, of the same type as the
// one given.
func notSent(res any) any {
	switch res.(type) {
	case core.CommitResult:
		return core.CommitResult{Outcome: core.NotSent}
	case core.ReadResult:
		return core.ReadResult{Outcome: core.NotSent}
	case core.ListResult:
		return core.ListResult{Outcome: core.NotSent}
	case core.FollowResult:
		return core.FollowResult{Outcome: core.NotSent}
	case core.HoldResult:
		return core.HoldResult{Outcome: core.NotSent}
	}
	return core.RenewResult{Outcome: core.NotSent}
}

// repeat has a request that was carried out arrive once more; nobody hears the
// answer.
func (n *Node) repeat(op any, life int) {
	unheard := func(any) {}
	switch op := op.(type) {
	case core.CommitOp:
		n.w.Store.commit(n.Name, op.Txn, unheard)
	case core.HireOp:
		n.w.Cloud.hire(op, unheard)
	case core.ReturnOp:
		n.w.Cloud.giveBack(op.Hosts, unheard)
	case core.OrdersOp:
		if n.life != life {
			n.w.reach(op.Addr, func(k *Worker) { k.direct(op, unheard) })
		}
	}
}

// hostOf is the host behind a worker's address; here they have one name.
func hostOf(addr string) string { return addr }

// reach runs f on a worker when it can: at once, or when it stops hanging.
func (w *World) reach(addr string, f func(*Worker)) {
	k := w.Workers[addr]
	switch {
	case k == nil || k.gone:
	case w.Now < k.hangUntil:
		w.After(k.hangUntil-w.Now+time.Millisecond, func() { w.reach(addr, f) })
	default:
		k.expire()
		f(k)
	}
}
