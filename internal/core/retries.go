package core

import "time"

// Delays before calls are retried. They have no backoff: the runtime enforces the call budgets of
// the state service and the cloud, which already limits the rate of retries.
const (
	// stateServiceRetryDelay applies to reads, watches, transactions and lease renewals that were not
	// answered or not sent.
	stateServiceRetryDelay = 300 * time.Millisecond
	// leaseGrantRetryDelay applies to requests for a new lease. It may be longer than other
	// delays: the old lease has expired already, so a fast retry keeps nothing alive.
	leaseGrantRetryDelay = 500 * time.Millisecond
	// claimRetryDelay applies to claims of a shard that were refused, because another controller
	// claimed it first, or whose outcome is unknown.
	claimRetryDelay = 200 * time.Millisecond
	// shardReadRetryDelay is how long a shard is not claimed after its key could not be read.
	shardReadRetryDelay = 500 * time.Millisecond
	// unreadableRecordRetryDelay applies to loading a shard that has a record which this
	// version of the program cannot decode.
	unreadableRecordRetryDelay = 5 * time.Second
	// reclaimDelayAfterHandover is how long, in addition to the takeover delay, a controller
	// does not claim a shard that it has handed over.
	reclaimDelayAfterHandover = 2 * time.Second
	// cloudRetryDelay applies to rentals and returns of machines that were not answered or not
	// sent.
	cloudRetryDelay = 700 * time.Millisecond
	// hostListRetryDelay applies to listings of the cloud's machines.
	hostListRetryDelay = 2 * time.Second
)

// maxRentalAttempts bounds how many times an unanswered rental is sent under the same name.
const maxRentalAttempts = 30
