package main

import "math"

// site holds the fields of a site file that the bounds depend on. A site file describes a
// simulated cluster, its workload, its service-level objectives and its injected faults.
type site struct {
	Name            string  `toml:"name"`
	DurationSeconds float64 `toml:"duration_s"`
	WarmupSeconds   float64 `toml:"warmup_s"` // objectives ignore the time before
	State           struct {
		WritesPerSecond float64 `toml:"write_rps"`
	} `toml:"state"` // limits of the state service
	MachineTypes []machineType `toml:"machine_types"`
	Capacity     []struct {
		Type             string  `toml:"type"`
		OnDemandMachines float64 `toml:"count"`
		SpotMachines     float64 `toml:"spot"`
	} `toml:"capacity"` // how many machines of a type the cloud can rent out
	Classes    []jobClass  `toml:"jobs"`
	Objectives []objective `toml:"targets"`
	Days       []day       `toml:"day"`
}

// machineType is a machine type of the cloud's catalog. Prices are per machine and hour.
type machineType struct {
	Name             string  `toml:"name"`
	Cores            float64 `toml:"cpus"`
	GPUs             float64 `toml:"gpus"`
	MemoryGB         float64 `toml:"memory_gb"`
	OnDemandPrice    float64 `toml:"price"`
	SpotPrice        float64 `toml:"spot_price"`
	CacheGB          float64 `toml:"cache_gb"`       // size of the image cache
	FetchGBPerSecond float64 `toml:"fetch_gb_per_s"` // shared by concurrent fetches
	BootSeconds      float64 `toml:"boot_s"`
}

// jobClass is a class of jobs with the same resource needs, distributions and image set.
// Cores, GPUs and MemoryGB are needed by each task.
type jobClass struct {
	Name        string       `toml:"name"`
	Kind        string       `toml:"kind"` // "service" for services
	Cores       float64      `toml:"cpus"`
	GPUs        float64      `toml:"gpus"`
	MemoryGB    float64      `toml:"memory_gb"`
	AllowsSpot  bool         `toml:"spot"`    // whether its tasks may run on spot instances
	TaskCount   distribution `toml:"tasks"`   // tasks of one job; replicas of a service
	RunSeconds  distribution `toml:"run_s"`   // run time of a task; of a service, the time until it is cancelled
	InitialJobs float64      `toml:"initial"` // jobs that exist at the start of the day
	Arrivals    struct {
		JobsPerSecond float64 `toml:"rate"`
	} `toml:"arrivals"`
	Images struct {
		Count  float64      `toml:"count"`
		SizeGB distribution `toml:"gb"`
	} `toml:"images"`
	// EstimateError is the standard deviation of the logarithm of the ratio between the
	// submitter's estimate of the run time and the actual run time.
	EstimateError float64 `toml:"estimate_error"`
	// Deadline gives the deadline: Factor times the estimated run time plus PlusSeconds.
	Deadline struct {
		Factor      float64 `toml:"factor"`
		PlusSeconds float64 `toml:"plus_s"`
	} `toml:"deadline"`
}

// objective is a service-level objective. Which of the other fields apply depends on Kind:
//   - up: the share of wanted replica time that replicas are up,
//   - wait and guarantee: the share of tasks that start within a time limit,
//   - deadline: the share of jobs that end by their deadline,
//   - useful: the share of rented machine time that runs tasks,
//   - price: the cost relative to the minimum cost of the useful machine time.
//
// Other kinds have no bound and are not reported.
type objective struct {
	Kind  string `toml:"kind"`
	Class string `toml:"class"` // job class that the objective applies to; empty for all classes
	// WithinSeconds is the time limit from a task's submission to its start.
	WithinSeconds float64 `toml:"within_s"`
	// AfterSeconds is the time after a service's submission from which its replicas must be up.
	AfterSeconds float64 `toml:"after_s"`
	// WorstWindowSeconds is the length of the windows of which the worst must meet the
	// objective; 0 applies the objective to the whole day after the warmup.
	WorstWindowSeconds float64 `toml:"worst_s"`
	// DeadlineMultiple is the multiple of the deadline by which a job must end; 0 means 1.
	DeadlineMultiple float64 `toml:"times"`
	MinShare         float64 `toml:"share"` // smallest share that meets the objective
	// MaxPriceRatio is the largest price ratio that meets an objective of kind price.
	MaxPriceRatio float64 `toml:"most"`
	// StatedBest is the best reachable value according to the site file: the price ratio for
	// kind price, otherwise the share that misses the objective. 0 means not stated.
	StatedBest float64 `toml:"best"`
}

// day is one simulated day of the site with its injected faults.
type day struct {
	Name   string `toml:"name"`
	Faults []struct {
		AtSeconds       float64 `toml:"at_s"`
		Kind            string  `toml:"kind"`
		DurationSeconds float64 `toml:"for_s"`
	} `toml:"faults"`
}

// isService reports whether the jobs of the class are services.
func (c *jobClass) isService() bool { return c.Kind == "service" }

// hasServicesOrGPUs reports whether any job class is a service or needs GPUs.
func (s *site) hasServicesOrGPUs() bool {
	for i := range s.Classes {
		if s.Classes[i].isService() || s.Classes[i].GPUs > 0 {
			return true
		}
	}
	return false
}

// classByName returns the job class of a name, or an empty class if there is none.
func (s *site) classByName(name string) *jobClass {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return &jobClass{}
}

// minCapacity replaces a capacity of zero as a divisor. The share of a task that needs the
// resource then exceeds 1, so that the task does not fit.
const minCapacity = 1e-9

// occupiedShare returns the share of a machine that a task of the class occupies, and the
// resource that determines it: the one with the largest ratio of need to capacity. A share
// above 1 means that the task does not fit.
func (m *machineType) occupiedShare(class *jobClass) (share float64, limitedBy string) {
	for _, resource := range []struct {
		name           string
		need, capacity float64
	}{
		{"GPUs", class.GPUs, m.GPUs},
		{"cores", class.Cores, m.Cores},
		{"memory", class.MemoryGB, m.MemoryGB},
	} {
		if resource.need == 0 {
			continue
		}
		if ratio := resource.need / math.Max(resource.capacity, minCapacity); ratio > share {
			share, limitedBy = ratio, resource.name
		}
	}
	return share, limitedBy
}

// lowestPrice returns the lowest price at which a class can rent the machine type: the lower
// of the spot and the on-demand price if the class may use spot instances, otherwise the
// on-demand price.
func (m *machineType) lowestPrice(class *jobClass) float64 {
	if class.AllowsSpot && m.SpotPrice > 0 {
		return math.Min(m.SpotPrice, m.OnDemandPrice)
	}
	return m.OnDemandPrice
}

// cheapestType returns the machine type on which a task of the class costs least, or nil if
// the task fits on none.
func (s *site) cheapestType(class *jobClass) *machineType {
	var cheapest *machineType
	lowestCost := math.Inf(1)
	for i := range s.MachineTypes {
		machine := &s.MachineTypes[i]
		share, _ := machine.occupiedShare(class)
		if cost := share * machine.lowestPrice(class); share <= 1 && cost < lowestCost {
			cheapest, lowestCost = machine, cost
		}
	}
	return cheapest
}
