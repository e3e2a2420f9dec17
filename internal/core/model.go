package core

// Resources is what a task takes of its machine.
type Resources struct {
	Cores    float64 `json:"c,omitempty"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m,omitempty"`
}

// JobSpec is a job as its user described it.
type JobSpec struct {
	ID                string    `json:"-"`
	Class             string    `json:"cl,omitempty"`
	Team              string    `json:"te"`
	Service           bool      `json:"sv,omitempty"`
	Gang              bool      `json:"ga,omitempty"` // tasks run together or not at all
	Priority          int       `json:"pr"`           // 0 is the most urgent
	Tasks             int       `json:"n"`
	Need              Resources `json:"a"`
	Types             []string  `json:"ty,omitempty"`
	Zone              string    `json:"z,omitempty"`
	OneZone           bool      `json:"oz,omitempty"`
	SpreadZones       bool      `json:"ap,omitempty"`
	Spot              bool      `json:"sp,omitempty"`
	Image             string    `json:"im,omitempty"`
	ImageGB           float64   `json:"gb,omitempty"`
	EstimateSeconds   float64   `json:"es,omitempty"`
	CheckpointSeconds float64   `json:"cp,omitempty"`
	SaveSeconds       float64   `json:"sa,omitempty"`
	DeadlineSeconds   float64   `json:"dl,omitempty"`
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
	Price            float64   `json:"Price"`
	SpotPrice        float64   `json:"SpotPrice"`
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

// Standings.
const (
	JobPending JobState = iota
	JobRunning
	JobDone
	JobCancelled
)

// JobStatus is the answer to a user.
type JobStatus struct {
	ID            string
	State         JobState
	Done, Running int
}
