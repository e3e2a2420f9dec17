package plan

import "slices"

// gangStartTime returns the earliest time, not before ready, at which all tasks of a gang fit at
// once: avail of equation 1 for the gang. Free resources only grow when a device comes up or an
// allocation ends, so only these times are tried. If the gang never fits, it returns ready.
func (p *partialSchedule) gangStartTime(step *Step, devices []*Device, ready float64) float64 {
	candidateStarts := []float64{ready}
	for deviceIndex := range devices {
		device := p.deviceState(deviceIndex, devices)
		candidateStarts = append(candidateStarts, device.UpAt)
		for _, allocation := range device.Allocations {
			candidateStarts = append(candidateStarts, allocation.End)
		}
	}
	slices.Sort(candidateStarts)
	for _, start := range slices.Compact(candidateStarts) {
		if start >= ready && p.gangFitsAt(step, devices, start) {
			return start
		}
	}
	return ready
}

// gangFitsAt reports whether all tasks of a gang can start at the given time.
func (p *partialSchedule) gangFitsAt(step *Step, devices []*Device, start float64) bool {
	tentative := &partialSchedule{bookedDevices: map[int]*Device{}}
	for range step.Tasks {
		if !tentative.allocateFirstFit(p, step, devices, start) {
			return false
		}
	}
	return true
}

// allocateFirstFit allocates a task that starts exactly at requiredStart on the first device with
// enough free resources. Devices that p has not changed are read as base has them. It reports
// whether there is such a device.
func (p *partialSchedule) allocateFirstFit(
	base *partialSchedule, step *Step, devices []*Device, requiredStart float64,
) bool {
	for deviceIndex := range devices {
		device, isBooked := p.bookedDevices[deviceIndex]
		if !isBooked {
			device = base.deviceState(deviceIndex, devices)
		}
		if !step.isAllowedOn(device) {
			continue
		}
		start, finish, fits := device.earliestFit(step, requiredStart)
		if !fits || start > requiredStart {
			continue
		}
		if !isBooked {
			device = device.clone()
			p.bookedDevices[deviceIndex] = device
		}
		device.allocate(step, start, finish)
		return true
	}
	return false
}
