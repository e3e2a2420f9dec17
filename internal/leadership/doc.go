// Package leadership decides whether this controller may act: whether its lease at the state
// service still holds, which shards it owns and under which fencing token, when it may claim
// a shard that has lost its owner, and up to which moment it has received every cancellation.
// The package does no input or output: it is given the time and the results of calls, and
// returns decisions. Package core makes the calls.
//
// Its invariants, and the rules of PROTOCOL that depend on them:
//
//   - A shard has one owner at a time. The shard's key is attached to the owner's lease, so the
//     state service deletes the key when the lease expires. The revision of the key is the
//     fencing token: it only grows, and workers compare it (rule ran_twice). A Claim becomes
//     outdated as soon as it observes a newer revision.
//   - Nothing from one term of ownership takes effect in a later term. The term of a Claim is
//     the first token of an uninterrupted ownership, and every response is compared with it.
//   - Tasks are started only while the controller receives cancellations. Heartbeats of workers
//     are answered only as long as the workers' leases would then expire within cancel_s of any
//     cancellation that this controller may have missed (rule ran_cancelled). A call without a
//     response is no evidence of an up-to-date view; see PrefixView and Confirmations.
package leadership
