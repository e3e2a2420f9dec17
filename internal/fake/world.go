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
	"roadcleat/internal/model"
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
	OnEffect func(n *Node, effect core.Effect)
	// Copies, if set, says after which times copies of a report arrive once more.
	Copies func(k *Worker) []time.Duration
	// RepeatRequest, if set, says after how long a request is carried out a second time,
	// 0 for not at all. Orders come again only from a process that has ended.
	RepeatRequest func(node string, op core.Operation) time.Duration
	// DelayOnWire, if set, says how much longer than others a worker's packet is under way:
	// an order (core.OrdersOp) or its answer (core.WorkerResult), a report
	// (core.Report) or its answer (core.BeatReply). Negative: it is lost.
	DelayOnWire func(k *Worker, what any) time.Duration
	// Lag is how much longer than usual every packet is under way.
	Lag time.Duration
	// OnPeerMessage, if set, gets every message from one controller to another.
	OnPeerMessage func(from, to string, m core.Message)
	Users         Users // what users did beyond the ordinary
	// ChangePeerMessage, if set, may change what a controller says to another on its way out.
	ChangePeerMessage func(n *Node, m core.Message) core.Message
	// FaultsOverAt is when the last trouble is over; the referee asks more from then on.
	FaultsOverAt time.Duration
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
			{Name: "red", Guarantee: model.Resources{Cores: 16}, Limit: model.Resources{Cores: 40}},
			{Name: "blue", Guarantee: model.Resources{Cores: 8}, Limit: model.Resources{Cores: 16}},
		},
		HeartbeatInterval: 3 * time.Second, WorkerLease: 14 * time.Second, CancelWithin: 44 * time.Second, ListLag: 3 * time.Second,
		MaxTxnOps: 12, MaxValueBytes: 16 << 10,
		Tuning: core.Tuning{FetchSecondsPerGB: 5, Frontier: 32, KeepIdle: 25 * time.Second, DemandWindow: 40 * time.Second,
			SpareShare: 0.2, ReturnSilentAfter: 14 * time.Second, LeaseTTL: 8 * time.Second, TakeoverDelay: 2 * time.Second},
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
	w.OnClaim(w.deliverKeptCopies)
	w.Cloud = newCloud(w)
	for i, z := range controllers {
		node := &Node{w: w, Name: fmt.Sprintf("node-%d", i), zone: z}
		w.Nodes = append(w.Nodes, node)
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
	w.extendFaults(d)
	c := &cut{hold, w.Now + d}
	w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = c, c
	w.Log("%v cut %s-%s for %v hold=%v", w.Now, a, b, d, hold)
}

// extendFaults notes that something is wrong for a while.
func (w *World) extendFaults(d time.Duration) { w.FaultsOverAt = max(w.FaultsOverAt, w.Now+d) }

// CutOneWay loses what one host sends to another; the way back stays open.
func (w *World) CutOneWay(from, to string, d time.Duration) {
	w.extendFaults(d)
	w.cuts[[2]string{from, to}] = &cut{false, w.Now + d}
	w.Log("%v cut %s->%s for %v", w.Now, from, to, d)
}

// CutInbound lets a machine's reports arrive while nothing that any controller says
// reaches it.
func (w *World) CutInbound(worker *Worker, d time.Duration) {
	for _, n := range w.Nodes {
		w.CutOneWay(n.Name, worker.name, d)
	}
}

// CutOutbound lets a machine open no connection to any controller, while theirs reach it
// and are answered.
func (w *World) CutOutbound(worker *Worker, d time.Duration) {
	w.extendFaults(d)
	w.Log("%v mute %s for %v", w.Now, worker.name, d)
	worker.outboundCutUntil = w.Now + d
}

// Isolate cuts a controller from the state service and the other controllers, but
// not from its workers.
func (w *World) Isolate(node *Node, d time.Duration, hold bool) {
	w.Cut(node.Name, "state", d, hold)
	for _, other := range w.Nodes {
		if other != node {
			w.Cut(node.Name, other.Name, d, hold)
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
func rpc[R any](w *World, from, to string, timeout time.Duration, unknown R, exec func(answer func(R)), done func(R)) {
	over := false
	w.packet(from, to, func() {
		exec(func(res R) {
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
	frozenUntil time.Duration
	reqs        uint64
	wait        map[uint64]func(core.Effect)

	share    core.BudgetShare
	nextCall time.Duration
}

// Start starts the process.
func (n *Node) Start() {
	if n.up {
		return
	}
	n.up, n.frozenUntil = true, 0
	n.life++
	cfg := n.w.Cfg
	cfg.Label, cfg.Zone, cfg.Epoch, cfg.Seed = n.Name, n.zone, uint64(n.life), uint64(len(n.Name))
	for _, other := range n.w.Nodes {
		if other != n {
			cfg.Peers = append(cfg.Peers, core.PeerConfig{Label: other.Name, Zone: other.zone})
		}
	}
	n.Core, n.wait = core.New(cfg), map[uint64]func(core.Effect){}
	life := n.life
	var tick func()
	tick = func() {
		if n.up && n.life == life {
			n.advance()
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
	n.w.extendFaults(after)
	n.Crash()
	n.w.After(after, n.Start)
}

// Freeze has the process stand still for a while.
func (n *Node) Freeze(d time.Duration) {
	n.w.extendFaults(d)
	n.w.Log("%v freeze %s for %v", n.w.Now, n.Name, d)
	n.frozenUntil = n.w.Now + d
	n.w.After(d, n.advance) // what is due comes before what waits, as it may
}

// whenRunning runs f in this life of the process: at once, or when it goes on.
func (n *Node) whenRunning(f func()) {
	if n.w.Now >= n.frozenUntil {
		f()
		return
	}
	life := n.life
	n.w.After(n.frozenUntil-n.w.Now, func() {
		if n.up && n.life == life {
			n.whenRunning(f)
		}
	})
}

func (n *Node) advance() {
	if n.up && n.w.Now >= n.frozenUntil {
		n.execute(n.Core.Advance(n.w.Now))
	}
}

func (n *Node) handle(ev core.Event) { n.whenRunning(func() { n.process(ev) }) }

func (n *Node) process(ev core.Event) {
	n.execute(n.Core.Handle(n.w.Now, ev))
	n.advance()
}

// ask puts a request to the node; answer is not called if it dies first.
func (n *Node) ask(request func(req uint64) core.Event, answer func(core.Effect)) {
	n.reqs++
	n.wait[n.reqs] = answer
	n.handle(request(n.reqs))
}

func (n *Node) execute(effects []core.Effect) {
	life := n.life
	for _, e := range append([]core.Effect(nil), effects...) {
		if !n.up || n.life != life {
			return // it ended while it was sending
		}
		if n.w.OnEffect != nil {
			n.w.OnEffect(n, e)
		}
		switch e := e.(type) {
		case core.Call:
			n.call(e)
		case core.UserReply:
			n.answer(e.RequestID, e)
		case core.HeartbeatReply:
			if n.w.commandMoments(Before, n, nil, e.Commands); n.up {
				n.answer(e.RequestID, e)
			}
		case core.SendToPeer:
			n.sendToPeer(e)
		case core.BudgetShare:
			n.share = e
		case core.LogEvent:
			n.w.Log("%v %s %s %v", n.w.Now, n.Name, e.Message, e.Args)
		}
	}
}

func (n *Node) answer(req uint64, reply core.Effect) {
	if f := n.wait[req]; f != nil {
		delete(n.wait, req)
		f(reply)
	}
}

func (n *Node) sendToPeer(t core.SendToPeer) {
	var to *Node
	i := 0
	for _, other := range n.w.Nodes {
		if other == n {
			continue
		}
		if i == t.To {
			to = other
		}
		i++
	}
	from := 0
	for _, other := range n.w.Nodes {
		if other == n {
			break
		}
		if other != to {
			from++
		}
	}
	if n.w.OnPeerMessage != nil {
		n.w.OnPeerMessage(n.Name, to.Name, t.Message)
	}
	life := to.life
	if n.w.ChangePeerMessage != nil {
		t.Message = n.w.ChangePeerMessage(n, t.Message)
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
	steps, job := w.stepsOf(c.Operation)
	tell := func(phase Phase) {
		for _, s := range steps {
			w.moment(Moment{s, phase, n, nil, job})
		}
	}
	done := func(res core.Result) {
		if n.up && n.life == life {
			n.handle(core.CallResult{CallID: c.ID, Result: res})
			tell(After)
		}
	}
	if tell(Before); !n.up {
		return
	}
	// carriedOut wraps an answer to a call that is carried out.
	carriedOut := func(a func(core.Result)) func(core.Result) {
		return func(res core.Result) {
			if res.CallOutcome() == core.OutcomeOK {
				tell(During)
			}
			a(res)
		}
	}
	const wait = 2 * time.Second
	if w.RepeatRequest != nil {
		if late := w.RepeatRequest(n.Name, c.Operation); late > 0 {
			w.After(late, func() { n.repeat(c.Operation, life) })
		}
	}
	store := func(timeout time.Duration, unknown core.Result, exec func(func(core.Result))) {
		exec = w.Store.delayed(n.Name, c.Operation, exec)
		n.admit(func() { n.whenRunning(func() { rpc[core.Result](w, n.Name, "state", timeout, unknown, exec, done) }) }, func() { done(notSent(unknown)) })
	}
	switch op := c.Operation.(type) {
	case core.CommitTxn:
		store(wait, core.CommitResult{}, func(a func(core.Result)) {
			w.After(w.Store.Slow, func() { w.Store.commit(n.Name, op.Txn, carriedOut(a)) })
		})
	case core.ReadKey:
		store(wait, core.ReadResult{}, func(a func(core.Result)) { w.Store.read(n.Name, op.Key, a) })
	case core.ListKeys:
		store(wait, core.ListResult{}, func(a func(core.Result)) { w.Store.list(n.Name, op.Prefix, a) })
	case core.WatchKeys:
		store(op.Timeout+wait, core.WatchResult{}, func(a func(core.Result)) { w.Store.watch(n.Name, op, a) })
	case core.GrantLease:
		store(wait, core.LeaseResult{}, func(a func(core.Result)) { w.Store.grantLease(n.Name, op.TTL, a) })
	case core.RenewLease:
		store(wait, core.RenewResult{}, func(a func(core.Result)) { w.Store.renewLease(n.Name, op.Lease, a) })
	case core.ReadCatalog:
		rpc[core.Result](w, n.Name, "cloud", 4*time.Second, core.CatalogResult{}, w.Cloud.catalog, done)
	case core.ListHosts:
		rpc[core.Result](w, n.Name, "cloud", 4*time.Second, core.HostsResult{}, w.Cloud.list, done)
	case core.RentHosts:
		rpc[core.Result](w, n.Name, "cloud", 4*time.Second, core.RentResult{}, func(a func(core.Result)) { w.Cloud.handleRent(op, carriedOut(a)) }, done)
	case core.ReturnHosts:
		rpc[core.Result](w, n.Name, "cloud", 4*time.Second, core.ReturnResult{}, func(a func(core.Result)) { w.Cloud.handleReturn(op.Hosts, carriedOut(a)) }, done)
	case core.SendCommands:
		if w.commandMoments(Before, n, w.Workers[hostOf(op.Address)], op.Commands); !n.up {
			return
		}
		if x := w.cuts[[2]string{n.Name, hostOf(op.Address)}]; x != nil && w.Now < x.until && !x.hold {
			// No connection comes about, so nothing can arrive later either.
			w.After(1500*time.Millisecond, func() { done(core.WorkerResult{Outcome: core.OutcomeNotSent}) })
			return
		}
		worker := w.Workers[hostOf(op.Address)]
		rpc[core.Result](w, n.Name, hostOf(op.Address), 3*time.Second, core.WorkerResult{}, func(a func(core.Result)) {
			w.delayOnWire(worker, op, func() {
				w.reach(op.Address, func(k *Worker) {
					k.handleCommands(op, func(res core.Result) { w.delayOnWire(k, res, func() { a(res) }) })
				})
			})
		}, done)
	case core.ReadWorkerStatus:
		rpc[core.Result](w, n.Name, hostOf(op.Address), 3*time.Second, core.WorkerResult{}, func(a func(core.Result)) {
			w.reach(op.Address, func(k *Worker) { r := k.status(); a(core.WorkerResult{Outcome: core.OutcomeOK, Status: &r}) })
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

// notSent is the result of a call that was not made, of the same type as the
// one given.
func notSent(res core.Result) core.Result {
	switch res.(type) {
	case core.CommitResult:
		return core.CommitResult{Outcome: core.OutcomeNotSent}
	case core.ReadResult:
		return core.ReadResult{Outcome: core.OutcomeNotSent}
	case core.ListResult:
		return core.ListResult{Outcome: core.OutcomeNotSent}
	case core.WatchResult:
		return core.WatchResult{Outcome: core.OutcomeNotSent}
	case core.LeaseResult:
		return core.LeaseResult{Outcome: core.OutcomeNotSent}
	}
	return core.RenewResult{Outcome: core.OutcomeNotSent}
}

// repeat has a request that was carried out arrive once more; nobody hears the
// answer.
func (n *Node) repeat(op core.Operation, life int) {
	discard := func(core.Result) {}
	switch op := op.(type) {
	case core.CommitTxn:
		n.w.Store.commit(n.Name, op.Txn, discard)
	case core.RentHosts:
		n.w.Cloud.handleRent(op, discard)
	case core.ReturnHosts:
		n.w.Cloud.handleReturn(op.Hosts, discard)
	case core.SendCommands:
		if n.life != life {
			n.w.reach(op.Address, func(k *Worker) { k.handleCommands(op, discard) })
		}
	}
}

// hostOf is the host behind a worker's address; here they have one name.
func hostOf(addr string) string { return addr }

// reach runs f on a worker when it can: at once, or when it stops hanging.
func (w *World) reach(addr string, f func(*Worker)) {
	worker := w.Workers[addr]
	switch {
	case worker == nil || worker.gone:
	case w.Now < worker.hangUntil:
		w.After(worker.hangUntil-w.Now+time.Millisecond, func() { w.reach(addr, f) })
	default:
		worker.expire()
		f(worker)
	}
}
