package plan

// gangTolerance is by how much, in seconds, the starts of a gang's tasks may differ.
const gangTolerance = 1e-9

// Spread places so many equal, independent tasks one by one, each on its earliest-finish
// machine, and books them on the devices given. It is Solve for a pipeline of one step without
// the copies. A gang waits for the first moment at which all its tasks have room. Spread stops
// at the first task that fits nowhere, or when visit returns false, and returns how many tasks
// it placed.
//
// A machine first counts with a bound on its finish and is evaluated exactly only when no other
// can be better, so a large fleet costs little more than the machines that may be best.
func Spread(s *Step, tasks int, devices []*Device, ready float64, visit func(Placement) bool) int {
	if s.Gang {
		s, ready = wholeGang(s, tasks, devices, ready)
	}
	queue := newCandidateQueue(s, devices, ready)
	for task := range tasks {
		if !queue.settle(s, devices, ready) {
			return task
		}
		best := &queue[0]
		devices[best.device].place(s, best.start, best.finish)
		if !visit(Placement{Task: task, Device: best.device, Start: best.start, Finish: best.finish}) {
			return task + 1
		}
		// The placement changes this machine only, and the next task there never ends
		// sooner than this one: its cost has become a bound.
		best.exact = false
		queue.siftDown(0)
	}
	return tasks
}

// wholeGang is a gang's step with all its tasks, which must start at the moment at which all of
// them have room. Without that limit, a short task could seem better off after another one on
// a cheaper machine than beside it on a dearer one.
func wholeGang(s *Step, tasks int, devices []*Device, ready float64) (*Step, float64) {
	whole := *s
	whole.Tasks = tasks
	start := (&partial{}).gangStart(&whole, devices, ready)
	whole.StartBy = start + gangTolerance
	return &whole, start
}

// candidate is a machine and the cost of the next task on it.
type candidate struct {
	device        int
	cost          float64
	exact         bool // else cost is a lower bound, and start and finish are not known
	start, finish float64
}

// evaluate makes the cost exact, and reports whether the task fits in time.
func (c *candidate) evaluate(s *Step, device *Device, ready float64) bool {
	start, finish, fits := device.earliestFit(s, ready)
	c.start, c.finish, c.cost, c.exact = start, finish, finish+device.cost(s), true
	return fits && (s.StartBy == 0 || start <= s.StartBy)
}

// before orders by cost. Of equal ones those that are not exact come first, so that the first
// machine in the caller's order is chosen among equals.
func (c *candidate) before(other *candidate) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	if c.exact != other.exact {
		return !c.exact
	}
	return c.device < other.device
}

// candidateQueue is a heap of machines, cheapest first.
type candidateQueue []candidate

// newCandidateQueue holds all devices that tasks of the step fit on, at bounds on their costs.
func newCandidateQueue(s *Step, devices []*Device, ready float64) candidateQueue {
	queue := make(candidateQueue, 0, len(devices))
	for d, device := range devices {
		if !s.allows(device) {
			continue
		}
		if bound, fits := device.finishBound(s, ready); fits {
			queue = append(queue, candidate{device: d, cost: bound + device.cost(s)})
		}
	}
	for i := len(queue)/2 - 1; i >= 0; i-- {
		queue.siftDown(i)
	}
	return queue
}

// settle evaluates candidates until the first is exact and thus the best. It reports false if
// the next task fits nowhere.
func (q *candidateQueue) settle(s *Step, devices []*Device, ready float64) bool {
	for len(*q) > 0 {
		first := &(*q)[0]
		if first.exact {
			return true
		}
		if first.evaluate(s, devices[first.device], ready) {
			q.siftDown(0)
		} else {
			q.removeFirst()
		}
	}
	return false
}

// siftDown moves an element whose cost has grown down to its place.
func (q candidateQueue) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q) {
			return
		}
		if child+1 < len(q) && q[child+1].before(&q[child]) {
			child++
		}
		if !q[child].before(&q[i]) {
			return
		}
		q[i], q[child] = q[child], q[i]
		i = child
	}
}

func (q *candidateQueue) removeFirst() {
	last := len(*q) - 1
	(*q)[0] = (*q)[last]
	*q = (*q)[:last]
	q.siftDown(0)
}
