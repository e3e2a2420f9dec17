package fake

import (
	"slices"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// resourceTolerance is by how much a sum of resources may exceed a limit because of rounding,
// in the unit of the resource.
const resourceTolerance = 1e-6

// machineType returns the machine's type. A type that the cloud does not offer has no capacity.
func (w *Worker) machineType() model.MachineType {
	i := slices.IndexFunc(w.simulation.Cloud.MachineTypes, func(t model.MachineType) bool { return t.Name == w.typeName })
	if i < 0 {
		return model.MachineType{Name: w.typeName}
	}
	return w.simulation.Cloud.MachineTypes[i]
}

// usedResources returns the sum of the resources that the attempts on the machine need, without the
// exited ones and the one given.
func (w *Worker) usedResources(except *taskAttempt) model.Resources {
	var sum model.Resources
	for _, attempt := range w.attempts {
		if job := w.simulation.Jobs[attempt.task.Job]; attempt != except && attempt.state != core.TaskExited && job != nil {
			sum = addResources(sum, job.Spec.TaskResources)
		}
	}
	return sum
}

// hasFreeCapacity reports whether the machine has free capacity for the need beside its attempts,
// without the one given.
func (w *Worker) hasFreeCapacity(need model.Resources, except *taskAttempt) bool {
	return fitsWithin(addResources(w.usedResources(except), need), w.machineType().Capacity)
}

// addResources returns the sum of two amounts of resources.
func addResources(a, b model.Resources) model.Resources {
	return model.Resources{Cores: a.Cores + b.Cores, GPUs: a.GPUs + b.GPUs, MemoryGB: a.MemoryGB + b.MemoryGB}
}

// fitsWithin reports whether no resource of an amount exceeds the total's, up to rounding.
func fitsWithin(amount, total model.Resources) bool {
	return amount.Cores <= total.Cores+resourceTolerance &&
		amount.GPUs <= total.GPUs+resourceTolerance &&
		amount.MemoryGB <= total.MemoryGB+resourceTolerance
}
