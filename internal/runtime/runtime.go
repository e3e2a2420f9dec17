// Package runtime runs a controller: one goroutine owns the core and works
// through a queue of commands in batches; everything that waits for somebody
// runs beside it and comes back as a command.
package runtime

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"roadcleat/internal/agent"
	"roadcleat/internal/cloud"
	"roadcleat/internal/core"
	"roadcleat/internal/metrics"
	"roadcleat/internal/peer"
	"roadcleat/internal/state"
)

// Errors of a request that cannot be taken.
var (
	ErrBusy = errors.New("too much waiting already")
)

// Bounds are how many calls to workers and requests of workers and users may be under
// way at a time; both follow from the sockets that the settings give.
type Bounds struct{ WorkerCalls, Requests int }

const (
	leastQueue = 1024 // commands that may wait for the core, however few sockets there are
	batchLen   = 64
	maxCalls   = 256 // calls to the state service and the cloud open at a time
	tickEvery  = 50 * time.Millisecond
)

// command is an event, a question to the core, or both.
type command struct {
	ctx   context.Context // of whoever waits for the reply
	event any
	ask   func(*core.Core)
	reply chan any
}

// Runtime carries a core.
type Runtime struct {
	core  *core.Core
	state *state.Client
	cloud *cloud.Client
	agent *agent.Client
	links []*peer.Link
	log   *slog.Logger
	seen  *metrics.Set

	queue   chan command
	refused atomic.Bool // something was turned away since the core was last told
	start   time.Time
	reqs    uint64
	waiting map[uint64]chan any
	// Calls to workers have slots of their own: a zone of machines that do not
	// answer would otherwise keep the lease from being renewed.
	calls, workerCalls chan struct{}
}

// New makes a runtime. Its queue holds a command for each request and call that the
// bounds allow, so that all workers of a large fleet may report in the same moment, as
// they do after this process stood still.
func New(c *core.Core, st *state.Client, cl *cloud.Client, ag *agent.Client, bounds Bounds, links []*peer.Link, seen *metrics.Set, log *slog.Logger) *Runtime {
	return &Runtime{core: c, state: st, cloud: cl, agent: ag, links: links, log: log, seen: seen,
		queue: make(chan command, max(leastQueue, bounds.Requests+bounds.WorkerCalls+maxCalls)), start: time.Now(), waiting: map[uint64]chan any{},
		calls: make(chan struct{}, maxCalls), workerCalls: make(chan struct{}, bounds.WorkerCalls)}
}

// Run works through the queue until the context ends.
func (r *Runtime) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	r.settle(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if r.refused.Swap(false) {
				r.carryOut(ctx, r.core.Handle(r.now(), core.Overloaded{}))
			}
		case cmd := <-r.queue:
			r.take(ctx, cmd)
			for n := 1; n < batchLen; n++ {
				select {
				case cmd := <-r.queue:
					r.take(ctx, cmd)
					continue
				default:
				}
				break
			}
		}
		r.settle(ctx)
	}
}

func (r *Runtime) now() time.Duration { return time.Since(r.start) }

func (r *Runtime) settle(ctx context.Context) {
	start := time.Now()
	effects := r.core.Settle(r.now())
	if len(effects) > 0 {
		r.seen.Plan.Observe(time.Since(start).Seconds())
	}
	r.carryOut(ctx, effects)
}

func (r *Runtime) take(ctx context.Context, cmd command) {
	if cmd.ctx != nil && cmd.ctx.Err() != nil {
		// Nobody waits any more: it came while this process was behind or stood
		// still. Carried out now, its answer would count as given: a machine whose
		// report it is would seem to hear nothing.
		r.Refused()
		return
	}
	if cmd.ask != nil {
		cmd.ask(r.core)
		close(cmd.reply)
		return
	}
	ev := cmd.event
	if cmd.reply != nil {
		r.reqs++
		r.waiting[r.reqs] = cmd.reply
		switch e := ev.(type) {
		case core.Submit:
			e.Req = r.reqs
			ev = e
		case core.Poll:
			e.Req = r.reqs
			ev = e
		case core.Withdraw:
			e.Req = r.reqs
			ev = e
		case core.Beat:
			e.Req = r.reqs
			ev = e
		}
	}
	r.carryOut(ctx, r.core.Handle(r.now(), ev))
}

func (r *Runtime) carryOut(ctx context.Context, effects []any) {
	for _, e := range effects {
		switch e := e.(type) {
		case core.Call:
			go r.call(ctx, e)
		case core.Reply:
			r.answer(e.Req, e)
		case core.BeatReply:
			r.answer(e.Req, e)
		case core.Tell:
			r.links[e.To].Send(e.Message)
		case core.Share:
			r.state.Share(e.Requests, e.Changes)
			r.cloud.Share(e.Calls)
		case core.Observed:
			r.seen.Observe(e)
		case core.Note:
			level := [...]slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn}[e.Level]
			r.log.Log(ctx, level, e.Text, e.Args...)
		}
	}
}

func (r *Runtime) answer(req uint64, v any) {
	if ch := r.waiting[req]; ch != nil {
		delete(r.waiting, req)
		ch <- v // has room for the one answer
	}
}

// call makes a call to the outside and hands its result back to the owner.
func (r *Runtime) call(ctx context.Context, c core.Call) {
	var slots chan struct{} // none for the lease, which waits for nobody
	switch c.Op.(type) {
	case core.OrdersOp, core.ShowOp:
		slots = r.workerCalls
	case core.HoldOp, core.RenewOp:
	default:
		slots = r.calls
	}
	if slots != nil {
		slots <- struct{}{}
	}
	var res any
	switch op := c.Op.(type) {
	case core.CommitOp:
		res = r.state.Commit(ctx, op)
	case core.ReadOp:
		res = r.state.Read(ctx, op)
	case core.ListOp:
		res = r.state.List(ctx, op)
	case core.FollowOp:
		res = r.state.Follow(ctx, op)
	case core.HoldOp:
		res = r.state.Hold(ctx, op)
	case core.RenewOp:
		res = r.state.Renew(ctx, op)
	case core.CatalogOp:
		res = r.cloud.Catalog(ctx)
	case core.HostsOp:
		res = r.cloud.Hosts(ctx)
	case core.HireOp:
		res = r.cloud.Hire(ctx, op)
	case core.ReturnOp:
		res = core.ReturnResult(r.cloud.Return(ctx, op.Hosts))
	case core.OrdersOp:
		res = r.agent.Orders(ctx, op)
	case core.ShowOp:
		res = r.agent.Show(ctx, op.Addr)
	}
	if slots != nil {
		<-slots
	}
	r.seen.Call(c.Op, res)
	select {
	case r.queue <- command{event: core.Answer{ID: c.ID, Result: res}}:
	case <-ctx.Done():
	}
}

// Refused notes that a request of a worker or user was turned away here.
func (r *Runtime) Refused() { r.refused.Store(true) }

// Do hands an event to the core and waits for its answer. It fails at once
// when too much is waiting already.
func (r *Runtime) Do(ctx context.Context, event any) (any, error) {
	cmd := command{ctx: ctx, event: event, reply: make(chan any, 1)}
	select {
	case r.queue <- cmd:
	default:
		r.Refused()
		return nil, ErrBusy
	}
	select {
	case v := <-cmd.reply:
		return v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Ask runs f on the owner goroutine and waits for it.
func (r *Runtime) Ask(ctx context.Context, f func(*core.Core)) error {
	cmd := command{ctx: ctx, ask: f, reply: make(chan any)}
	select {
	case r.queue <- cmd:
	default:
		return ErrBusy
	}
	select {
	case <-cmd.reply:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Deliver hands a peer's message to the core; when the queue is full it is
// lost, as messages may be.
func (r *Runtime) Deliver(from int, m core.Message) {
	select {
	case r.queue <- command{event: core.PeerMessage{From: from, Message: m}}:
	default:
	}
}
