package main

import "math"

// site is a site file, as far as the bounds use it.
type site struct {
	Name     string  `toml:"name"`
	Duration float64 `toml:"duration_s"`
	Warmup   float64 `toml:"warmup_s"` // what comes before does not count
	State    struct {
		Writes float64 `toml:"write_rps"`
	} `toml:"state"`
	Types    []machineType `toml:"machine_types"`
	Capacity []struct {
		Type  string  `toml:"type"`
		Count float64 `toml:"count"`
		Spot  float64 `toml:"spot"`
	} `toml:"capacity"`
	Jobs    []job    `toml:"jobs"`
	Targets []target `toml:"targets"`
	Days    []day    `toml:"day"`
}

type machineType struct {
	Name   string  `toml:"name"`
	CPUs   float64 `toml:"cpus"`
	GPUs   float64 `toml:"gpus"`
	Memory float64 `toml:"memory_gb"`
	Price  float64 `toml:"price"`
	Spot   float64 `toml:"spot_price"`
	Cache  float64 `toml:"cache_gb"`
	Fetch  float64 `toml:"fetch_gb_per_s"`
	Boot   float64 `toml:"boot_s"`
}

// job is a class of jobs.
type job struct {
	Name     string  `toml:"name"`
	Kind     string  `toml:"kind"`
	CPUs     float64 `toml:"cpus"`
	GPUs     float64 `toml:"gpus"`
	Memory   float64 `toml:"memory_gb"`
	Spot     bool    `toml:"spot"`
	Tasks    spread  `toml:"tasks"`
	Run      spread  `toml:"run_s"` // of a service: until it is cancelled
	Initial  float64 `toml:"initial"`
	Arrivals struct {
		Rate float64 `toml:"rate"`
	} `toml:"arrivals"`
	Images struct {
		Count float64 `toml:"count"`
		GB    spread  `toml:"gb"`
	} `toml:"images"`
	Error    float64 `toml:"estimate_error"`
	Deadline struct {
		Factor float64 `toml:"factor"`
		Plus   float64 `toml:"plus_s"`
	} `toml:"deadline"`
}

// target is a service-level objective. Best is the share missed at best, as the site file
// states it.
type target struct {
	Kind   string  `toml:"kind"`
	Class  string  `toml:"class"`
	Within float64 `toml:"within_s"`
	After  float64 `toml:"after_s"`
	Worst  float64 `toml:"worst_s"`
	Times  float64 `toml:"times"`
	Share  float64 `toml:"share"`
	Most   float64 `toml:"most"`
	Best   float64 `toml:"best"`
}

type day struct {
	Name   string `toml:"name"`
	Faults []struct {
		At   float64 `toml:"at_s"`
		Kind string  `toml:"kind"`
		For  float64 `toml:"for_s"`
	} `toml:"faults"`
}

func (j *job) service() bool { return j.Kind == "service" }

// hasServicesOrGPUs says whether any class is a service or needs GPUs.
func (s *site) hasServicesOrGPUs() bool {
	for i := range s.Jobs {
		if s.Jobs[i].service() || s.Jobs[i].GPUs > 0 {
			return true
		}
	}
	return false
}

// class finds a class by name; an empty one if there is none.
func (s *site) class(name string) *job {
	for i := range s.Jobs {
		if s.Jobs[i].Name == name {
			return &s.Jobs[i]
		}
	}
	return &job{}
}

// minCapacity stands for a capacity of zero, so that a task that needs it does not fit.
const minCapacity = 1e-9

// share is the share of a machine that a task takes, and which resource decides it. Above 1
// the task does not fit.
func (t *machineType) share(j *job) (share float64, binds string) {
	for _, r := range []struct {
		name           string
		need, capacity float64
	}{
		{"cards", j.GPUs, t.GPUs},
		{"cores", j.CPUs, t.CPUs},
		{"memory", j.Memory, t.Memory},
	} {
		if r.need == 0 {
			continue
		}
		if x := r.need / math.Max(r.capacity, minCapacity); x > share {
			share, binds = x, r.name
		}
	}
	return share, binds
}

// cheapest is the least price of the type for a class: the spot price, if the class may use
// spot instances.
func (t *machineType) cheapest(j *job) float64 {
	if j.Spot && t.Spot > 0 {
		return math.Min(t.Spot, t.Price)
	}
	return t.Price
}

// cheapestType is the type on which a task of a class costs least; nil if it fits none.
func (s *site) cheapestType(j *job) *machineType {
	var best *machineType
	least := math.Inf(1)
	for i := range s.Types {
		t := &s.Types[i]
		share, _ := t.share(j)
		if cost := share * t.cheapest(j); share <= 1 && cost < least {
			best, least = t, cost
		}
	}
	return best
}
