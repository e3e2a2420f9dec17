package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// Scenario describes a run of a simulation as a value: the cluster, the jobs that users submit and
// the faults that are injected. Running the same scenario always gives the same result. Times are
// in seconds from the start of the run. Scenarios are stored as JSON, whose field names differ from
// those in Go.
type Scenario struct {
	Seed    uint64          `json:"seed,omitempty"` // seed of the simulation's random generator
	Cluster ClusterConfig   `json:"world"`
	Jobs    []SubmittedJob  `json:"jobs"`
	Faults  []InjectedFault `json:"steps,omitempty"`
}

// ClusterConfig describes how a scenario's cluster differs from the defaults: DefaultConfig for the
// controllers, and the cloud's default machine types. A zero field means the default.
type ClusterConfig struct {
	Zones []string `json:"zones,omitempty"`
	// Controllers lists the zone of each controller. By default, each zone has one controller.
	Controllers  []string            `json:"controllers,omitempty"`
	Teams        []core.Team         `json:"teams,omitempty"`
	MachineTypes []model.MachineType `json:"types,omitempty"`
	// MachinesPerKind is how many machines the cloud has of each type and zone, spot and on-demand
	// machines counted apart.
	MachinesPerKind int `json:"room,omitempty"`
	// MaxValueBytes is the size of the largest value that the state service accepts.
	MaxValueBytes int `json:"value_bytes,omitempty"`
	// BootSecondsRange is the shortest and the longest boot time. By default, the boot time depends
	// on the machine type.
	BootSecondsRange [2]float64 `json:"boot,omitempty"`
	// WatchHistoryLimit is how many changes the state service keeps for watches. By default, it
	// keeps all.
	WatchHistoryLimit int `json:"keep,omitempty"`

	// KeepConnections makes the user of a job send all requests about it to one controller while its
	// process runs. By default, each request goes to a random controller.
	KeepConnections bool `json:"keep_connections,omitempty"`

	// NoiseSeconds is how long the following background faults last. A share is the fraction of
	// calls or machines that a fault affects.
	NoiseSeconds float64 `json:"noise,omitempty"`
	// LostReplyShare applies to transactions: the reply is lost, and the transaction is executed up
	// to 8 s later.
	LostReplyShare float64 `json:"lost,omitempty"`
	// TransactionSeconds is how long each transaction takes.
	TransactionSeconds float64 `json:"slow,omitempty"`
	// HeartbeatCopyShare applies to heartbeats: a copy arrives 1 s to 41 s later.
	HeartbeatCopyShare float64 `json:"copies,omitempty"`
	// RepeatedRequestShare applies to requests: the request is executed again up to 20 s later.
	RepeatedRequestShare float64 `json:"again,omitempty"`
	// LateRentalShare applies to rentals: the reply is lost, and the rental is executed 1 s to 21 s
	// later.
	LateRentalShare float64 `json:"late_hire,omitempty"`
	// FailedBootShare applies to machines: the machine never finishes booting. It has an effect
	// only if BootSecondsRange is set.
	FailedBootShare float64 `json:"never_up,omitempty"`
}

// SubmittedJob is a job that a user submits and may cancel.
type SubmittedJob struct {
	SubmitAtSeconds float64       `json:"at"`
	ID              string        `json:"id"`
	Spec            model.JobSpec `json:"spec"`
	// RunSeconds is the actual run time of each task; Spec holds the user's estimate.
	RunSeconds float64 `json:"run"`
	// CancelAfterSeconds is the time from the submission to the cancellation; 0 means that the job
	// is not cancelled.
	CancelAfterSeconds float64 `json:"cancel,omitempty"`
	// FailsEveryTask makes every attempt of the job's tasks fail.
	FailsEveryTask bool `json:"broken,omitempty"`
	// FailsFirstAttempt makes the job's first attempt in each shard fail.
	FailsFirstAttempt bool `json:"fails_first,omitempty"`
}

// InjectedFault is a fault with its time and its target. It is injected either at a time or, if
// Step is set, at a phase of an occurrence of that step.
type InjectedFault struct {
	AtSeconds float64 `json:"at,omitempty"`
	Step      Step    `json:"step,omitempty"`
	Phase     Phase   `json:"phase,omitempty"`
	// Occurrence is which occurrence of the step's phase is meant, counted from 1.
	Occurrence int `json:"n,omitempty"`
	// FaultName is the name of an element of Faults.
	FaultName string `json:"trouble"`
	// DelaySeconds is the time from the step event, or from AtSeconds, to the fault.
	DelaySeconds    float64 `json:"delay,omitempty"`
	DurationSeconds float64 `json:"for,omitempty"`
	// NodeName is a controller's name, or "other" for the controller after the step event's. By
	// default, the fault concerns the controller of the step event or, if there is none, the first
	// controller.
	NodeName string `json:"node,omitempty"`
	// MachineNumber is a position among the running machines, counted from 1. By default, the fault
	// concerns the machine of the step event or, if there is none, a machine with tasks.
	MachineNumber int `json:"machine,omitempty"`
}

// String returns the scenario as one line of JSON.
func (s Scenario) String() string {
	b, err := json.Marshal(s)
	if err != nil {
		return err.Error() // a number is infinite, which JSON cannot represent
	}
	return string(b)
}

// ReadScenario reads a scenario from JSON. It returns an error for one that can't be run: one that
// has unknown fields, faults, steps or phases, or jobs with an empty or repeated ID.
func ReadScenario(r io.Reader) (Scenario, error) {
	var s Scenario
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, fmt.Errorf("scenario: %w", err)
	}
	return s, s.validate()
}

// validate returns an error for the first job or fault of the scenario that is invalid.
func (s Scenario) validate() error {
	seen := map[string]bool{}
	for _, j := range s.Jobs {
		if j.ID == "" || seen[j.ID] {
			return fmt.Errorf("scenario: the ID of job %q is empty or used twice", j.ID)
		}
		seen[j.ID] = true
	}
	for i, f := range s.Faults {
		if _, ok := FaultByName(f.FaultName); !ok {
			return fmt.Errorf("scenario: steps[%d]: unknown trouble %q", i, f.FaultName)
		}
		if f.Step != "" && !f.hasValidStepEvent() {
			return fmt.Errorf("scenario: steps[%d]: no such step event: %s %q, occurrence %d", i, f.Phase, f.Step, f.Occurrence)
		}
	}
	return nil
}

// hasValidStepEvent reports whether the fault's step and phase exist and its occurrence is at least
// 1.
func (f InjectedFault) hasValidStepEvent() bool {
	return slices.Contains(Steps, f.Step) && slices.Contains(Phases, f.Phase) && f.Occurrence >= 1
}

// secondsToDuration converts a number of seconds to a duration.
func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
