// Package model defines the values that all packages share: jobs as their users specify them,
// tasks, resources, machine types and the machines that the cloud lists. The JSON names of JobSpec,
// Resources and MachineType are stored in the state service and must never change.
package model

// Resources is an amount of cores, GPUs and memory: the capacity of a machine, or what a task
// reserves of it.
type Resources struct {
	Cores    float64 `json:"c,omitempty"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m,omitempty"`
}

// roundingTolerance is the excess that FitsIn accepts in each resource, since sums of decimal
// amounts have rounding errors.
const roundingTolerance = 1e-6

// Plus returns the sum of two amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		Cores:    r.Cores + other.Cores,
		GPUs:     r.GPUs + other.GPUs,
		MemoryGB: r.MemoryGB + other.MemoryGB,
	}
}

// Minus returns the amount reduced by another.
func (r Resources) Minus(other Resources) Resources {
	return Resources{
		Cores:    r.Cores - other.Cores,
		GPUs:     r.GPUs - other.GPUs,
		MemoryGB: r.MemoryGB - other.MemoryGB,
	}
}

// FitsIn reports whether the amount fits into the free resources.
func (r Resources) FitsIn(free Resources) bool {
	return r.Cores <= free.Cores+roundingTolerance && r.GPUs <= free.GPUs+roundingTolerance && r.MemoryGB <= free.MemoryGB+roundingTolerance
}

// JobSpec is a job as its user specified it.
type JobSpec struct {
	ID                        string    `json:"-"`            // taken from the key of the job's record
	Class                     string    `json:"cl,omitempty"` // kind of work; objectives and corrections of estimates are set per class
	Team                      string    `json:"te"`           // whose quota the tasks use
	Service                   bool      `json:"sv,omitempty"` // the tasks are replicas that run until the job is cancelled
	Gang                      bool      `json:"ga,omitempty"` // the tasks run together or not at all
	Priority                  int       `json:"pr"`           // 0 is the most urgent
	Tasks                     int       `json:"n"`            // number of tasks
	TaskResources             Resources `json:"a"`            // resources of each task
	Types                     []string  `json:"ty,omitempty"` // allowed machine types; empty: any
	Zone                      string    `json:"z,omitempty"`  // the only allowed zone; empty: any
	OneZone                   bool      `json:"oz,omitempty"` // all tasks must run in the same zone
	SpreadZones               bool      `json:"ap,omitempty"` // at most half of the tasks, rounded up, may run in one zone
	Spot                      bool      `json:"sp,omitempty"` // may run on spot instances
	Image                     string    `json:"im,omitempty"` // name of the image that a machine fetches before a task starts; empty: none
	ImageGB                   float64   `json:"gb,omitempty"` // size of the image
	EstimatedRunSeconds       float64   `json:"es,omitempty"` // the user's estimate of a task's run time
	CheckpointIntervalSeconds float64   `json:"cp,omitempty"` // interval between checkpoints; 0: tasks save no checkpoints
	SaveSeconds               float64   `json:"sa,omitempty"` // time that a task needs to save a checkpoint when it is stopped
	DeadlineSeconds           float64   `json:"dl,omitempty"` // deadline, counted from the submission; 0: none
}

// TaskID identifies one task of a job by its index in the job array.
type TaskID struct {
	Job   string
	Index int
}

// MachineType is a machine type in the cloud's catalog.
type MachineType struct {
	Name             string    `json:"Name"`
	Capacity         Resources `json:"Total"`     // resources of a machine
	CacheGB          float64   `json:"CacheGB"`   // size of the image cache
	FetchGBPerSecond float64   `json:"GBPerS"`    // rate of image fetches
	PricePerHour     float64   `json:"Price"`     // of an on-demand machine, per hour
	SpotPricePerHour float64   `json:"SpotPrice"` // nominal, of a spot instance, per hour
	BootSeconds      float64   `json:"BootS"`     // expected boot time
	Zones            []string  `json:"Zones"`     // where the type is offered
}

// ListedHost is a machine in the cloud's list of rented machines.
type ListedHost struct {
	Name, Address, Type, Zone string
	Spot                      bool
	State                     string  // booting, running or failed
	RentedSeconds             float64 // time since it was rented
}

// JobState is a job's state as shown to users.
type JobState int

// States of a job.
const (
	JobPending   JobState = iota // unfinished; shown to users while no task is running
	JobRunning                   // unfinished, and a task is running
	JobDone                      // all tasks have completed
	JobCancelled                 // cancelled by its user
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

// JobStatus is the reply to a user's query of a job.
type JobStatus struct {
	ID            string
	State         JobState
	Done, Running int // numbers of tasks, for display only
}
