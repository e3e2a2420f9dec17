// Package runtime runs a controller. One goroutine owns the core and processes a queue of
// commands in batches. Everything that blocks, such as a call to the state service, runs on a
// goroutine of its own and puts its result into the queue as a command. All goroutines of the
// package stop when the context of Run ends.
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

// ErrQueueFull is returned for a request that is rejected because the command queue is full.
var ErrQueueFull = errors.New("command queue is full")

// Limits holds the largest number of calls to workers, and of requests of workers and users,
// that may be in flight at a time. Both numbers follow from the sockets that the settings grant.
type Limits struct{ WorkerCalls, ClientRequests int }

const (
	minQueueCommands = 1024 // least capacity of the command queue, however few sockets are granted
	maxBatchCommands = 64   // commands processed between two calls of the core's Advance
	maxServiceCalls  = 256  // calls to the state service and the cloud in flight at a time
	tickInterval     = 50 * time.Millisecond
)

// command is one entry of the command queue: either an event for the core, or a function that
// inspects the core.
type command struct {
	requestCtx context.Context // context of the request that waits for the reply, or nil
	event      core.Event
	inspect    func(*core.Core)
	reply      chan core.Effect // nil if no reply is expected
}

// Runtime runs a core: it passes events to the core and carries out the effects that the core
// returns.
type Runtime struct {
	core         *core.Core
	stateClient  *state.Client
	cloudClient  *cloud.Client
	workerClient *agent.Client
	peerLinks    []*peer.Link
	log          *slog.Logger
	metricSet    *metrics.Set
	startTime    time.Time
	commands     chan command

	// hasRejectedRequests is true if a request was rejected since the last core.Overloaded
	// event.
	hasRejectedRequests atomic.Bool

	// Owned by the goroutine of Run.
	lastRequestID  uint64
	pendingReplies map[uint64]chan core.Effect // by request ID

	// Semaphores of the calls in flight. Calls to workers have one of their own: otherwise calls
	// to the unresponsive machines of a zone could take all slots and delay all other calls.
	serviceCallSlots, workerCallSlots chan struct{}
}

// New returns a runtime that has not started yet; Run starts it. The command queue has the
// capacity for every request and call that may be in flight, so that no heartbeat is rejected
// when all workers of a large fleet send one at the same time, as they do after this process was
// paused.
func New(c *core.Core, stateClient *state.Client, cloudClient *cloud.Client, workerClient *agent.Client, limits Limits, peerLinks []*peer.Link, metricSet *metrics.Set, log *slog.Logger) *Runtime {
	return &Runtime{
		core:             c,
		stateClient:      stateClient,
		cloudClient:      cloudClient,
		workerClient:     workerClient,
		peerLinks:        peerLinks,
		log:              log,
		metricSet:        metricSet,
		startTime:        time.Now(),
		commands:         make(chan command, max(minQueueCommands, limits.ClientRequests+limits.WorkerCalls+maxServiceCalls)),
		pendingReplies:   map[uint64]chan core.Effect{},
		serviceCallSlots: make(chan struct{}, maxServiceCalls),
		workerCallSlots:  make(chan struct{}, limits.WorkerCalls),
	}
}

// Run processes commands until the context ends. The goroutine that calls Run owns the core.
func (r *Runtime) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	r.advanceCore(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if r.hasRejectedRequests.Swap(false) {
				r.executeEffects(ctx, r.core.Handle(r.elapsed(), core.Overloaded{}))
			}
		case cmd := <-r.commands:
			r.processCommand(ctx, cmd)
			r.processQueued(ctx, maxBatchCommands-1)
		}
		r.advanceCore(ctx)
	}
}

// processQueued processes up to limit commands that are already in the queue. It does not
// wait for more.
func (r *Runtime) processQueued(ctx context.Context, limit int) {
	for range limit {
		select {
		case cmd := <-r.commands:
			r.processCommand(ctx, cmd)
		default:
			return
		}
	}
}

// elapsed returns the time since the runtime was created, which is the core's clock.
func (r *Runtime) elapsed() time.Duration { return time.Since(r.startTime) }

// advanceCore lets the core plan and do all work that is due at this time. If that has any
// effects, it records the time taken and executes them.
func (r *Runtime) advanceCore(ctx context.Context) {
	start := time.Now()
	effects := r.core.Advance(r.elapsed())
	if len(effects) > 0 {
		r.metricSet.PlanningSeconds.Observe(time.Since(start).Seconds())
	}
	r.executeEffects(ctx, effects)
}

// processCommand passes a command's event to the core and executes the resulting effects, or
// runs the command's inspection. It drops a command whose request has ended.
func (r *Runtime) processCommand(ctx context.Context, cmd command) {
	if cmd.requestCtx != nil && cmd.requestCtx.Err() != nil {
		// The sender has given up, because this process was overloaded or paused. If the core
		// handled a heartbeat now, it would assume that its reply renewed the worker's lease, and
		// would mark the machine unreachable when the lease expires at the worker.
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
		r.pendingReplies[r.lastRequestID] = cmd.reply
		event = core.WithRequestID(event, r.lastRequestID)
	}
	r.executeEffects(ctx, r.core.Handle(r.elapsed(), event))
}

// executeEffects carries out the effects that the core has returned. It does not block: calls
// run on goroutines of their own.
func (r *Runtime) executeEffects(ctx context.Context, effects []core.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case core.Call:
			go r.performCall(ctx, effect)
		case core.UserReply:
			r.deliverReply(effect.RequestID, effect)
		case core.HeartbeatReply:
			r.deliverReply(effect.RequestID, effect)
		case core.SendToPeer:
			r.peerLinks[effect.PeerIndex].Send(effect.Message)
		case core.BudgetShare:
			r.stateClient.SetBudgetShare(effect.Requests, effect.Changes)
			r.cloudClient.SetBudgetShare(effect.Calls)
		case core.Observation:
			r.metricSet.Observe(effect)
		case core.LogEvent:
			r.log.Log(ctx, effect.Level, effect.Message, effect.Args...)
		}
	}
}

// deliverReply sends the core's reply to the Submit call that waits for it.
func (r *Runtime) deliverReply(requestID uint64, reply core.Effect) {
	if replies := r.pendingReplies[requestID]; replies != nil {
		delete(r.pendingReplies, requestID)
		replies <- reply // does not block: the channel buffers the only reply
	}
}

// RecordRejection records that a request of a worker or user was rejected before it reached
// the core. The core receives an Overloaded event at the next tick.
func (r *Runtime) RecordRejection() { r.hasRejectedRequests.Store(true) }

// Submit passes an event to the core and waits for its reply. It returns ErrQueueFull at once
// if the command queue is full, and the context's error if the context ends before the reply.
func (r *Runtime) Submit(ctx context.Context, event core.Event) (core.Effect, error) {
	cmd := command{requestCtx: ctx, event: event, reply: make(chan core.Effect, 1)}
	select {
	case r.commands <- cmd:
	default:
		r.RecordRejection()
		return nil, ErrQueueFull
	}
	select {
	case reply := <-cmd.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Inspect runs a function on the goroutine that owns the core and waits until it returns. It
// returns the same errors as Submit.
func (r *Runtime) Inspect(ctx context.Context, inspect func(*core.Core)) error {
	cmd := command{requestCtx: ctx, inspect: inspect, reply: make(chan core.Effect)}
	select {
	case r.commands <- cmd:
	default:
		return ErrQueueFull
	}
	select {
	case <-cmd.reply:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Deliver passes a message from another controller to the core; peerIndex is the index of that
// controller among the configured peers. If the command queue is full, the message is dropped; the
// protocol between controllers tolerates lost messages.
func (r *Runtime) Deliver(peerIndex int, message core.Message) {
	select {
	case r.commands <- command{event: core.PeerMessage{PeerIndex: peerIndex, Message: message}}:
	default:
	}
}
