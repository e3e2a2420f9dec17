package plan

// gangStartToleranceSeconds is the maximum difference between the starts of a gang's tasks.
const gangStartToleranceSeconds = 1e-9

// PlaceTasks places equal, independent tasks one by one, each on the machine on which it finishes
// earliest, and records their allocations on the given devices. It is Solve for a pipeline of one
// step, without copying devices. A gang starts at the first time at which all its tasks fit.
// PlaceTasks stops at the first task that fits nowhere or when visit returns false, and returns
// the number of tasks placed.
//
// A machine is first ranked by a lower bound on its finish time. It is evaluated exactly only
// when no other machine can be better, so the cost on a large fleet is dominated by the few
// machines that may be best.
func PlaceTasks(step *Step, tasks int, devices []*Device, ready float64, visit func(Placement) bool) int {
	if step.Gang {
		step, ready = gangStep(step, tasks, devices, ready)
	}
	queue := newCandidateQueue(step, devices, ready)
	for task := range tasks {
		if !queue.settleFirst(step, devices, ready) {
			return task
		}
		best := &queue[0]
		devices[best.device].allocate(step, best.start, best.finish)
		if !visit(Placement{Task: task, Device: best.device, Start: best.start, Finish: best.finish}) {
			return task + 1
		}
		// Only this machine has changed, and the next task on it never finishes earlier than this
		// one, so its cost is now a lower bound.
		best.isExact = false
		queue.siftDown(0)
	}
	return tasks
}

// gangStep returns a gang's step with all its tasks and the time at which all of them fit, which
// is also their latest start. Without that limit, a short task could have a lower cost after
// another one on a cheap machine than beside it on a more expensive one.
func gangStep(step *Step, tasks int, devices []*Device, ready float64) (*Step, float64) {
	gang := *step
	gang.Tasks = tasks
	start := (&partialSchedule{}).gangStartTime(&gang, devices, ready)
	gang.LatestStart = start + gangStartToleranceSeconds
	return &gang, start
}

// candidate is a machine with the cost of the next task on it.
type candidate struct {
	device        int     // index of the machine
	cost          float64 // finish time plus Device.costSeconds
	isExact       bool    // if false, cost is a lower bound and start and finish are not set
	start, finish float64 // of the next task
}

// evaluate computes the exact cost and reports whether the task can start by the step's latest
// start.
func (c *candidate) evaluate(step *Step, device *Device, ready float64) bool {
	start, finish, fits := device.earliestFit(step, ready)
	c.start, c.finish, c.cost, c.isExact = start, finish, finish+device.costSeconds(step), true
	return fits && (step.LatestStart == 0 || start <= step.LatestStart)
}

// isBefore orders candidates by cost. Of two candidates of equal cost, one whose cost is a lower
// bound comes first, so that among equally good machines the first in the caller's order is
// chosen.
func (c *candidate) isBefore(other *candidate) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	if c.isExact != other.isExact {
		return !c.isExact
	}
	return c.device < other.device
}

// candidateQueue is a binary min-heap of machines ordered by isBefore.
type candidateQueue []candidate

// newCandidateQueue returns a heap of all devices that can run tasks of the step, with lower
// bounds as costs.
func newCandidateQueue(step *Step, devices []*Device, ready float64) candidateQueue {
	queue := make(candidateQueue, 0, len(devices))
	for deviceIndex, device := range devices {
		if !step.isAllowedOn(device) {
			continue
		}
		if bound, fits := device.finishLowerBound(step, ready); fits {
			queue = append(queue, candidate{device: deviceIndex, cost: bound + device.costSeconds(step)})
		}
	}
	for i := len(queue)/2 - 1; i >= 0; i-- {
		queue.siftDown(i)
	}
	return queue
}

// settleFirst evaluates candidates until the cost of the first one is exact, so that it is the
// best. It reports false if the next task fits nowhere.
func (q *candidateQueue) settleFirst(step *Step, devices []*Device, ready float64) bool {
	for len(*q) > 0 {
		first := &(*q)[0]
		if first.isExact {
			return true
		}
		if first.evaluate(step, devices[first.device], ready) {
			q.siftDown(0)
		} else {
			q.removeFirst()
		}
	}
	return false
}

// siftDown restores the heap order after the cost of the element i has grown.
func (q candidateQueue) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q) {
			return
		}
		if child+1 < len(q) && q[child+1].isBefore(&q[child]) {
			child++
		}
		if !q[child].isBefore(&q[i]) {
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
