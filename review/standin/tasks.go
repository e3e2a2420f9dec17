package main

import (
	"strings"
	"time"
)

// carryOut executes commands in order. The machine is locked.
func (m *machine) carryOut(orders []order, how string) {
	for _, o := range orders {
		a := m.tasks[attemptKey{o.Task, o.Try}]
		switch {
		case o.Verb == "launch" && a == nil:
			m.launch(o, how)
		case a == nil:
		case o.Verb == "halt":
			m.stop(a, o.GraceSeconds)
		case o.Verb == "clear" && a.state == "ended":
			m.lab.record("%s: %s attempt %d is cleared", m.name, o.Task, o.Try)
			delete(m.tasks, attemptKey{o.Task, o.Try})
			m.cleared = append(m.cleared, attemptKey{o.Task, o.Try})
		}
	}
}

// launch starts an attempt, or refuses it.
func (m *machine) launch(o order, how string) {
	spec := m.lab.spec(strings.Split(o.Task, "/")[0])
	inUse := false
	for _, other := range m.tasks {
		inUse = inUse || other.task == o.Task && other.state != "ended"
	}
	a := &attempt{task: o.Task, try: o.Try, state: "fetching"}
	m.lab.record("%s: launch of %s attempt %d %s, token %d, incarnation %d", m.name, o.Task, o.Try, how, m.token, m.incarnation)
	m.signal()
	m.tasks[attemptKey{o.Task, o.Try}] = a
	switch {
	case inUse:
		a.state, a.cause = "ended", "in_use"
		return
	case spec == nil:
		a.state, a.cause = "ended", "no_such"
		return
	case !m.hasCapacity():
		a.state, a.cause = "ended", "full"
		return
	}
	fetch := 10 * time.Millisecond
	if !m.images[spec.Build] {
		fetch += time.Duration(spec.PullGb / m.lab.site.machineType(m.typeName).PullGbPerS * float64(time.Second))
	}
	a.timer = time.AfterFunc(fetch, func() { m.fetched(a, spec) })
}

// hasCapacity reports whether the machine can hold its tasks, the newest among them.
func (m *machine) hasCapacity() bool {
	cores, memory := 0.0, 0.0
	for _, a := range m.tasks {
		if s := m.lab.spec(strings.Split(a.task, "/")[0]); a.state != "ended" && s != nil {
			cores += s.Cores
			memory += s.MemGb
		}
	}
	t := m.lab.site.machineType(m.typeName)
	return cores <= t.Cores+1e-6 && memory <= t.MemGb+1e-6
}

// fetched begins the run of an attempt whose image is there.
func (m *machine) fetched(a *attempt, spec *jobSpec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removed || m.tasks[attemptKey{a.task, a.try}] != a || a.state != "fetching" {
		return
	}
	m.images[spec.Build] = true
	if m.lab.checker.isDone(a.task) {
		a.state, a.cause = "ended", "done"
		m.signal()
		return
	}
	a.state = "running"
	m.lab.checker.started(a.task, a.try, m, spec)
	m.signal()
	run := spec.run
	cause := "done"
	if spec.outcome != nil {
		run, cause = spec.outcome(a.task, a.try, m)
	}
	if run > 0 {
		a.timer = time.AfterFunc(run, func() { m.finish(a, cause) })
	}
}

// finish ends a running attempt.
func (m *machine) finish(a *attempt, cause string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removed || m.tasks[attemptKey{a.task, a.try}] != a || a.state == "ended" {
		return
	}
	a.state, a.cause = "ended", cause
	m.lab.checker.stopped(a.task, a.try, m, cause)
	if cause == "done" {
		m.lab.checker.done(a.task)
	}
	m.signal()
}

// halt stops an attempt.
func (m *machine) stop(a *attempt, grace float64) {
	spec := m.lab.spec(strings.Split(a.task, "/")[0])
	if a.state == "ended" {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.state == "running" && spec != nil && spec.CheckpointSeconds > 0 && grace >= spec.SaveSeconds {
		a.state = "flushing"
		a.timer = time.AfterFunc(time.Duration(spec.SaveSeconds*float64(time.Second)), func() {
			a.saved = true
			m.finish(a, "stopped")
		})
		m.signal()
		return
	}
	wasOn := a.state == "running" || a.state == "flushing"
	a.state, a.cause = "ended", "stopped"
	if wasOn {
		m.lab.checker.stopped(a.task, a.try, m, "stopped")
	}
	m.signal()
}

// clearedOf returns the cleared attempts of a task.
func (m *machine) clearedOf(task string) (tries []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range m.cleared {
		if key.task == task {
			tries = append(tries, key.try)
		}
	}
	return tries
}

// repeatLaunch carries out the newest direct call with a launch of a task once more, and returns
// the status of the answer.
func (m *machine) repeatLaunch(task string) int {
	m.mu.Lock()
	body := m.lastCommand[task]
	m.mu.Unlock()
	if body == nil {
		giveUp("no direct launch of %s was sent to %s", task, m.name)
	}
	status, _ := m.direct("/orders", body)
	return status
}

// hasToken reports whether the worker has received a token.
func (m *machine) hasToken() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.token > 0
}
