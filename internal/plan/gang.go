package plan

import "slices"

// gangStart is the first moment from ready on at which all tasks of a gang have room: the
// gang's avail.
func (p *partial) gangStart(s *Step, devices []*Device, ready float64) float64 {
	moments := []float64{ready}
	for d := range devices {
		device := p.device(d, devices)
		moments = append(moments, device.UpAt)
		for _, use := range device.Uses {
			moments = append(moments, use.End)
		}
	}
	slices.Sort(moments)
	for _, at := range slices.Compact(moments) {
		if at >= ready && p.gangFitsAt(s, devices, at) {
			return at
		}
	}
	return ready
}

// gangFitsAt reports whether all tasks of a gang can start at the moment given.
func (p *partial) gangFitsAt(s *Step, devices []*Device, at float64) bool {
	trial := &partial{booked: map[int]*Device{}}
	for range s.Tasks {
		if !trial.placeOnTopOf(p, s, devices, at) {
			return false
		}
	}
	return true
}

// placeOnTopOf books a task that starts exactly at the moment given on the first device with
// room, where other bookings than this schedule's own are those of base. It reports whether
// there is one.
func (p *partial) placeOnTopOf(base *partial, s *Step, devices []*Device, at float64) bool {
	for d := range devices {
		device, booked := p.booked[d]
		if !booked {
			device = base.device(d, devices)
		}
		if !s.allows(device) {
			continue
		}
		start, finish, fits := device.earliestFit(s, at)
		if !fits || start > at {
			continue
		}
		if !booked {
			device = device.clone()
			p.booked[d] = device
		}
		device.place(s, start, finish)
		return true
	}
	return false
}
