package fake

import (
	"container/heap"
	"time"
)

// conditionCheckInterval is how often RunUntil checks its condition.
const conditionCheckInterval = 100 * time.Millisecond

// scheduledEvent is a function to be run at a simulated time.
type scheduledEvent struct {
	at  time.Duration
	seq int // number of the event in scheduling order
	run func()
}

// eventQueue is a heap.Interface that yields events ordered by time, and events of the same
// time in the order in which they were scheduled.
type eventQueue []scheduledEvent

// Len implements sort.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Swap implements sort.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// After schedules f to run once the simulated time has advanced by d.
func (sim *Simulation) After(d time.Duration, f func()) {
	sim.lastEventSeq++
	heap.Push(&sim.eventQueue, scheduledEvent{at: sim.Now + d, seq: sim.lastEventSeq, run: f})
}

// repeatEvery runs f now and then once per interval until the simulation ends.
func (sim *Simulation) repeatEvery(interval time.Duration, f func()) {
	sim.repeatWhile(interval, func() bool {
		f()
		return true
	})
}

// repeatWhile runs f now and then once per interval, until f returns false. All runs share
// one closure, because each machine of a large fleet runs several of them per second.
func (sim *Simulation) repeatWhile(interval time.Duration, f func() bool) {
	var run func()
	run = func() {
		if f() {
			sim.After(interval, run)
		}
	}
	run()
}

// Run advances the simulated time by d and runs the events due meanwhile.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.Now + d
	for len(sim.eventQueue) > 0 && sim.eventQueue[0].at <= end {
		e := heap.Pop(&sim.eventQueue).(scheduledEvent)
		sim.Now = e.at
		e.run()
	}
	sim.Now = end
}

// RunUntil advances the simulated time until the condition holds, at most by d rounded up to a
// multiple of conditionCheckInterval, and reports whether the condition holds.
func (sim *Simulation) RunUntil(d time.Duration, condition func() bool) bool {
	for end := sim.Now + d; sim.Now < end; {
		if condition() {
			return true
		}
		sim.Run(conditionCheckInterval)
	}
	return condition()
}
