package plan

import "slices"

// partial is a partial schedule: the paper's set of triples (task, device, finish), together
// with what it has booked on the devices that it uses.
type partial struct {
	done       uint64            // steps placed, as a bit mask
	live       uint64            // of done, those that a step yet to be placed depends on
	stepEnds   []float64         // when a placed step's last task ends, by step
	booked     map[int]*Device   // copies of the devices that this schedule has work on
	triples    map[int][]float64 // starts and ends of its bookings in their order, by device
	placements []Placement
	end        float64 // when the last task ends
	cost       float64 // the same with the costs of the devices chosen
}

func newPartial(g *graph) *partial {
	return &partial{stepEnds: make([]float64, len(g.steps)), end: g.now, cost: g.now}
}

// placed reports whether a step is placed.
func (p *partial) placed(step int) bool { return p.done>>step&1 == 1 }

// readyFor reports whether all inputs of a step are placed.
func (p *partial) readyFor(s *Step) bool {
	for _, input := range s.Inputs {
		if !p.placed(input) {
			return false
		}
	}
	return true
}

// extend derives the partial schedules that add a step. A step of one task is tried on every
// device; the tasks of a larger one go one by one to their earliest-finish machine.
func (p *partial) extend(g *graph, step int) []*partial {
	s := &g.steps[step]
	ready := g.now
	for _, input := range s.Inputs {
		ready = max(ready, p.stepEnds[input])
	}
	if s.Tasks == 1 && len(g.steps) > 1 && !s.Gang {
		return p.extendOnEachDevice(g, step, ready)
	}
	if s.Gang {
		ready = p.gangStart(s, g.devices, ready)
	}
	extended := p.clone()
	for task := range s.Tasks {
		d := extended.earliestDevice(s, g.devices, ready)
		if d < 0 || !extended.placeTask(g, Placement{Step: step, Task: task, Device: d}, ready) {
			return nil
		}
	}
	extended.closeStep(g, step)
	return []*partial{extended}
}

// extendOnEachDevice derives a partial schedule for each device that a step's only task fits
// on.
func (p *partial) extendOnEachDevice(g *graph, step int, ready float64) []*partial {
	var all []*partial
	for d := range g.devices {
		extended := p.clone()
		if extended.placeTask(g, Placement{Step: step, Device: d}, ready) {
			extended.closeStep(g, step)
			all = append(all, extended)
		}
	}
	return all
}

// device is a device with what this schedule has booked on it.
func (p *partial) device(d int, devices []*Device) *Device {
	if booked, ok := p.booked[d]; ok {
		return booked
	}
	return devices[d]
}

// earliestDevice is the device on which the next task of a step ends first, or -1.
func (p *partial) earliestDevice(s *Step, devices []*Device, ready float64) int {
	best, lowest := -1, 0.0
	for d := range devices {
		device := p.device(d, devices)
		if !s.allows(device) {
			continue
		}
		start, finish, fits := device.earliestFit(s, ready)
		if !fits || s.Gang && start > ready {
			continue
		}
		if cost := finish + device.cost(s); best < 0 || cost < lowest {
			best, lowest = d, cost
		}
	}
	return best
}

// placeTask books a task on its device as early as it fits, and reports whether it does.
func (p *partial) placeTask(g *graph, placement Placement, ready float64) bool {
	s, d := &g.steps[placement.Step], placement.Device
	device := p.device(d, g.devices)
	if !s.allows(device) {
		return false
	}
	start, finish, fits := device.earliestFit(s, ready)
	if !fits {
		return false
	}
	if _, booked := p.booked[d]; !booked {
		device = device.clone()
		p.booked[d] = device
	}
	device.place(s, start, finish)
	// The triples are shared with the schedule that this one extends: never append in place.
	p.triples[d] = append(slices.Clip(p.triples[d]), start, finish)
	placement.Start, placement.Finish = start, finish
	p.placements = append(p.placements, placement)
	p.stepEnds[placement.Step] = max(p.stepEnds[placement.Step], finish)
	p.end = max(p.end, finish)
	p.cost = max(p.cost, finish+device.cost(s))
	return true
}

// closeStep marks a step as placed, and finds those of which a later step may still need the
// end. The others no longer matter when schedules are compared.
func (p *partial) closeStep(g *graph, step int) {
	p.done |= 1 << step
	p.live = 0
	for i := range g.steps {
		if p.placed(i) {
			continue
		}
		for _, input := range g.steps[i].Inputs {
			p.live |= 1 << input
		}
	}
	p.live &= p.done
}

func (p *partial) clone() *partial {
	q := &partial{
		done:       p.done,
		live:       p.live,
		stepEnds:   slices.Clone(p.stepEnds),
		booked:     make(map[int]*Device, len(p.booked)+1),
		triples:    make(map[int][]float64, len(p.triples)+1),
		placements: slices.Clone(p.placements),
		end:        p.end,
		cost:       p.cost,
	}
	for d, device := range p.booked {
		q.booked[d] = device.clone()
	}
	for d, triples := range p.triples {
		q.triples[d] = triples
	}
	return q
}

// outperformedBy reports whether another partial schedule is at least as good in every respect
// that a later step can notice: the ends of the steps still needed, the end so far, and the
// bookings on every device that the other one uses.
func (p *partial) outperformedBy(other *partial) bool {
	if p.done != other.done || other.cost > p.cost || other.end > p.end {
		return false
	}
	for step := range p.stepEnds {
		if p.live>>step&1 == 1 && other.stepEnds[step] > p.stepEnds[step] {
			return false
		}
	}
	for d, triples := range other.triples {
		if !slices.Equal(triples, p.triples[d]) {
			return false
		}
	}
	return true
}
