package core

import (
	"time"

	"roadcleat/internal/leadership"
	"roadcleat/internal/model"
)

// PeerConfig identifies another controller and the zone it is in.
type PeerConfig struct{ Label, Zone string }

// Team is a team's guarantee and limit. An amount of 0 in the guarantee means that nothing is
// guaranteed, in the limit that the resource is not limited.
type Team struct {
	Name             string
	Guarantee, Limit model.Resources
}

// Config holds a controller's settings.
type Config struct {
	Label, Zone string       // this controller's name and the zone it is in
	Zones       []string     // all zones, each of which has one shard
	Peers       []PeerConfig // the other controllers
	Teams       []Team

	// Service-level objectives, by job class.
	CompletionObjectives map[string][]float64 // seconds to completion, tightest first
	DeadlineObjectives   map[string][]float64 // time to completion as a multiple of the job's deadline, tightest first
	StartObjectives      map[string]float64   // seconds to the start of a task, tightest objective only

	HeartbeatInterval time.Duration // interval of workers' heartbeats
	WorkerLease       time.Duration // time without an answer after which a worker kills its tasks
	CancelWithin      time.Duration // time after a cancellation by which the job's tasks must have stopped
	HostListLag       time.Duration // how far the cloud's list of machines may be out of date

	MaxWorkerCalls  int     // maximum number of pending calls to workers
	MaxTxnMutations int     // maximum number of mutations in a transaction
	MaxValueBytes   int     // maximum size of a value in the state service, 0: not limited
	WritesPerSecond float64 // write budget of the state service for all controllers together, 0: not limited

	Tuning Tuning
	Epoch  uint64 // number of this process, never used by another process of this controller
	Seed   uint64 // seed of the random numbers
}

// Tuning holds the settings that operators may change.
type Tuning struct {
	FetchSecondsPerGB   float64       // assumed fetch time, until the catalog or observed fetches give a better one
	MaxPartialSchedules int           // number of partial schedules that the search for a pipeline's schedule keeps
	ReturnIdleAfter     time.Duration // idle time after which a machine is returned
	DemandWindow        time.Duration // period of past demand from which the fleet size is computed
	SpareCapacityRatio  float64       // spare capacity on top of the average demand, as a ratio of it
	ReturnSilentAfter   time.Duration // time without heartbeats after which a machine is returned
	LeaseTTL            time.Duration // time to live of this controller's lease at the state service
	TakeoverDelay       time.Duration // how long a free shard is left to its home controller
}

// maxLeaseTTLRatio is the upper bound of a controller's lease TTL, as a ratio of a worker's lease.
// When a controller stalls or is partitioned, its lease must expire, another controller must claim
// its shard, and its workers must find the new owner before their own leases expire. The workers
// first wait for an answer and then try the other controllers one by one.
const maxLeaseTTLRatio = 0.28

// minLeaseTTL is the lower bound of a controller's lease TTL, so that the lease survives one failed
// renewal.
const minLeaseTTL = 3 * time.Second

// lostHeartbeatDelay is the time until the owner receives the next heartbeat after one was lost. The
// worker's request times out after 4 s. A second later the worker tries another controller, which
// redirects it to the owner.
const lostHeartbeatDelay = 7 * time.Second

// Times that workers need to find a new owner, see FailoverTime.
const (
	unansweredHeartbeatDelay = 5500 * time.Millisecond // an unanswered heartbeat and the next attempt
	shardClaimDuration       = time.Second             // from the end of the claim delay to the new owner's first answer
)

// maxHeartbeatGap is the longest time between two heartbeats of a worker: a heartbeat is at most a
// quarter of the interval late.
func maxHeartbeatGap(interval time.Duration) time.Duration { return interval * 5 / 4 }

// Effective returns the settings within the bounds that the workers' heartbeat interval and lease
// impose: an upper bound on LeaseTTL and a lower bound on ReturnSilentAfter.
func (t Tuning) Effective(heartbeat, lease time.Duration) Tuning {
	t.LeaseTTL = min(t.LeaseTTL, max(time.Duration(maxLeaseTTLRatio*float64(lease)), minLeaseTTL))
	t.ReturnSilentAfter = max(t.ReturnSilentAfter, maxHeartbeatGap(heartbeat)+lostHeartbeatDelay)
	return t
}

// FailoverTime is the least time for which workers get no answer if their controller crashes just
// before a late heartbeat of theirs. A worker's lease must be longer than this.
//
// In that time the heartbeat must time out and the worker try another controller, and a controller
// must have claimed the shard after the crashed controller's lease expired. A worker that asks
// before the claim tries all controllers once more, which takes 1 s for each running controller
// and 5 s for the crashed one. The claim waits for the whole takeover delay only if the shard's
// home controller is reachable.
func (t Tuning) FailoverTime(heartbeat, lease time.Duration, isHomeReachable bool) time.Duration {
	t = t.Effective(heartbeat, lease)
	delay := t.TakeoverDelay
	if !isHomeReachable {
		delay = min(delay, leadership.MaxDelayWithoutHome)
	}
	return maxHeartbeatGap(heartbeat) + max(unansweredHeartbeatDelay, t.LeaseTTL+delay+shardClaimDuration)
}
