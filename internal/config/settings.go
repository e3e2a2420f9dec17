// Package config reads the platform's settings (JSON) and the operators' settings (INI).
//
// Settings that cannot work are refused with an error that names the field, on one line.
// Settings that work poorly give warnings. Fields of the platform's file that this version
// does not know are ignored; unknown keys of the operators' file are errors.
package config

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Settings is the platform's file. Its type names occur in error texts of encoding/json.
type Settings struct {
	Label      string     `json:"label"`
	Location   string     `json:"location"`
	APIAddr    string     `json:"api_addr"`
	PeerListen string     `json:"peer_listen"`
	Others     []Other    `json:"others"`
	External   External   `json:"external"`
	Deployment Deployment `json:"deployment"`
}

// Other is another controller of the deployment.
type Other struct {
	Label    string `json:"label"`
	Location string `json:"location"`
	PeerAddr string `json:"peer_addr"`
}

// External names the services outside the controllers.
type External struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment is what all controllers of a deployment share.
type Deployment struct {
	Zones             []string    `json:"zones"`
	Teams             []Team      `json:"teams"`
	Objectives        []Objective `json:"objectives"`
	Workers           Workers     `json:"workers"`
	State             State       `json:"state"`
	Cloud             Cloud       `json:"cloud"`
	Resources         Resources   `json:"resources"`
	ClockOffsetMillis float64     `json:"clock_off_ms"`
}

// Team is a team's guarantee and limit. 0 means that there is none: a limit of 0 limits
// nothing.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Values of Objective.Kind that the scheduler takes into account.
const (
	ObjectiveFinished = "finished" // a job is finished within WithinSeconds
	ObjectiveDeadline = "deadline" // a job is finished within Times its deadline
	ObjectiveWait     = "wait"     // a job's tasks start within WithinSeconds
)

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind          string  `json:"kind"`
	Class         string  `json:"class"`
	WithinSeconds float64 `json:"within_s"`
	Times         float64 `json:"times"`
	Share         float64 `json:"share"`
}

// Workers holds the workers' timing.
type Workers struct {
	HeartbeatSeconds float64 `json:"report_s"`
	LeaseSeconds     float64 `json:"lease_s"`
	CancelSeconds    float64 `json:"cancel_s"`
}

// State holds the state service's limits.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// Cloud holds the cloud interface's limits.
type Cloud struct {
	RPS            float64 `json:"rps"`
	ListLagSeconds float64 `json:"list_lag_s"`
}

// Resources is what one controller may use.
type Resources struct {
	CoreShare float64 `json:"core_share"`
	MemoryMB  float64 `json:"memory_mb"`
	FDLimit   int     `json:"fd_limit"`
}

// Load reads and checks the platform's file. Its error names the field that is wrong.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse reads and checks the platform's settings. Its error names the field that is wrong: it
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

// Seconds is a number of seconds, which both files have, as a duration.
func Seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
