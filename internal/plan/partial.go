package plan

import "slices"

// partialSchedule is a schedule of some of a pipeline's steps: the paper's set of triples (task,
// device, finish), with the resulting state of the devices that it uses.
type partialSchedule struct {
	placedSteps   uint64            // bit mask of the steps that are placed
	neededSteps   uint64            // bit mask of the placed steps that an unplaced step depends on
	stepFinishes  []float64         // when the last task of each placed step finishes
	bookedDevices map[int]*Device   // copies of the devices that this schedule uses, by index
	bookingTimes  map[int][]float64 // by device, starts and finishes of tasks in placement order
	placements    []Placement       // in the order of placement
	finish        float64           // when the last task finishes
	cost          float64           // the largest sum of a task's finish and its device's costSeconds
}

// newPartialSchedule returns the schedule in which no step is placed.
func newPartialSchedule(problem *planningProblem) *partialSchedule {
	return &partialSchedule{stepFinishes: make([]float64, len(problem.steps)), finish: problem.now, cost: problem.now}
}

func (p *partialSchedule) isPlaced(stepIndex int) bool { return p.placedSteps>>stepIndex&1 == 1 }

// areInputsPlaced reports whether all steps that the given one depends on are placed.
func (p *partialSchedule) areInputsPlaced(step *Step) bool {
	for _, input := range step.Inputs {
		if !p.isPlaced(input) {
			return false
		}
	}
	return true
}

// extend returns the partial schedules that add a step to p. A single task is tried on every
// device. The tasks of a larger step, or of a pipeline's only step, are placed one by one on the
// device on which they finish earliest.
func (p *partialSchedule) extend(problem *planningProblem, stepIndex int) []*partialSchedule {
	step := &problem.steps[stepIndex]
	ready := problem.now
	for _, input := range step.Inputs {
		ready = max(ready, p.stepFinishes[input])
	}
	if step.Tasks == 1 && len(problem.steps) > 1 && !step.Gang {
		return p.extendOnEachDevice(problem, stepIndex, ready)
	}
	if step.Gang {
		ready = p.gangStartTime(step, problem.devices, ready)
	}
	extended := p.clone()
	for task := range step.Tasks {
		deviceIndex := extended.earliestFinishDevice(step, problem.devices, ready)
		if deviceIndex < 0 ||
			!extended.placeTask(problem, Placement{Step: stepIndex, Task: task, Device: deviceIndex}, ready) {
			return nil
		}
	}
	extended.completeStep(problem, stepIndex)
	return []*partialSchedule{extended}
}

// extendOnEachDevice returns one partial schedule for each device that can run a step's only
// task.
func (p *partialSchedule) extendOnEachDevice(
	problem *planningProblem, stepIndex int, ready float64,
) []*partialSchedule {
	var all []*partialSchedule
	for deviceIndex := range problem.devices {
		extended := p.clone()
		if extended.placeTask(problem, Placement{Step: stepIndex, Device: deviceIndex}, ready) {
			extended.completeStep(problem, stepIndex)
			all = append(all, extended)
		}
	}
	return all
}

// deviceState returns a device with the allocations of this schedule.
func (p *partialSchedule) deviceState(deviceIndex int, devices []*Device) *Device {
	if booked, ok := p.bookedDevices[deviceIndex]; ok {
		return booked
	}
	return devices[deviceIndex]
}

// earliestFinishDevice returns the index of the device on which the next task of a step has the
// lowest cost (finish plus costSeconds), or -1 if it fits on none.
func (p *partialSchedule) earliestFinishDevice(step *Step, devices []*Device, ready float64) int {
	bestDevice, lowestCost := -1, 0.0
	for deviceIndex := range devices {
		device := p.deviceState(deviceIndex, devices)
		if !step.isAllowedOn(device) {
			continue
		}
		start, finish, fits := device.earliestFit(step, ready)
		if !fits || step.Gang && start > ready {
			continue
		}
		if cost := finish + device.costSeconds(step); bestDevice < 0 || cost < lowestCost {
			bestDevice, lowestCost = deviceIndex, cost
		}
	}
	return bestDevice
}

// placeTask allocates a task on its device at the earliest time that fits, and reports whether
// there is one.
func (p *partialSchedule) placeTask(problem *planningProblem, placement Placement, ready float64) bool {
	step, deviceIndex := &problem.steps[placement.Step], placement.Device
	device := p.deviceState(deviceIndex, problem.devices)
	if !step.isAllowedOn(device) {
		return false
	}
	start, finish, fits := device.earliestFit(step, ready)
	if !fits {
		return false
	}
	if _, isBooked := p.bookedDevices[deviceIndex]; !isBooked {
		device = device.clone()
		p.bookedDevices[deviceIndex] = device
	}
	device.allocate(step, start, finish)
	// bookingTimes is shared with the schedule that this one extends, so it must not be appended
	// to in place.
	p.bookingTimes[deviceIndex] = append(slices.Clip(p.bookingTimes[deviceIndex]), start, finish)
	placement.Start, placement.Finish = start, finish
	p.placements = append(p.placements, placement)
	p.stepFinishes[placement.Step] = max(p.stepFinishes[placement.Step], finish)
	p.finish = max(p.finish, finish)
	p.cost = max(p.cost, finish+device.costSeconds(step))
	return true
}

// completeStep marks a step as placed and updates neededSteps. The finish times of other placed
// steps no longer influence later steps, so they are ignored when schedules are compared.
func (p *partialSchedule) completeStep(problem *planningProblem, stepIndex int) {
	p.placedSteps |= 1 << stepIndex
	p.neededSteps = 0
	for later := range problem.steps {
		if p.isPlaced(later) {
			continue
		}
		for _, input := range problem.steps[later].Inputs {
			p.neededSteps |= 1 << input
		}
	}
	p.neededSteps &= p.placedSteps
}

// clone returns a copy that shares only the slices in bookingTimes with p.
func (p *partialSchedule) clone() *partialSchedule {
	cloned := &partialSchedule{
		placedSteps:   p.placedSteps,
		neededSteps:   p.neededSteps,
		stepFinishes:  slices.Clone(p.stepFinishes),
		bookedDevices: make(map[int]*Device, len(p.bookedDevices)+1),
		bookingTimes:  make(map[int][]float64, len(p.bookingTimes)+1),
		placements:    slices.Clone(p.placements),
		finish:        p.finish,
		cost:          p.cost,
	}
	for deviceIndex, device := range p.bookedDevices {
		cloned.bookedDevices[deviceIndex] = device.clone()
	}
	for d, times := range p.bookingTimes {
		cloned.bookingTimes[d] = times
	}
	return cloned
}

// isDominatedBy reports whether another partial schedule is at least as good in everything that
// can influence a later step: the finish times of the steps still needed, the cost and finish so
// far, and the allocations on every device that the other schedule uses.
func (p *partialSchedule) isDominatedBy(other *partialSchedule) bool {
	if p.placedSteps != other.placedSteps || other.cost > p.cost || other.finish > p.finish {
		return false
	}
	for stepIndex := range p.stepFinishes {
		if p.neededSteps>>stepIndex&1 == 1 && other.stepFinishes[stepIndex] > p.stepFinishes[stepIndex] {
			return false
		}
	}
	for deviceIndex, times := range other.bookingTimes {
		if !slices.Equal(times, p.bookingTimes[deviceIndex]) {
			return false
		}
	}
	return true
}
