package core

// This file defines the reasons why tasks do not run. They are shown in status and metrics and sent
// in gossip.

// Reason is the reason why tasks do not run. Gossip encodes it as a number, so new reasons are
// appended at the end.
type Reason int

// Reasons. The table reasonTexts contains what operators are shown for each.
const (
	ReasonNone                    Reason = iota // no tasks are missing
	ReasonOther                                 // a number that only a newer version defines
	ReasonStateServiceUnreachable               // the state service is unreachable, so no placement can become durable
	ReasonCancellationViewStale                 // the view of cancellations is too old to start tasks (invariant ran_cancelled)
	ReasonShardHandover                         // the shard is being handed over to another controller
	ReasonOutcomeUnknown                        // the outcome of a transaction is unknown and is being read
	ReasonSuspectJob                            // the job is suspect; one task at a time is tried
	ReasonTeamGrantsUnknown                     // the team's grants have not been read
	ReasonTeamAtLimit                           // the team's limit is used up
	ReasonLaunchRefused                         // a task failed or its launch was refused; the job's starts are paused
	ReasonGangStopping                          // tasks of the gang's previous start are still on machines
	ReasonNoBackfillCapacity                    // the job is backfill, and the only free capacity is reserved for other work
	ReasonRecordFull                            // the assignment's record can list no more placed tasks
	ReasonBooting                               // no free capacity; a machine is booting
	ReasonRenting                               // no free capacity; machines are being rented
	ReasonNoCapacity                            // no free capacity; the cloud has none either
	ReasonHostsFull                             // no free capacity on the machines
	ReasonImageFetch                            // the image is being fetched
	ReasonLaunching                             // placed, but not reported running yet
	ReasonNoHeartbeats                          // no worker of the shard sends heartbeats
	ReasonShardUnowned                          // the shard has no owner
	ReasonOwnerSilent                           // no recent gossip of the shard's owner
	ReasonShardLoading                          // the shard's new owner is loading its records
	ReasonTeamUnknown                           // the settings contain no such team
)

// reasonTexts contains the name of each reason in JSON and metrics, and its text in tables. Both
// are part of the interface for operators and must not change.
var reasonTexts = [...]struct{ name, text string }{
	ReasonNone:                    {"none", "nothing waits"},
	ReasonOther:                   {"other", "a reason that only a newer version knows"},
	ReasonStateServiceUnreachable: {"store_away", "the state service is out of reach"},
	ReasonCancellationViewStale:   {"view_stale", "withdrawals may not be heard in time: the view of the jobs is stale"},
	ReasonShardHandover:           {"part_yielding", "the part is being handed over"},
	ReasonOutcomeUnknown:          {"outcome_unknown", "a transaction's outcome is being looked up"},
	ReasonSuspectJob:              {"in_doubt", "its tasks fail on every machine"},
	ReasonTeamGrantsUnknown:       {"limit_unknown", "the team's grants are not known yet"},
	ReasonTeamAtLimit:             {"at_limit", "the team's limit is used up"},
	ReasonLaunchRefused:           {"launch_refused", "its last start was refused a moment ago"},
	ReasonGangStopping:            {"gang_leaving", "the gang's last try is still on its machines"},
	ReasonNoBackfillCapacity:      {"held_back", "it only fills room, and none is left over by others"},
	ReasonRecordFull:              {"record_full", "as many of its tasks are placed as its record can list"},
	ReasonBooting:                 {"booting", "no room; machines are booting"},
	ReasonRenting:                 {"hiring", "no room; machines are being asked for"},
	ReasonNoCapacity:              {"no_capacity", "no room; the cloud has no machine to give"},
	ReasonHostsFull:               {"no_room", "no room on the machines there are"},
	ReasonImageFetch:              {"image_fetch", "its image is being fetched"},
	ReasonLaunching:               {"launching", "it is placed and not reported running yet"},
	ReasonNoHeartbeats:            {"part_dark", "none of the part's workers is heard"},
	ReasonShardUnowned:            {"part_unowned", "the part has no owner"},
	ReasonOwnerSilent:             {"part_unheard", "the part's owner has not been heard of lately"},
	ReasonShardLoading:            {"part_loading", "the part's new owner is loading it"},
	ReasonTeamUnknown:             {"team_unknown", "the settings do not name its team"},
}

// orOther returns the reason, or ReasonOther for a number that only a newer version defines.
func (r Reason) orOther() Reason {
	if r < 0 || int(r) >= len(reasonTexts) {
		return ReasonOther
	}
	return r
}

// String returns the reason's text in tables.
func (r Reason) String() string { return reasonTexts[r.orOther()].text }

// Name returns the reason's name in JSON and metrics.
func (r Reason) Name() string { return reasonTexts[r.orOther()].name }

// MarshalText implements encoding.TextMarshaler. It returns the reason's name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.Name()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name is decoded as ReasonOther.
func (r *Reason) UnmarshalText(name []byte) error {
	*r = ReasonOther
	for i := range reasonTexts {
		if reasonTexts[i].name == string(name) {
			*r = Reason(i)
		}
	}
	return nil
}
