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
	minQueue     = 1024 // commands that may wait for the core, however few sockets there are
	maxBatch     = 64
	maxCalls     = 256 // calls to the state service and the cloud open at a time
	tickInterval = 50 * time.Millisecond
)

// command is an event, a question to the core, or both.
type command struct {
	ctx     context.Context // of whoever waits for the reply
	event   core.Event
	inspect func(*core.Core)
	reply   chan core.Effect
}

// Runtime carries a core.
type Runtime struct {
	core      *core.Core
	state     *state.Client
	cloud     *cloud.Client
	agent     *agent.Client
	links     []*peer.Link
	log       *slog.Logger
	collector *metrics.Set

	queue         chan command
	rejected      atomic.Bool // something was turned away since the core was last told
	start         time.Time
	lastRequestID uint64
	waiting       map[uint64]chan core.Effect
	// Calls to workers have slots of their own: a zone of machines that do not
	// answer would otherwise keep the lease from being renewed.
	callSlots, workerCallSlots chan struct{}
}

// New makes a runtime. Its queue holds a command for each request and call that the
// bounds allow, so that all workers of a large fleet may report in the same moment, as
// they do after this process stood still.
func New(c *core.Core, st *state.Client, cl *cloud.Client, ag *agent.Client, bounds Bounds, links []*peer.Link, seen *metrics.Set, log *slog.Logger) *Runtime {
	return &Runtime{core: c, state: st, cloud: cl, agent: ag, links: links, log: log, collector: seen,
		queue: make(chan command, max(minQueue, bounds.Requests+bounds.WorkerCalls+maxCalls)), start: time.Now(), waiting: map[uint64]chan core.Effect{},
		callSlots: make(chan struct{}, maxCalls), workerCallSlots: make(chan struct{}, bounds.WorkerCalls)}
}

// Run works through the queue until the context ends.
func (r *Runtime) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	r.advance(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if r.rejected.Swap(false) {
				r.execute(ctx, r.core.Handle(r.now(), core.Overloaded{}))
			}
		case cmd := <-r.queue:
			r.process(ctx, cmd)
			for n := 1; n < maxBatch; n++ {
				select {
				case cmd := <-r.queue:
					r.process(ctx, cmd)
					continue
				default:
				}
				break
			}
		}
		r.advance(ctx)
	}
}

func (r *Runtime) now() time.Duration { return time.Since(r.start) }

func (r *Runtime) advance(ctx context.Context) {
	start := time.Now()
	effects := r.core.Advance(r.now())
	if len(effects) > 0 {
		r.collector.Plan.Observe(time.Since(start).Seconds())
	}
	r.execute(ctx, effects)
}

func (r *Runtime) process(ctx context.Context, cmd command) {
	if cmd.ctx != nil && cmd.ctx.Err() != nil {
		// Nobody waits any more: it came while this process was behind or stood
		// still. Carried out now, its answer would count as given: a machine whose
		// report it is would seem to hear nothing.
		r.RecordRejection()
		return
	}
	if cmd.inspect != nil {
		cmd.inspect(r.core)
		close(cmd.reply)
		return
	}
	ev := cmd.event
	if cmd.reply != nil {
		r.lastRequestID++
		r.waiting[r.lastRequestID] = cmd.reply
		switch e := ev.(type) {
		case core.JobSubmission:
			e.RequestID = r.lastRequestID
			ev = e
		case core.JobQuery:
			e.RequestID = r.lastRequestID
			ev = e
		case core.JobCancellation:
			e.RequestID = r.lastRequestID
			ev = e
		case core.Heartbeat:
			e.RequestID = r.lastRequestID
			ev = e
		}
	}
	r.execute(ctx, r.core.Handle(r.now(), ev))
}

func (r *Runtime) execute(ctx context.Context, effects []core.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case core.Call:
			go r.call(ctx, e)
		case core.UserReply:
			r.answer(e.RequestID, e)
		case core.HeartbeatReply:
			r.answer(e.RequestID, e)
		case core.SendToPeer:
			r.links[e.To].Send(e.Message)
		case core.BudgetShare:
			r.state.Share(e.Requests, e.Changes)
			r.cloud.Share(e.Calls)
		case core.Observation:
			r.collector.Observe(e)
		case core.LogEvent:
			r.log.Log(ctx, e.Level, e.Message, e.Args...)
		}
	}
}

func (r *Runtime) answer(req uint64, reply core.Effect) {
	if ch := r.waiting[req]; ch != nil {
		delete(r.waiting, req)
		ch <- reply // has room for the one answer
	}
}

// call makes a call to the outside and hands its result back to the owner.
func (r *Runtime) call(ctx context.Context, c core.Call) {
	var slots chan struct{} // none for the lease, which waits for nobody
	switch c.Operation.(type) {
	case core.SendCommands, core.ReadWorkerStatus:
		slots = r.workerCallSlots
	case core.GrantLease, core.RenewLease:
	default:
		slots = r.callSlots
	}
	if slots != nil {
		slots <- struct{}{}
	}
	var res core.Result
	switch op := c.Operation.(type) {
	case core.CommitTxn:
		res = r.state.Commit(ctx, op)
	case core.ReadKey:
		res = r.state.Read(ctx, op)
	case core.ListKeys:
		res = r.state.List(ctx, op)
	case core.WatchKeys:
		res = r.state.Watch(ctx, op)
	case core.GrantLease:
		res = r.state.GrantLease(ctx, op)
	case core.RenewLease:
		res = r.state.RenewLease(ctx, op)
	case core.ReadCatalog:
		res = r.cloud.Catalog(ctx)
	case core.ListHosts:
		res = r.cloud.Hosts(ctx)
	case core.RentHosts:
		res = r.cloud.Rent(ctx, op)
	case core.ReturnHosts:
		res = core.ReturnResult(r.cloud.Return(ctx, op.Hosts))
	case core.SendCommands:
		res = r.agent.SendCommands(ctx, op)
	case core.ReadWorkerStatus:
		res = r.agent.ReadStatus(ctx, op.Address)
	}
	if slots != nil {
		<-slots
	}
	r.collector.Call(c.Operation, res)
	select {
	case r.queue <- command{event: core.CallResult{CallID: c.ID, Result: res}}:
	case <-ctx.Done():
	}
}

// RecordRejection notes that a request of a worker or user was turned away here.
func (r *Runtime) RecordRejection() { r.rejected.Store(true) }

// Submit hands an event to the core and waits for its answer. It fails at once
// when too much is waiting already.
func (r *Runtime) Submit(ctx context.Context, event core.Event) (core.Effect, error) {
	cmd := command{ctx: ctx, event: event, reply: make(chan core.Effect, 1)}
	select {
	case r.queue <- cmd:
	default:
		r.RecordRejection()
		return nil, ErrBusy
	}
	select {
	case v := <-cmd.reply:
		return v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Inspect runs f on the owner goroutine and waits for it.
func (r *Runtime) Inspect(ctx context.Context, f func(*core.Core)) error {
	cmd := command{ctx: ctx, inspect: f, reply: make(chan core.Effect)}
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
