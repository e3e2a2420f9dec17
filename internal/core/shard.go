package core

import (
	"time"

	"roadcleat/internal/leadership"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// Shard is the set of one zone's machines. For a shard that this controller owns it also holds the
// state of the machines and of the tasks on them.
type Shard struct {
	zone  int    // index of the zone
	name  string // name of the zone
	claim leadership.Claim

	// Loading of the shard's assignments from the state service by a new owner.
	load          *shardLoad // the load in progress, or nil
	loaded        bool       // the assignments have been loaded
	loadRevision  uint64     // revision at which the loaded assignments were listed
	loadedAt      time.Duration
	unloadedSince time.Duration // since when the assignments have not been loaded, if loaded is false
	startedEmpty  bool          // the shard had no assignments when it was loaded

	// Machines.
	hosts                 map[string]*Host         // by name
	hostsByName           []*Host                  // cache of the hosts sorted by name
	hostsWithCommands     []*Host                  // hosts that have commands to be sent
	returnedHosts         map[string]time.Duration // times of confirmed returns, by host name
	hostListRead          bool                     // the cloud's list of machines has been read since the claim
	lastContactAt         time.Duration            // when this controller last received a heartbeat of any of its workers
	heartbeatOutageLogged bool                     // a warning about receivesNoHeartbeats has been logged; a heartbeat resets it
	hostSlownessSum       float64                  // sum over the machines that are judged by their tasks' run times
	hostSlownessCount     int                      // number of machines in hostSlownessSum

	// Assignments and their records.
	assignments           map[string]*Assignment   // by job id
	teamUsage             []model.Resources        // cores and other resources in use, by team index
	unrecordedAssignments map[string]*Assignment   // assignments to be recorded, by job id
	exitRecordDeadlines   map[string]time.Duration // when task exits must be recorded at the latest, by job id
	completions           []*jobCompletion         // jobs of several shards that are to be marked done
	txnPending            bool                     // a transaction of the shard is pending
	// keysToReread are keys to be read again after a transaction on them had an unknown outcome
	// or was refused. The value is true while the read is pending.
	keysToReread   map[string]bool
	retryNotBefore time.Duration // no claim and no transaction is sent before then

	// Planning.
	needsPlan           bool                       // something has changed since the last plan
	nextPlanAt          time.Duration              // earliest time of the next plan, which limits the share of time spent on planning
	nextSweepAt         time.Duration              // when sweep runs next
	unplacedWork        []unplacedWork             // work that the newest plan could not place
	taskMovePending     bool                       // a transaction that moves tasks to another shard is pending
	nextTaskMoveAt      time.Duration              // no tasks are moved to other shards before then
	taskMoveRequests    map[string]taskMoveRequest // tasks to be moved to a shard that can rent spot instances, by job id
	recentDistributions []recentDistribution       // machines needed by jobs distributed within distributionVisibilityDelay

	// Scale out and in.
	nextSizingAt  time.Duration // when the fleet is next compared with its demand
	nextLoadLogAt time.Duration // when the shard's load is next logged
	// rentalSeq is the number of the last rental. It is kept when ownership is lost, since the
	// name of a rental must never be used again.
	rentalSeq          int
	rentals            []*rental                     // pending requests for machines
	outOfCapacityUntil map[MachineKind]time.Duration // the cloud has no capacity for the kind until then
	demandSamples      []demandSample                // past demand, without that of backfill
	firstDemandAt      time.Duration                 // when this owner recorded its first demand
	backfillReserve    backfillReserve               // capacity that is kept free of backfill
	backfillCapacity   []float64                     // capacity that backfill may use, by pool, computed at backfillCapacityAt
	backfillCapacityAt time.Duration

	// Views of the shard for other controllers and for the planner.
	view      *ShardView // from the owner's gossip, if another controller owns the shard
	viewAt    time.Duration
	devices   []device // the machines as the planner's input, computed at devicesAt
	devicesAt time.Duration
	backlog   []Backlog // waiting work of a shard owned here, computed at backlogAt
	backlogAt time.Duration
}

// newShard returns a shard without any observed state.
func newShard(zone int, name string) *Shard {
	return &Shard{
		zone:                  zone,
		name:                  name,
		hosts:                 map[string]*Host{},
		returnedHosts:         map[string]time.Duration{},
		assignments:           map[string]*Assignment{},
		unrecordedAssignments: map[string]*Assignment{},
		exitRecordDeadlines:   map[string]time.Duration{},
		outOfCapacityUntil:    map[MachineKind]time.Duration{},
		keysToReread:          map[string]bool{},
		taskMoveRequests:      map[string]taskMoveRequest{},
	}
}

// key is the shard's key in the state service.
func (s *Shard) key() string { return records.ShardKey(s.name) }

// ownerCondition is the condition that no other controller has claimed the shard since. Every
// transaction of the shard's owner contains it.
func (s *Shard) ownerCondition() Condition { return Condition{s.key(), s.claim.Revision()} }

// isOwnedInTerm reports whether this controller still owns the shard in the given leadership term.
// Results of calls that were sent in an earlier term are ignored.
func (s *Shard) isOwnedInTerm(term uint64) bool { return s.claim.Owned() && s.claim.Term() == term }

// isServedHere reports whether this controller owns the shard and has loaded its assignments.
func (s *Shard) isServedHere() bool { return s.claim.Owned() && s.loaded }

// isBusy reports whether the shard cannot start a transaction now.
func (s *Shard) isBusy() bool {
	return s.txnPending || s.claim.Pending() || s.claim.HandingOver() || len(s.keysToReread) > 0
}
