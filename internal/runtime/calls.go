package runtime

import (
	"context"

	"roadcleat/internal/core"
)

// performCall carries out a call that the core has requested and queues its result for the
// goroutine that owns the core. If the context ends first, the result is dropped: Run has
// stopped then, and nothing reads the queue any more.
func (r *Runtime) performCall(ctx context.Context, call core.Call) {
	slots := r.slotsFor(call.Operation)
	if slots != nil {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
	result := r.performOperation(ctx, call.Operation)
	if slots != nil {
		<-slots
	}
	r.metricSet.CountCall(call.Operation, result)
	select {
	case r.commands <- command{event: core.CallResult{CallID: call.ID, Result: result}}:
	case <-ctx.Done():
	}
}

// slotsFor returns the semaphore that limits how many operations of this kind are in flight
// at a time. It returns nil for lease operations, which are not limited: a renewal that
// waited behind other calls could come too late to keep the lease.
func (r *Runtime) slotsFor(op core.Operation) chan struct{} {
	switch op.(type) {
	case core.SendCommands, core.ReadWorkerStatus:
		return r.workerCallSlots
	case core.GrantLease, core.RenewLease:
		return nil
	}
	return r.serviceCallSlots
}

// performOperation carries out an operation with the client of the service that it addresses, and
// waits for its result.
func (r *Runtime) performOperation(ctx context.Context, op core.Operation) core.Result {
	switch op := op.(type) {
	case core.CommitTxn:
		return r.stateClient.Commit(ctx, op)
	case core.ReadKey:
		return r.stateClient.Read(ctx, op)
	case core.ListKeys:
		return r.stateClient.List(ctx, op)
	case core.WatchKeys:
		return r.stateClient.Watch(ctx, op)
	case core.GrantLease:
		return r.stateClient.GrantLease(ctx, op)
	case core.RenewLease:
		return r.stateClient.RenewLease(ctx, op)
	case core.ReadCatalog:
		return r.cloudClient.Catalog(ctx)
	case core.ListHosts:
		return r.cloudClient.Hosts(ctx)
	case core.RentHosts:
		return r.cloudClient.Rent(ctx, op)
	case core.ReturnHosts:
		return r.cloudClient.Return(ctx, op.Hosts)
	case core.SendCommands:
		return r.workerClient.SendCommands(ctx, op)
	case core.ReadWorkerStatus:
		return r.workerClient.ReadStatus(ctx, op.Address)
	}
	panic("runtime: core operation without a client") // unreachable: the set of operations is closed
}
