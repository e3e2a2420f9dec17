package core

import "time"

// Pauses before calls are made again. They are fixed: the budget of calls to the state
// service and the cloud, which the runtime enforces, is what spreads retries out.
const (
	// retryStoreCall is for reads, watches, transactions and lease renewals that gave no
	// answer or were not sent.
	retryStoreCall = 300 * time.Millisecond
	// retryLeaseGrant is for a new lease: the old one has expired, so nothing depends on
	// the first moment.
	retryLeaseGrant = 500 * time.Millisecond
	// retryClaim is how soon a shard is claimed again after another controller won it, or
	// after a claim of unknown outcome was looked up.
	retryClaim = 200 * time.Millisecond
	// retryShardRead is for reading a shard's key after a claim.
	retryShardRead = 500 * time.Millisecond
	// retryUnreadable is how soon a shard with a record that this version cannot read is
	// loaded again.
	retryUnreadable = 5 * time.Second
	// reclaimAfterHandover is how long, beyond the takeover delay, a controller leaves a
	// shard alone that it has handed over.
	reclaimAfterHandover = 2 * time.Second
	// retryCloudCall is for rentals and returns that gave no answer or were not sent.
	retryCloudCall = 700 * time.Millisecond
	// retryHostList is for listings of the cloud.
	retryHostList = 2 * time.Second
)

// maxRentalAttempts bounds how often a rental without an answer is repeated under its name.
const maxRentalAttempts = 30
