package core

import (
	"math/bits"
	"slices"
	"time"

	"roadcleat/internal/plan"
)

// Penalties for choosing a machine that other jobs may need, in seconds added to the finish time of
// the placed task.
const (
	onDemandPenaltySeconds      = 3.0 // for an on-demand machine, which is more expensive than a spot instance
	contestedTypePenaltySeconds = 6.0 // for a machine type that another class depends on, see Core.isContested
	emptyHostPenaltySeconds     = 0.5 // for a machine without tasks, which could be returned to the cloud
)

// classTypesTTL is how long after the newest planning of one of its jobs a class counts as using
// its machine types.
const classTypesTTL = 5 * time.Minute

// maxMachineTypes is the number of machine types that fit in a set of types, a 64-bit mask.
const maxMachineTypes = 64

// planStep returns a job's tasks as a step for the planner. Values that depend only on a
// machine's kind (zone, type, and spot or on-demand) are computed once per kind.
func (c *Core) planStep(job *Job) *plan.Step {
	kinds := len(c.shards) * len(c.machineTypes) * 2
	allowed, costSeconds := make([]bool, kinds), make([]float64, kinds)
	for kind := range kinds {
		if allowed[kind] = c.mayRunOn(job, kind); allowed[kind] {
			costSeconds[kind] = c.placementCostSeconds(job, kind)
		}
	}
	return &plan.Step{
		Tasks:       1,
		Gang:        job.spec.Gang,
		Need:        job.spec.TaskResources,
		RunSeconds:  c.estimatedRunSeconds(job),
		Image:       job.image,
		ImageGB:     job.spec.ImageGB,
		Allowed:     func(kind int) bool { return allowed[kind] },
		CostSeconds: func(kind int) float64 { return costSeconds[kind] },
	}
}

// placementCostSeconds returns the sum of the penalties for placing the job's tasks on a machine
// of the given kind.
func (c *Core) placementCostSeconds(job *Job, kind int) float64 {
	spot, typeIndex := kind&1 == 1, kind/2%len(c.machineTypes)
	costSeconds := 0.0
	if !spot {
		costSeconds += onDemandPenaltySeconds
	}
	if c.isContested(job, typeIndex) {
		costSeconds += contestedTypePenaltySeconds
	}
	return costSeconds
}

// isContested reports whether another class, of which a job was planned within classTypesTTL, can
// use the given machine type and fewer types overall than the job.
func (c *Core) isContested(job *Job, typeIndex int) bool {
	jobTypes := c.fittingTypeSet(job)
	for class, classTypes := range c.machineTypesByClass {
		if class != job.class && classTypes.types&(1<<typeIndex) != 0 && c.now < classTypes.recordedAt+classTypesTTL &&
			bits.OnesCount64(classTypes.types) < bits.OnesCount64(jobTypes) {
			return true
		}
	}
	return false
}

// classMachineTypes is the set of machine types that a class's jobs can run on, and when one of
// these jobs was last planned.
type classMachineTypes struct {
	types      uint64        // bit mask of machine type indices
	recordedAt time.Duration // time at which the set was recorded
}

// fittingTypeSet returns the set of machine types that can run a task of the job, as a bit mask. It is
// cached in the job until the number of machine types changes.
func (c *Core) fittingTypeSet(job *Job) uint64 {
	if job.fittingTypes != 0 && job.fittingTypesCount == len(c.machineTypes) {
		return job.fittingTypes
	}
	job.fittingTypes, job.fittingTypesCount = 0, len(c.machineTypes)
	for typeIndex := range min(len(c.machineTypes), maxMachineTypes) {
		machineType := &c.machineTypes[typeIndex]
		isRequested := len(job.spec.Types) == 0 || slices.Contains(job.spec.Types, machineType.Name)
		if isRequested && job.spec.TaskResources.FitsIn(machineType.Capacity) {
			job.fittingTypes |= 1 << typeIndex
		}
	}
	return job.fittingTypes
}

// recordClassTypes records the machine types that the job's class can run on now.
func (c *Core) recordClassTypes(job *Job) {
	for len(c.machineTypesByClass) <= job.class {
		c.machineTypesByClass = append(c.machineTypesByClass, classMachineTypes{})
	}
	c.machineTypesByClass[job.class] = classMachineTypes{c.fittingTypeSet(job), c.now}
}
