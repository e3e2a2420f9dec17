// Package runtime runs a controller: one goroutine owns the core and works through a queue of
// commands in batches; everything that waits for somebody runs beside it and comes back as a
// command. All its goroutines end with the context of Run.
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

// ErrBusy is returned for a request that cannot be taken: too many wait already.
var ErrBusy = errors.New("too much waiting already")

// Bounds are how many calls to workers, and requests of workers and users, may be under way at
// a time; both follow from the sockets that the settings give.
type Bounds struct{ WorkerCalls, Requests int }

const (
	minQueue     = 1024 // commands that may wait for the core, however few sockets there are
	maxBatch     = 64   // commands that are worked through before what is due is done
	maxCalls     = 256  // calls to the state service and the cloud open at a time
	tickInterval = 50 * time.Millisecond
)

// command is an event or an inspection of the core.
type command struct {
	ctx     context.Context // of whoever waits for the reply
	event   core.Event
	inspect func(*core.Core)
	reply   chan core.Effect // nil if nobody waits
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
	start     time.Time
	queue     chan command
	rejected  atomic.Bool // something was turned away since the core was last told

	// Owned by the goroutine of Run.
	lastRequestID uint64
	waiting       map[uint64]chan core.Effect // by request

	// Calls to workers have slots of their own: a zone of machines that do not answer would
	// otherwise keep everything else waiting.
	callSlots, workerCallSlots chan struct{}
}

// New makes a runtime. Its queue holds a command for each request and call that the bounds
// allow, so that all workers of a large fleet may send a heartbeat in the same moment, as they
// do after this process did not run for a while.
func New(c *core.Core, st *state.Client, cl *cloud.Client, ag *agent.Client, bounds Bounds, links []*peer.Link, collector *metrics.Set, log *slog.Logger) *Runtime {
	return &Runtime{
		core:            c,
		state:           st,
		cloud:           cl,
		agent:           ag,
		links:           links,
		log:             log,
		collector:       collector,
		start:           time.Now(),
		queue:           make(chan command, max(minQueue, bounds.Requests+bounds.WorkerCalls+maxCalls)),
		waiting:         map[uint64]chan core.Effect{},
		callSlots:       make(chan struct{}, maxCalls),
		workerCallSlots: make(chan struct{}, bounds.WorkerCalls),
	}
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
			r.processWaiting(ctx, maxBatch-1)
		}
		r.advance(ctx)
	}
}

// processWaiting works through up to n commands that are in the queue already.
func (r *Runtime) processWaiting(ctx context.Context, n int) {
	for range n {
		select {
		case cmd := <-r.queue:
			r.process(ctx, cmd)
		default:
			return
		}
	}
}

func (r *Runtime) now() time.Duration { return time.Since(r.start) }

// advance has the core do what is due, and measures it.
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
		// Its sender has given up: it came while this process was behind or did not run.
		// Carried out now, its answer would count as given, and a machine whose heartbeat it
		// is would seem unreachable.
		r.RecordRejection()
		return
	}
	if cmd.inspect != nil {
		cmd.inspect(r.core)
		close(cmd.reply)
		return
	}
	event := cmd.event
	if cmd.reply != nil {
		r.lastRequestID++
		r.waiting[r.lastRequestID] = cmd.reply
		event = core.WithRequestID(event, r.lastRequestID)
	}
	r.execute(ctx, r.core.Handle(r.now(), event))
}

// execute carries out what the core asks for.
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

// answer hands a reply to whoever waits for the request.
func (r *Runtime) answer(req uint64, reply core.Effect) {
	if ch := r.waiting[req]; ch != nil {
		delete(r.waiting, req)
		ch <- reply // has room for the one answer
	}
}

// RecordRejection notes that a request of a worker or user was turned away here.
func (r *Runtime) RecordRejection() { r.rejected.Store(true) }

// Submit hands an event to the core and waits for its reply. It fails at once with ErrBusy when
// too much is waiting already, and with the context's error when that ends.
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

// Inspect runs f on the owner goroutine and waits for it. It fails like Submit.
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

// Deliver hands another controller's message to the core. When the queue is full it is lost,
// as messages between controllers may be.
func (r *Runtime) Deliver(from int, m core.Message) {
	select {
	case r.queue <- command{event: core.PeerMessage{From: from, Message: m}}:
	default:
	}
}
