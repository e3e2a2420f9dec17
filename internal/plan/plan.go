package plan

import (
	"roadcleat/internal/model"
	"sort"
)

// Step is one node of a pipeline: Tasks equal tasks that start when all steps
// named in Inputs have ended.
type Step struct {
	Inputs  []int
	Tasks   int
	Need    model.Resources
	Comp    float64 // estimated run time on an ordinary machine
	Image   int     // dense index, or -1 for none
	ImageGB float64
	Allowed func(kind int) bool    // nil: any machine
	Cost    func(kind int) float64 // seconds added when machines of a kind are compared; nil: none
	Gang    bool                   // all tasks take their room at the same moment
	By      float64                // Spread: tasks start by then or not at all; 0: whenever
}

// Schedule is a complete placement of a pipeline.
type Schedule struct {
	Placements []Placement
	Finish     float64
	Complete   bool // false when a step fits no machine
}

// partial is a partial schedule: the paper's set of triples (task, device,
// finish), together with what it has booked on the devices it touches.
type partial struct {
	done    uint64            // steps placed
	finish  []float64         // per step, its last task's end; of placed steps only
	live    uint64            // placed steps that a step still to come depends on
	booked  map[int]*Device   // devices this schedule has work on
	triples map[int][]float64 // per device, ends of its bookings in order
	places  []Placement
	last    float64
	cost    float64
}

// Solve plans the pipeline from time now on. At most frontier partial
// schedules are kept per round; below that bound, and with the devices'
// bookings compared in the dominance test, nothing better is cut off.
// A graph may have up to 64 steps.
func Solve(steps []Step, devices []*Device, now float64, frontier int) Schedule {
	if len(steps) > 64 {
		return Schedule{}
	}
	set := []*partial{{finish: make([]float64, len(steps)), last: now, cost: now}}
	for range steps {
		var next []*partial
		for _, p := range set {
			for i := range steps {
				if p.done>>i&1 == 0 && p.readyFor(&steps[i]) {
					next = append(next, p.expand(steps, i, devices, now)...)
				}
			}
		}
		if len(next) == 0 {
			return Schedule{}
		}
		set = prune(next, frontier)
	}
	best := set[0]
	for _, p := range set {
		if p.cost < best.cost {
			best = p
		}
	}
	return Schedule{Placements: best.places, Finish: best.last, Complete: true}
}

func (p *partial) readyFor(s *Step) bool {
	for _, in := range s.Inputs {
		if p.done>>in&1 == 0 {
			return false
		}
	}
	return true
}

// expand derives the partial schedules that add step i. A step of one task is
// tried on every device; the tasks of a larger one go one by one to their
// earliest-finish machine.
func (p *partial) expand(steps []Step, i int, devices []*Device, now float64) []*partial {
	s := &steps[i]
	ready := now
	for _, in := range s.Inputs {
		ready = max(ready, p.finish[in])
	}
	var out []*partial
	if s.Tasks == 1 && len(steps) > 1 && !s.Gang {
		for d := range devices {
			if q := p.copy(); q.put(steps, i, 0, d, devices, ready) {
				q.close(steps, i)
				out = append(out, q)
			}
		}
		return out
	}
	if s.Gang {
		ready = p.together(s, devices, ready)
	}
	q := p.copy()
	for t := 0; t < s.Tasks; t++ {
		d := q.earliest(s, devices, ready)
		if d < 0 || !q.put(steps, i, t, d, devices, ready) {
			return nil
		}
	}
	q.close(steps, i)
	return append(out, q)
}

func (p *partial) device(d int, devices []*Device) *Device {
	if b, ok := p.booked[d]; ok {
		return b
	}
	return devices[d]
}

// earliest names the device on which the next task of s ends first.
func (p *partial) earliest(s *Step, devices []*Device, ready float64) int {
	best, at := -1, 0.0
	for d := range devices {
		dev := p.device(d, devices)
		if s.Allowed != nil && !s.Allowed(dev.Kind) {
			continue
		}
		if start, end, ok := dev.try(s, ready); ok && (!s.Gang || start <= ready) {
			if cost := end + dev.cost(s); best < 0 || cost < at {
				best, at = d, cost
			}
		}
	}
	return best
}

// together is the first moment from ready on at which all tasks of a gang have
// room: its avail.
func (p *partial) together(s *Step, devices []*Device, ready float64) float64 {
	times := []float64{ready}
	for d := range devices {
		dev := p.device(d, devices)
		times = append(times, dev.Up)
		for _, u := range dev.Uses {
			times = append(times, u.End)
		}
	}
	sort.Float64s(times)
next:
	for i, t := range times {
		if t < ready || i > 0 && t == times[i-1] {
			continue
		}
		q := &partial{booked: map[int]*Device{}}
		for n := 0; n < s.Tasks; n++ {
			d := q.earliestAt(s, p, devices, t)
			if d < 0 {
				continue next
			}
		}
		return t
	}
	return ready
}

// earliestAt books a task that takes its room exactly at t, on trial.
// What is not booked in p is as in base.
func (p *partial) earliestAt(s *Step, base *partial, devices []*Device, t float64) int {
	for d := range devices {
		dev, mine := p.booked[d]
		if !mine {
			dev = base.device(d, devices)
		}
		if s.Allowed != nil && !s.Allowed(dev.Kind) {
			continue
		}
		if start, end, ok := dev.try(s, t); ok && start <= t {
			if !mine {
				dev = dev.clone()
				p.booked[d] = dev
			}
			dev.place(s, start, end)
			return d
		}
	}
	return -1
}

func (p *partial) put(steps []Step, i, task, d int, devices []*Device, ready float64) bool {
	s, dev := &steps[i], p.device(d, devices)
	if s.Allowed != nil && !s.Allowed(dev.Kind) {
		return false
	}
	start, end, ok := dev.try(s, ready)
	if !ok {
		return false
	}
	if _, mine := p.booked[d]; !mine {
		dev = dev.clone()
		p.booked[d] = dev
	}
	dev.place(s, start, end)
	p.triples[d] = append(append([]float64(nil), p.triples[d]...), start, end)
	p.places = append(p.places, Placement{i, task, d, start, end})
	p.finish[i] = max(p.finish[i], end)
	p.last = max(p.last, end)
	p.cost = max(p.cost, end+dev.cost(s))
	return true
}

// close marks step i as placed and drops triples made redundant by it: those
// of steps whose dependants are all placed.
func (p *partial) close(steps []Step, i int) {
	p.done |= 1 << i
	p.live = 0
	for j := range steps {
		if p.done>>j&1 == 1 {
			continue
		}
		for _, in := range steps[j].Inputs {
			p.live |= 1 << in
		}
	}
	p.live &= p.done
}

func (p *partial) copy() *partial {
	q := &partial{done: p.done, live: p.live, last: p.last, cost: p.cost,
		finish:  append([]float64(nil), p.finish...),
		places:  append([]Placement(nil), p.places...),
		booked:  make(map[int]*Device, len(p.booked)+1),
		triples: make(map[int][]float64, len(p.triples)+1)}
	for d, dev := range p.booked {
		q.booked[d] = dev.clone()
	}
	for d, t := range p.triples {
		q.triples[d] = t
	}
	return q
}

// outperformed says whether q is at least as good as p in every respect that
// a later step can notice: ends of the steps still needed, the end so far, and
// the bookings on every device that q touches.
func (p *partial) outperformed(q *partial) bool {
	if p.done != q.done || q.cost > p.cost || q.last > p.last {
		return false
	}
	for i := range p.finish {
		if p.live>>i&1 == 1 && q.finish[i] > p.finish[i] {
			return false
		}
	}
	for d, t := range q.triples {
		u := p.triples[d]
		if len(t) != len(u) {
			return false
		}
		for i := range t {
			if t[i] != u[i] {
				return false
			}
		}
	}
	return true
}

// prune drops outperformed schedules and keeps the best frontier of the rest.
func prune(set []*partial, frontier int) []*partial {
	sort.SliceStable(set, func(a, b int) bool { return set[a].cost < set[b].cost })
	var kept []*partial
next:
	for _, p := range set {
		for _, q := range kept {
			if p.outperformed(q) {
				continue next
			}
		}
		kept = append(kept, p)
		if len(kept) >= max(frontier, 1) {
			break
		}
	}
	return kept
}

// Spread places n equal, independent tasks one by one, each on its
// earliest-finish machine, and books them on the devices given. It is Solve
// for a one-step pipeline without the copying. A gang waits for the first
// moment at which all n have room. It stops at the first task that fits
// nowhere, or when visit returns false, and returns how many it placed.
//
// Each machine is first taken at its bound and looked at closely only when no
// other can be better, so a large fleet costs little more than the machines
// that come into question.
func Spread(s *Step, n int, devices []*Device, ready float64, visit func(Placement) bool) int {
	if s.Gang {
		whole := *s
		whole.Tasks = n
		ready = (&partial{}).together(&whole, devices, ready)
		// All take their room then. Of short tasks on a cheap machine one might
		// else seem better off after another than beside it on a dear one.
		whole.By = ready + 1e-9
		s = &whole
	}
	h := make(candidates, 0, len(devices))
	for d, dev := range devices {
		if s.Allowed != nil && !s.Allowed(dev.Kind) {
			continue
		}
		if at, ok := dev.bound(s, ready); ok {
			h = append(h, candidate{cost: at + dev.cost(s), device: d})
		}
	}
	h.init()
	for t := 0; t < n; t++ {
		for len(h) > 0 && !h[0].exact {
			if c := &h[0]; c.look(s, devices[c.device], ready) {
				h.sink(0)
			} else {
				h.drop()
			}
		}
		if len(h) == 0 {
			return t
		}
		c := h[0]
		dev := devices[c.device]
		dev.place(s, c.start, c.finish)
		if !visit(Placement{0, t, c.device, c.start, c.finish}) {
			return t + 1
		}
		// A placement changes this machine only, and never to end the next
		// task sooner than this one.
		h[0].exact = false
		h.sink(0)
	}
	return n
}

// candidate is a machine with the cost of the next task on it: exact, or at
// least that.
type candidate struct {
	cost          float64
	device        int
	exact         bool
	start, finish float64
}

// look makes the cost exact.
func (c *candidate) look(s *Step, dev *Device, ready float64) bool {
	start, end, ok := dev.try(s, ready)
	c.start, c.finish, c.cost, c.exact = start, end, end+dev.cost(s), true
	return ok && (s.By == 0 || start <= s.By)
}

// before orders by cost; of equal ones those not exact come first, so that the
// first machine in order wins among equals.
func (c *candidate) before(o *candidate) bool {
	if c.cost != o.cost {
		return c.cost < o.cost
	}
	if c.exact != o.exact {
		return !c.exact
	}
	return c.device < o.device
}

// candidates is a heap, cheapest first.
type candidates []candidate

func (h candidates) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.sink(i)
	}
}

// sink moves an element down to its place; costs only grow.
func (h candidates) sink(i int) {
	for {
		k := 2*i + 1
		if k >= len(h) {
			return
		}
		if k+1 < len(h) && h[k+1].before(&h[k]) {
			k++
		}
		if !h[k].before(&h[i]) {
			return
		}
		h[i], h[k] = h[k], h[i]
		i = k
	}
}

func (h *candidates) drop() {
	last := len(*h) - 1
	(*h)[0] = (*h)[last]
	*h = (*h)[:last]
	h.sink(0)
}
