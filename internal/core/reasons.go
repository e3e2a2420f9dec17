package core

// Reasons why tasks do not run, as operators, metrics and gossip have them.

// Reason is why tasks do not run. Gossip carries it as a number, so new ones are added at the
// end.
type Reason int

// Reasons; the table reasons has what operators are shown.
const (
	ReasonNone Reason = iota
	ReasonOther
	ReasonStoreUnavailable
	ReasonViewStale
	ReasonShardHandover
	ReasonOutcomeUnknown
	ReasonSuspectJob
	ReasonLimitUnknown
	ReasonAtLimit
	ReasonLaunchRefused
	ReasonGangStopping
	ReasonHeldBack
	ReasonRecordFull
	ReasonBooting
	ReasonRenting
	ReasonNoCapacity
	ReasonNoRoom
	ReasonImageFetch
	ReasonLaunching
	ReasonShardSilent
	ReasonShardUnowned
	ReasonOwnerSilent
	ReasonShardLoading
	ReasonTeamUnknown
)

// reasons gives each reason's name in JSON and metrics, and its text in tables. Both are part of
// the interface for operators and stay as they are.
var reasons = [...]struct{ name, text string }{
	ReasonNone:             {"none", "nothing waits"},
	ReasonOther:            {"other", "a reason that only a newer version knows"},
	ReasonStoreUnavailable: {"store_away", "the state service is out of reach"},
	ReasonViewStale:        {"view_stale", "withdrawals may not be heard in time: the view of the jobs is stale"},
	ReasonShardHandover:    {"part_yielding", "the part is being handed over"},
	ReasonOutcomeUnknown:   {"outcome_unknown", "a transaction's outcome is being looked up"},
	ReasonSuspectJob:       {"in_doubt", "its tasks fail on every machine"},
	ReasonLimitUnknown:     {"limit_unknown", "the team's grants are not known yet"},
	ReasonAtLimit:          {"at_limit", "the team's limit is used up"},
	ReasonLaunchRefused:    {"launch_refused", "its last start was refused a moment ago"},
	ReasonGangStopping:     {"gang_leaving", "the gang's last try is still on its machines"},
	ReasonHeldBack:         {"held_back", "it only fills room, and none is left over by others"},
	ReasonRecordFull:       {"record_full", "as many of its tasks are placed as its record can list"},
	ReasonBooting:          {"booting", "no room; machines are booting"},
	ReasonRenting:          {"hiring", "no room; machines are being asked for"},
	ReasonNoCapacity:       {"no_capacity", "no room; the cloud has no machine to give"},
	ReasonNoRoom:           {"no_room", "no room on the machines there are"},
	ReasonImageFetch:       {"image_fetch", "its image is being fetched"},
	ReasonLaunching:        {"launching", "it is placed and not reported running yet"},
	ReasonShardSilent:      {"part_dark", "none of the part's workers is heard"},
	ReasonShardUnowned:     {"part_unowned", "the part has no owner"},
	ReasonOwnerSilent:      {"part_unheard", "the part's owner has not been heard of lately"},
	ReasonShardLoading:     {"part_loading", "the part's new owner is loading it"},
	ReasonTeamUnknown:      {"team_unknown", "the settings do not name its team"},
}

// known is the reason, or ReasonOther for one that only a newer version knows.
func (r Reason) known() Reason {
	if r < 0 || int(r) >= len(reasons) {
		return ReasonOther
	}
	return r
}

// String is the reason's text in tables.
func (r Reason) String() string { return reasons[r.known()].text }

// Name is the reason's name in JSON and metrics.
func (r Reason) Name() string { return reasons[r.known()].name }

// MarshalText implements encoding.TextMarshaler by the name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.Name()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. A name that is not known gives
// ReasonOther.
func (r *Reason) UnmarshalText(name []byte) error {
	*r = ReasonOther
	for i := range reasons {
		if reasons[i].name == string(name) {
			*r = Reason(i)
		}
	}
	return nil
}
