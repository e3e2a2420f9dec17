package core

import (
	"time"

	"roadcleat/internal/leadership"
	"roadcleat/internal/model"
)

// PeerConfig is another controller, by the settings.
type PeerConfig struct{ Label, Zone string }

// Team is a team's guarantee and limit. An amount of 0 means that there is none: nothing
// guaranteed, or not limited.
type Team struct {
	Name             string
	Guarantee, Limit model.Resources
}

// Config is what a controller knows from its settings.
type Config struct {
	Label, Zone string // of this controller
	Zones       []string
	Peers       []PeerConfig
	Teams       []Team

	// Service-level objectives by class of jobs.
	CompletionObjectives map[string][]float64 // completion in seconds, tightest first
	DeadlineObjectives   map[string][]float64 // completion in multiples of the job's deadline, likewise
	StartObjectives      map[string]float64   // the tightest for the start of a task, in seconds

	HeartbeatInterval time.Duration // of workers
	WorkerLease       time.Duration // after which a worker that is not answered kills its tasks
	CancelWithin      time.Duration // by when a cancelled job's tasks must be gone
	ListLag           time.Duration // of the cloud's list of machines

	MaxWorkerCalls  int     // calls to workers that may be open at a time
	MaxTxnOps       int     // mutations in a transaction
	MaxValueBytes   int     // of a value in the state service, 0: not limited
	WritesPerSecond float64 // that the state service takes from all controllers, 0: not limited

	Tuning Tuning
	Epoch  uint64 // of this process, never the same twice
	Seed   uint64
}

// Tuning are the operators' own settings.
type Tuning struct {
	FetchSecondsPerGB float64       // until the catalogue or observed fetches tell
	Frontier          int           // partial schedules kept while a pipeline is planned
	KeepIdle          time.Duration // after which an idle machine is returned
	DemandWindow      time.Duration // past demand that the fleet is sized for
	SpareShare        float64       // of the average demand, kept free on top of it
	ReturnSilentAfter time.Duration // of a machine's silence
	LeaseTTL          time.Duration // of this controller's lease at the state service
	TakeoverDelay     time.Duration // before another zone's free shard is claimed
}

// leaseTTLShare is the share of a worker's lease that a controller's may last at most. When a
// controller stalls or is cut off, its lease must expire, its shard be claimed and its workers
// find the new owner before their own leases expire: they first wait for an answer, then try
// the other controllers one by one.
const leaseTTLShare = 0.28

// minLeaseTTL is what a controller's lease lasts in any case: a renewal must be able to fail
// once.
const minLeaseTTL = 3 * time.Second

// lostHeartbeatTime is what a lost heartbeat costs: it is given up after 4 s, and the next goes
// to another controller a second later, which names the owner.
const lostHeartbeatTime = 7 * time.Second

// What workers need to find a new owner, see FailoverTime.
const (
	unansweredTime = 5500 * time.Millisecond // a heartbeat without answer, and another try
	claimTime      = time.Second             // from the free shard to its new owner's first answer
)

// latestHeartbeat is the longest time between two heartbeats: they come a quarter late at most.
func latestHeartbeat(interval time.Duration) time.Duration { return interval * 5 / 4 }

// Effective is what the operators' settings come to with these workers' times.
func (t Tuning) Effective(heartbeat, lease time.Duration) Tuning {
	t.LeaseTTL = min(t.LeaseTTL, max(time.Duration(leaseTTLShare*float64(lease)), minLeaseTTL))
	t.ReturnSilentAfter = max(t.ReturnSilentAfter, latestHeartbeat(heartbeat)+lostHeartbeatTime)
	return t
}

// FailoverTime is how long workers are without an answer at least when their controller ends
// just before a late heartbeat of theirs: they must give that one up and try another
// controller, and one must have claimed the shard once the controller's lease has expired. A
// worker that asks before that tries all controllers once more, the ended one among them, which
// takes a second each and 5 s. A worker's lease must be longer. The whole takeover delay is
// waited for only if the shard's home controller is heard.
func (t Tuning) FailoverTime(heartbeat, lease time.Duration, homeHeard bool) time.Duration {
	t = t.Effective(heartbeat, lease)
	delay := t.TakeoverDelay
	if !homeHeard {
		delay = min(delay, leadership.NoHomeDelay)
	}
	return latestHeartbeat(heartbeat) + max(unansweredTime, t.LeaseTTL+delay+claimTime)
}
