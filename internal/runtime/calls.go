package runtime

import (
	"context"

	"roadcleat/internal/core"
)

// call makes a call to the outside and hands its result back to the owner. When the context
// ends it is given up; nobody waits for its result then.
func (r *Runtime) call(ctx context.Context, c core.Call) {
	slots := r.slotsFor(c.Operation)
	if slots != nil {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
	result := r.perform(ctx, c.Operation)
	if slots != nil {
		<-slots
	}
	r.collector.Call(c.Operation, result)
	select {
	case r.queue <- command{event: core.CallResult{CallID: c.ID, Result: result}}:
	case <-ctx.Done():
	}
}

// slotsFor bounds how many operations of a kind are under way at a time. The lease waits for
// nobody, so nil is returned for it.
func (r *Runtime) slotsFor(op core.Operation) chan struct{} {
	switch op.(type) {
	case core.SendCommands, core.ReadWorkerStatus:
		return r.workerCallSlots
	case core.GrantLease, core.RenewLease:
		return nil
	}
	return r.callSlots
}

// perform carries an operation out.
func (r *Runtime) perform(ctx context.Context, op core.Operation) core.Result {
	switch op := op.(type) {
	case core.CommitTxn:
		return r.state.Commit(ctx, op)
	case core.ReadKey:
		return r.state.Read(ctx, op)
	case core.ListKeys:
		return r.state.List(ctx, op)
	case core.WatchKeys:
		return r.state.Watch(ctx, op)
	case core.GrantLease:
		return r.state.GrantLease(ctx, op)
	case core.RenewLease:
		return r.state.RenewLease(ctx, op)
	case core.ReadCatalog:
		return r.cloud.Catalog(ctx)
	case core.ListHosts:
		return r.cloud.Hosts(ctx)
	case core.RentHosts:
		return r.cloud.Rent(ctx, op)
	case core.ReturnHosts:
		return r.cloud.Return(ctx, op.Hosts)
	case core.SendCommands:
		return r.agent.SendCommands(ctx, op)
	case core.ReadWorkerStatus:
		return r.agent.ReadStatus(ctx, op.Address)
	}
	panic("no client for an operation of the core") // the set of operations is closed
}
