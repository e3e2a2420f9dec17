package core

import (
	"math/bits"
	"slices"
	"time"

	"roadcleat/internal/plan"
)

// What the choice of a machine costs other jobs, in seconds of the placed task's time.
const (
	onDemandCost  = 3.0 // an on-demand machine, which is dearer than a spot machine
	contestedCost = 6.0 // a machine of a type that another class of jobs depends on
	emptyHostCost = 0.5 // a machine without tasks, which could be returned
)

// classRememberedFor is how long after its newest job a class counts among those that use a
// machine type.
const classRememberedFor = 5 * time.Minute

// maxMachineTypes is how many machine types a set of them, a uint64, can hold.
const maxMachineTypes = 64

// planStep describes a job's tasks to the planner. What depends on the kind of a machine
// only is worked out once for all machines.
func (c *Core) planStep(job *Job) *plan.Step {
	kinds := len(c.shards) * len(c.types) * 2
	allowed, cost := make([]bool, kinds), make([]float64, kinds)
	for kind := range kinds {
		if allowed[kind] = c.allowedOn(job, kind); allowed[kind] {
			cost[kind] = c.placementCost(job, kind)
		}
	}
	return &plan.Step{
		Tasks:   1,
		Gang:    job.spec.Gang,
		Need:    job.spec.Need,
		RunTime: c.estimatedRunTime(job),
		Image:   job.image,
		ImageGB: job.spec.ImageGB,
		Allowed: func(kind int) bool { return allowed[kind] },
		Cost:    func(kind int) float64 { return cost[kind] },
	}
}

// placementCost is what a machine of the kind given costs others if it is chosen for the job,
// in seconds of the job's time.
func (c *Core) placementCost(job *Job, kind int) float64 {
	spot, typ := kind&1 == 1, kind/2%len(c.types)
	cost := 0.0
	if !spot {
		cost += onDemandCost
	}
	if c.contested(job, typ) {
		cost += contestedCost
	}
	return cost
}

// contested reports whether another class of jobs, seen lately, can run on fewer machine
// types than the job, the one given among them.
func (c *Core) contested(job *Job, typ int) bool {
	fitting := c.typeSet(job)
	for class, kinds := range c.typesByClass {
		if class != job.class && kinds.types&(1<<typ) != 0 && c.now < kinds.at+classRememberedFor &&
			bits.OnesCount64(kinds.types) < bits.OnesCount64(fitting) {
			return true
		}
	}
	return false
}

// classKinds is which machine types the jobs of a class can run on, and when the newest of
// them was seen.
type classKinds struct {
	types uint64
	at    time.Duration
}

// typeSet is the set of machine types that can run a task of the job, as a bit mask.
func (c *Core) typeSet(job *Job) uint64 {
	if job.fittingTypes != 0 && job.fittingTypesOf == len(c.types) {
		return job.fittingTypes
	}
	job.fittingTypes, job.fittingTypesOf = 0, len(c.types)
	for t := range min(len(c.types), maxMachineTypes) {
		typ := &c.types[t]
		named := len(job.spec.Types) == 0 || slices.Contains(job.spec.Types, typ.Name)
		if named && job.spec.Need.FitsIn(typ.Capacity) {
			job.fittingTypes |= 1 << t
		}
	}
	return job.fittingTypes
}

// rememberClassTypes records which machine types the job's class can run on.
func (c *Core) rememberClassTypes(job *Job) {
	for len(c.typesByClass) <= job.class {
		c.typesByClass = append(c.typesByClass, classKinds{})
	}
	c.typesByClass[job.class] = classKinds{c.typeSet(job), c.now}
}
