package core

import "roadcleat/internal/plan"

// zoneDistributor distributes the tasks of a job that may run in any zone.
type zoneDistributor struct {
	byZone     [][]device // candidate machines by zone, existing and rentable
	counts     []int      // number of tasks assigned to each zone
	remaining  int        // number of tasks not assigned to a zone yet
	maxPerZone int        // maximum number of tasks in a zone
}

// run assigns every task to a zone. A sample of the tasks is distributed one by one to the
// machines on which they finish earliest, the rest in the same proportions up to the number of
// tasks that can be placed at once in a zone. Tasks beyond that number would only wait in that
// zone, so they are spread evenly over the zones.
func (d *zoneDistributor) run(step *plan.Step, placedAtOnce int, now float64) {
	total := d.remaining
	d.sample(step, min(total, maxSampledTasks), now)
	sampled := total - d.remaining
	d.extrapolate(sampled, placedAtOnce)
	d.spreadEvenly()
	d.assignRemaining(func(zone int) bool { return d.hasMachines(zone) || sampled == 0 })
	d.assignRemaining(func(int) bool { return true })
}

// hasMachines reports whether a zone has candidate machines for the job.
func (d *zoneDistributor) hasMachines(zone int) bool { return len(d.byZone[zone]) > 0 }

// assign assigns a number of tasks to a zone.
func (d *zoneDistributor) assign(zone, tasks int) {
	d.counts[zone] += tasks
	d.remaining -= tasks
}

// sample distributes tasks one by one, each to the zone of the machine on which it finishes
// earliest. When a zone reaches maxPerZone, it is closed and the planner is restarted without it.
func (d *zoneDistributor) sample(step *plan.Step, tasks int, now float64) {
	isOpen := make([]bool, len(d.byZone))
	for zone := range d.byZone {
		isOpen[zone] = d.hasMachines(zone)
	}
	for tasks > 0 {
		devices, zones := d.openDevices(isOpen)
		placed := plan.PlaceTasks(step, tasks, devices, now, func(placement plan.Placement) bool {
			zone := zones[placement.Device]
			d.assign(zone, 1)
			isOpen[zone] = d.counts[zone] < d.maxPerZone
			return isOpen[zone]
		})
		if placed == 0 {
			return
		}
		tasks -= placed
	}
}

// openDevices returns the machines of the open zones, and the zone of each.
func (d *zoneDistributor) openDevices(isOpen []bool) (devices []*plan.Device, zones []int) {
	for zone, candidates := range d.byZone {
		if !isOpen[zone] {
			continue
		}
		for _, candidate := range candidates {
			devices, zones = append(devices, candidate.Device), append(zones, zone)
		}
	}
	return devices, zones
}

// extrapolate distributes the remaining tasks in the proportions of the sample.
func (d *zoneDistributor) extrapolate(sampled, placedAtOnce int) {
	if sampled == 0 {
		return
	}
	unsampled := d.remaining
	for zone, count := range d.counts {
		if d.remaining > 0 && count > 0 {
			proportionalTasks := unsampled * count / sampled
			d.assign(zone, min(d.remaining, proportionalTasks, d.maxPerZone-count, max(placedAtOnce-count, 0)))
		}
	}
}

// spreadEvenly assigns the same number of the remaining tasks to every zone with candidate
// machines.
func (d *zoneDistributor) spreadEvenly() {
	zoneCount := 0
	for zone := range d.counts {
		if d.hasMachines(zone) {
			zoneCount++
		}
	}
	tasksPerZone := d.remaining / max(zoneCount, 1)
	for zone := range d.counts {
		if d.hasMachines(zone) && d.remaining > 0 {
			d.assign(zone, min(tasksPerZone, d.maxPerZone-d.counts[zone]))
		}
	}
}

// assignRemaining assigns the remaining tasks to the matching zones in order, each up to
// maxPerZone.
func (d *zoneDistributor) assignRemaining(matches func(zone int) bool) {
	for zone := range d.counts {
		if matches(zone) {
			d.assign(zone, min(d.remaining, d.maxPerZone-d.counts[zone]))
		}
	}
}
