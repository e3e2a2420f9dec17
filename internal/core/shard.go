package core

import (
	"time"

	"roadcleat/internal/leadership"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// Shard is one zone's machines and, where this controller owns them, all that it knows of
// them and of the work on them.
type Shard struct {
	zone  int
	name  string // of the zone
	claim leadership.Claim

	// Loading of what the state service holds, by a new owner.
	loading       bool
	loaded        bool
	loadedAt      time.Duration
	unloadedSince time.Duration // since when its assignments are not known, if not loaded
	startedEmpty  bool          // it had no assignments when it was loaded

	// Machines.
	hosts             map[string]*Host
	hostsByName       []*Host                  // the same in order
	hostsWithCommands []*Host                  // hosts with commands to send
	returnedHosts     map[string]time.Duration // machines whose return was confirmed
	hostsListed       bool                     // the cloud's list has been read since the claim
	lastHeartbeatAt   time.Duration            // when any of its workers was last heard here
	hadNoHeartbeats   bool
	slownessSum       float64 // of machines judged by their run times
	slownessCount     int

	// Work and its records.
	assignments map[string]*Assignment
	teamUsage   []model.Resources        // by team
	dirty       map[string]*Assignment   // to be recorded
	recordBy    map[string]time.Duration // assignments with exits to be recorded by then
	completions []*completion            // jobs of several shards to be set done
	txnPending  bool
	unknownKeys map[string]bool // keys to be read again; true: the read is under way
	retryAt     time.Duration   // no claim and no transaction before then

	// Planning.
	needsPlan     bool
	nextPlanAt    time.Duration // planning leaves time for the rest
	nextSweepAt   time.Duration
	unplaced      []unplacedWork // by the newest plan
	movePending   bool           // tasks are on their way to another shard
	nextMoveAt    time.Duration
	exports       map[string]taskExport // by job
	distributions []distribution        // from here, lately

	// Scale out and in.
	nextSizingAt   time.Duration
	nextLoadLogAt  time.Duration
	rentalSeq      int // survives the loss of ownership, since a rental's name is never used again
	rentals        []*rental
	exhaustedUntil map[MachineKind]time.Duration
	demandSamples  []demandSample // of work that is no backfill
	demandFrom     time.Duration  // when this ownership saw its first demand
	reserve        backfillReserve
	backfillRoom   []float64 // what backfill may take, by pool, as of backfillRoomAt
	backfillRoomAt time.Duration

	// What other controllers and the planner are shown of it.
	view      *ShardView // by the owner's gossip
	viewAt    time.Duration
	devices   []device // the view as the planner sees it
	devicesAt time.Duration
	backlog   []Backlog // of a shard owned here, as of backlogAt
	backlogAt time.Duration
}

func newShard(zone int, name string) *Shard {
	return &Shard{
		zone:           zone,
		name:           name,
		hosts:          map[string]*Host{},
		returnedHosts:  map[string]time.Duration{},
		assignments:    map[string]*Assignment{},
		dirty:          map[string]*Assignment{},
		recordBy:       map[string]time.Duration{},
		exhaustedUntil: map[MachineKind]time.Duration{},
		unknownKeys:    map[string]bool{},
		exports:        map[string]taskExport{},
	}
}

func (s *Shard) key() string { return records.ShardKey(s.name) }

// ownerCondition holds only while nobody has claimed the shard since: every transaction of
// its owner has it.
func (s *Shard) ownerCondition() Condition { return Condition{s.key(), s.claim.Revision()} }

// ownedIn reports whether this controller still owns the shard in the term given: answers to
// calls of an earlier term count for nothing.
func (s *Shard) ownedIn(term uint64) bool { return s.claim.Owned() && s.claim.Term() == term }

// ownedWith reports whether this controller still owns the shard with the token given.
func (s *Shard) ownedWith(token uint64) bool { return s.claim.Owned() && s.claim.Token() == token }

// servedHere reports whether this controller owns the shard and has loaded it.
func (s *Shard) servedHere() bool { return s.claim.Owned() && s.loaded }

// busy reports whether the shard cannot begin a transaction now.
func (s *Shard) busy() bool {
	return s.txnPending || s.claim.Pending() || s.claim.HandingOver() || len(s.unknownKeys) > 0
}
