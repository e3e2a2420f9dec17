// Package model holds the values that all packages share: jobs as their users describe
// them, tasks, resources and machine types. The JSON names of JobSpec, Resources and
// MachineType are those of values in the state service and may never change.
package model

// Resources is an amount of what a machine has and a task takes of it.
type Resources struct {
	Cores    float64 `json:"c,omitempty"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m,omitempty"`
}

// roundingError forgives the rounding of decimal amounts.
const roundingError = 1e-6

// Plus adds two amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		Cores:    r.Cores + other.Cores,
		GPUs:     r.GPUs + other.GPUs,
		MemoryGB: r.MemoryGB + other.MemoryGB,
	}
}

// Minus subtracts an amount.
func (r Resources) Minus(other Resources) Resources {
	return Resources{
		Cores:    r.Cores - other.Cores,
		GPUs:     r.GPUs - other.GPUs,
		MemoryGB: r.MemoryGB - other.MemoryGB,
	}
}

// FitsIn reports whether the amount fits into what is free.
func (r Resources) FitsIn(free Resources) bool {
	return r.Cores <= free.Cores+roundingError && r.GPUs <= free.GPUs+roundingError && r.MemoryGB <= free.MemoryGB+roundingError
}

// JobSpec is a job as its user described it.
type JobSpec struct {
	ID                string    `json:"-"`
	Class             string    `json:"cl,omitempty"`
	Team              string    `json:"te"`
	Service           bool      `json:"sv,omitempty"` // its tasks are replicas that run until it is cancelled
	Gang              bool      `json:"ga,omitempty"` // tasks run together or not at all
	Priority          int       `json:"pr"`           // 0 is the most urgent
	Tasks             int       `json:"n"`
	Need              Resources `json:"a"`            // of each task
	Types             []string  `json:"ty,omitempty"` // allowed machine types, none for any
	Zone              string    `json:"z,omitempty"`  // the only allowed zone, empty for any
	OneZone           bool      `json:"oz,omitempty"` // all tasks in the same zone
	SpreadZones       bool      `json:"ap,omitempty"` // at most half of the tasks, rounded up, in one zone
	Spot              bool      `json:"sp,omitempty"` // may use spot machines
	Image             string    `json:"im,omitempty"`
	ImageGB           float64   `json:"gb,omitempty"`
	EstimateSeconds   float64   `json:"es,omitempty"` // run time of a task, by its owner's estimate
	CheckpointSeconds float64   `json:"cp,omitempty"` // between checkpoints; 0: tasks save nothing
	SaveSeconds       float64   `json:"sa,omitempty"` // that a task needs to save when it is stopped
	DeadlineSeconds   float64   `json:"dl,omitempty"` // from the submission; 0: none
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// MachineType is one row of the cloud's catalogue.
type MachineType struct {
	Name             string    `json:"Name"`
	Capacity         Resources `json:"Total"`
	CacheGB          float64   `json:"CacheGB"`
	FetchGBPerSecond float64   `json:"GBPerS"`
	Price            float64   `json:"Price"`     // an hour
	SpotPrice        float64   `json:"SpotPrice"` // an hour, nominal
	BootSeconds      float64   `json:"BootS"`
	Zones            []string  `json:"Zones"`
}

// ListedHost is a machine in the cloud's list.
type ListedHost struct {
	Name, Address, Type, Zone string
	Spot                      bool
	State                     string // booting, running or failed
	RentedSeconds             float64
}

// JobState is a job's state as users see it.
type JobState int

// States of a job.
const (
	JobPending JobState = iota // no task is running
	JobRunning
	JobDone
	JobCancelled
)

// String names the state for logs and tests.
func (s JobState) String() string {
	switch s {
	case JobPending:
		return "pending"
	case JobRunning:
		return "running"
	case JobDone:
		return "done"
	case JobCancelled:
		return "cancelled"
	}
	return "unknown"
}

// JobStatus is the answer to a user's query.
type JobStatus struct {
	ID            string
	State         JobState
	Done, Running int // tasks, for display
}
