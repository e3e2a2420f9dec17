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

// leaseTTLShare is the part of a worker's lease that a controller's may last at most.
// When a controller stands still or is cut off, its lease must run out, its part be
// claimed and its workers find the new owner before theirs have run out too; they
// first wait for an answer, then go through the others one by one. With 8 s of 14
// most workers' leases were lost to each controller that stood still.
const leaseTTLShare = 0.28

// minLeaseTTL is what it lasts in any case: a renewal must be able to go wrong once.
const minLeaseTTL = 3 * time.Second

// Reports come a quarter late at most. One that is lost is given up after 4 s; the next
// goes to another controller a second later, which names the owner.
const lostHeartbeatTime = 7 * time.Second

// Effective is what the operators' settings come to with these workers.
func (k Tuning) Effective(report, lease time.Duration) Tuning {
	k.LeaseTTL = min(k.LeaseTTL, max(time.Duration(leaseTTLShare*float64(lease)), minLeaseTTL))
	k.ReturnSilentAfter = max(k.ReturnSilentAfter, report*5/4+lostHeartbeatTime)
	return k
}

// FailoverTime is how long workers are without an answer at least when their controller
// ends just before a late report of theirs: they must give that report up and ask another,
// and one must have taken the part, once the controller's lease has run out. Whoever asks
// before that goes round all controllers once more, the ended one among them, which takes a
// second each and 5 s. A worker's lease must be longer. The whole grace is waited for if
// the part's home is heard.
func (k Tuning) FailoverTime(report, lease time.Duration, homeHeard bool) time.Duration {
	k = k.Effective(report, lease)
	grace := k.TakeoverDelay
	if !homeHeard {
		grace = min(grace, leadership.NoHomeDelay)
	}
	return report*5/4 + max(5500*time.Millisecond, k.LeaseTTL+grace+time.Second)
}
