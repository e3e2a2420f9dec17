// Package leadership decides whether this controller may act: whether its lease at the state
// service still holds, which shards it owns and under which fencing token, when it may take
// a shard over, and up to which moment it knows every cancellation. It is pure: time and what
// was read go in, decisions come out; the calls themselves are the core's.
//
// Its invariants, and the rules of PROTOCOL that rest on them:
//
//   - A shard has one owner at a time. The claim hangs on the owner's lease, so it vanishes
//     with it; its revision is the fencing token, which only grows and which workers
//     compare (rule ran_twice). A Claim that learns of a newer revision is outdated at once.
//   - Nothing of a former term of ownership takes effect in a later one: a Claim's term is the
//     first token of an unbroken ownership, and every answer is compared with it.
//   - Work starts only while cancellations arrive, and workers are answered only as long as
//     their leases then end within cancel_s of any cancellation that may have been missed
//     (rule ran_cancelled). An open call proves nothing; see View and Confirmations.
package leadership
