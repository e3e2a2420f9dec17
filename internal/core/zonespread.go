package core

import "roadcleat/internal/plan"

// zoneSpread distributes the tasks of a job that may be in any zone.
type zoneSpread struct {
	byZone     [][]device // machines by zone
	counts     []int      // tasks by zone
	left       int        // tasks that have no zone yet
	maxPerZone int
}

// run gives every task a zone. A sample of them goes one by one to the earliest-finish
// machines, the rest in the same proportions as long as a zone can have that many tasks placed
// at once. Tasks beyond that would only wait there, so they go to all zones alike.
func (s *zoneSpread) run(step *plan.Step, placedAtOnce int, now float64) {
	total := s.left
	s.sample(step, min(total, sampledTasks), now)
	sampled := total - s.left
	s.extrapolate(sampled, placedAtOnce)
	s.spreadEvenly()
	s.fillUp(func(zone int) bool { return s.usable(zone) || sampled == 0 })
	s.fillUp(func(int) bool { return true })
}

// usable reports whether a zone has machines for the job.
func (s *zoneSpread) usable(zone int) bool { return len(s.byZone[zone]) > 0 }

func (s *zoneSpread) give(zone, tasks int) {
	s.counts[zone] += tasks
	s.left -= tasks
}

// sample distributes tasks one by one, each to the zone of its earliest-finish machine. A zone
// that has as many tasks as it may is closed, and the planner starts anew without it.
func (s *zoneSpread) sample(step *plan.Step, tasks int, now float64) {
	open := make([]bool, len(s.byZone))
	for zone := range s.byZone {
		open[zone] = s.usable(zone)
	}
	for tasks > 0 {
		devices, zones := s.openDevices(open)
		placed := plan.Spread(step, tasks, devices, now, func(placement plan.Placement) bool {
			zone := zones[placement.Device]
			s.give(zone, 1)
			open[zone] = s.counts[zone] < s.maxPerZone
			return open[zone]
		})
		if placed == 0 {
			return
		}
		tasks -= placed
	}
}

// openDevices lists the machines of the open zones, and the zone of each.
func (s *zoneSpread) openDevices(open []bool) (devices []*plan.Device, zones []int) {
	for zone, inZone := range s.byZone {
		if !open[zone] {
			continue
		}
		for _, d := range inZone {
			devices, zones = append(devices, d.Device), append(zones, zone)
		}
	}
	return devices, zones
}

// extrapolate distributes the remaining tasks in the proportions of the sample.
func (s *zoneSpread) extrapolate(sampled, placedAtOnce int) {
	if sampled == 0 {
		return
	}
	unsampled := s.left
	for zone, count := range s.counts {
		if s.left > 0 && count > 0 {
			share := unsampled * count / sampled
			s.give(zone, min(s.left, share, s.maxPerZone-count, max(placedAtOnce-count, 0)))
		}
	}
}

// spreadEvenly gives all zones with machines the same number of the remaining tasks.
func (s *zoneSpread) spreadEvenly() {
	zones := 0
	for zone := range s.counts {
		if s.usable(zone) {
			zones++
		}
	}
	even := s.left / max(zones, 1)
	for zone := range s.counts {
		if s.usable(zone) && s.left > 0 {
			s.give(zone, min(even, s.maxPerZone-s.counts[zone]))
		}
	}
}

// fillUp gives the remaining tasks to the first matching zones that may have more.
func (s *zoneSpread) fillUp(matches func(zone int) bool) {
	for zone := range s.counts {
		if matches(zone) {
			s.give(zone, min(s.left, s.maxPerZone-s.counts[zone]))
		}
	}
}
