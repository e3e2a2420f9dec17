package main

import (
	"sync"
	"time"
)

func init() { register("commands", prairieform(), heldCommands) }

// heldCommands holds up the direct commands to the machines of a zone for 20 s, while the machines'
// reports and the answers to them arrive. A job that may run only on these machines must start
// within 90 s after that.
func heldCommands(l *lab) {
	const zone, kind = "winnipeg-colo", "bison"
	l.cloud.capacity = map[machineKind]int{{kind, zone, false}: 1, {kind, zone, true}: 2}
	var machines []*machine
	l.cloud.mu.Lock()
	for i := range 3 {
		machines = append(machines, l.cloud.addMachine(kind, zone, i > 0, 0))
		machines[i].rentedAt = time.Now().Add(-time.Minute)
	}
	l.cloud.mu.Unlock()
	l.startAll()
	newJob := func(number int, run time.Duration) *jobSpec {
		job := newArray(number, len(machines), "drafting-office-0", 9, run)
		job.Types, job.Zone, job.ExpectedS = []string{kind}, new(zone), 30
		return job
	}
	settled := func() bool {
		for _, m := range machines {
			if !m.hasToken() {
				return false
			}
		}
		return true
	}
	if !waitFor(20*time.Second, settled) {
		giveUp("the machines' reports are not answered")
	}
	time.Sleep(1530 * time.Millisecond) // each machine has reported the token
	if l.trouble {
		l.record("from now on direct commands are held up for 2 to 16 s and get no answer")
		l.holdCommands(true)
	}
	begin := time.Now()
	for i := range 3 {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * 8500 * time.Millisecond)))
		job := newJob(101+i, 500*time.Millisecond)
		if !l.submit(i, job) {
			giveUp("%s is not accepted", job.Ref)
		}
	}
	l.askOften(l.ownerOf(zone), "job-000101", begin.Add(19800*time.Millisecond), begin.Add(20200*time.Millisecond))
	last := newJob(200, 5*time.Second)
	if !l.submit(0, last) {
		giveUp("%s is not accepted", last.Ref)
	}
	time.Sleep(time.Until(begin.Add(20500 * time.Millisecond)))
	l.holdCommands(false)
	l.record("direct commands arrive at once from now on")
	over := time.Now()
	waitFor(90*time.Second, func() bool { return l.checker.startsOf(last.Ref) > 0 })
	l.poll(l.nodes[0], last.Ref)
	if l.checker.startsOf(last.Ref) == 0 {
		l.checker.mu.Lock()
		defer l.checker.mu.Unlock()
		l.checker.broken("left_waiting", "%s has waited for %.0f s since the commands arrive again, with machines that fit, report and are empty",
			last.Ref, time.Since(over).Seconds())
	}
}

// askOften lets four users ask for a finished job from one moment to another.
func (l *lab) askOften(n *node, id string, from, until time.Time) {
	time.Sleep(time.Until(from))
	var users sync.WaitGroup
	for range 4 {
		users.Go(func() {
			for time.Now().Before(until) {
				l.poll(n, id)
				time.Sleep(time.Millisecond)
			}
		})
	}
	users.Wait()
}
