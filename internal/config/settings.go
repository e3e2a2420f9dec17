// Package config reads the platform's settings (JSON) and the operators' settings (INI).
//
// Settings with which a controller cannot run are rejected with a one-line error that names the
// field. Settings with which it runs badly produce warnings. Fields of the platform's file that
// this version does not know are ignored; unknown sections and keys of the operators' file are
// errors.
package config

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Settings is the content of the platform's settings file of one controller. The names of this
// type and of the types of its fields appear in error messages of encoding/json.
type Settings struct {
	Label          string     `json:"label"`       // unique name of this controller
	Zone           string     `json:"location"`    // zone of this controller
	APIAddr        string     `json:"api_addr"`    // HOST:PORT on which users and workers are served
	PeerListenAddr string     `json:"peer_listen"` // HOST:PORT on which gossip of the peers is received
	Peers          []Other    `json:"others"`      // the other controllers of the deployment
	External       External   `json:"external"`
	Deployment     Deployment `json:"deployment"`
}

// Other is another controller of the deployment, a peer of this one.
type Other struct {
	Label    string `json:"label"`     // unique name of the controller
	Zone     string `json:"location"`  // zone of the controller
	PeerAddr string `json:"peer_addr"` // HOST:PORT to which gossip is sent
}

// External holds the addresses, as HOST:PORT, of the services that the controllers call.
type External struct {
	CloudAddr        string `json:"cloud"`
	StateServiceAddr string `json:"state"`
}

// Deployment holds the settings that are the same for all controllers of a deployment.
type Deployment struct {
	Zones             []string    `json:"zones"`
	Teams             []Team      `json:"teams"`
	Objectives        []Objective `json:"objectives"`
	Workers           Workers     `json:"workers"`
	StateService      State       `json:"state"`
	Cloud             Cloud       `json:"cloud"`
	Resources         Resources   `json:"resources"`
	ClockOffsetMillis float64     `json:"clock_off_ms"` // checked, but not used by the scheduler
}

// Team holds a team's guarantees and limits in cores and GPUs. A guarantee of 0 guarantees
// nothing, and a limit of 0 means unlimited.
type Team struct {
	Name            string  `json:"name"`
	GuaranteedCores float64 `json:"cpus"`
	MaxCores        float64 `json:"cpus_max"`
	GuaranteedGPUs  float64 `json:"gpus"`
	MaxGPUs         float64 `json:"gpus_max"`
}

// Values of Objective.Kind that the scheduler uses. Objectives of other kinds are ignored.
const (
	ObjectiveFinished = "finished" // a job finishes within WithinSeconds
	ObjectiveDeadline = "deadline" // a job finishes within its deadline multiplied by DeadlineFactor
	ObjectiveWait     = "wait"     // a job's tasks start within WithinSeconds
)

// Objective is a service-level objective (SLO) of a class of jobs.
type Objective struct {
	Kind           string  `json:"kind"`     // one of the constants above, or a kind that is ignored
	Class          string  `json:"class"`    // class of the jobs that the objective applies to
	WithinSeconds  float64 `json:"within_s"` // time limit of ObjectiveFinished and ObjectiveWait
	DeadlineFactor float64 `json:"times"`    // factor of ObjectiveDeadline, applied to a job's deadline
	Share          float64 `json:"share"`    // required share of the jobs; not used by the scheduler
}

// Workers holds the time limits of the workers.
type Workers struct {
	HeartbeatSeconds float64 `json:"report_s"` // interval between a worker's heartbeats
	LeaseSeconds     float64 `json:"lease_s"`  // time after the last reply at which a worker stops its tasks
	CancelSeconds    float64 `json:"cancel_s"` // time within which a cancelled job must have stopped
}

// State holds the limits of the state service. The rates are those of all controllers together.
type State struct {
	RequestsPerSecond float64 `json:"rps"`
	WritesPerSecond   float64 `json:"write_rps"` // mutations in transactions per second
	MaxValueKB        float64 `json:"value_kb"`  // maximum size of a value in KiB
	MaxTxnMutations   int     `json:"txn_ops"`   // maximum number of mutations in a transaction
}

// Cloud holds the limits of the cloud's API. The rate is that of all controllers together.
type Cloud struct {
	RequestsPerSecond float64 `json:"rps"`
	ListLagSeconds    float64 `json:"list_lag_s"` // maximum delay until a change appears in the cloud's list of machines
}

// Resources holds the resources that one controller may use. 0 means unknown.
type Resources struct {
	Cores              float64 `json:"core_share"` // processor cores, usually a fraction of one
	MemoryMB           float64 `json:"memory_mb"`
	MaxFileDescriptors int     `json:"fd_limit"` // open file descriptors
}

// Load reads and checks the platform's settings file. See Parse for its errors.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and checks the platform's settings. Its error names the rejected field: it
// wraps a FieldError or an error of encoding/json.
func Parse(data []byte) (*Settings, error) {
	s := new(Settings)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// Seconds converts a number of seconds, the unit of times in both files, to a duration.
func Seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
