package main

import (
	"fmt"
	"time"
)

func init() { register("repeat", swanlic(), repeatedLaunch) }

// repeatedLaunch lets a task fail on one machine and run on another. Then the owner of the shard
// is killed, and the launch that it had sent to the first machine, which was carried out and
// answered, is repeated 2 s later.
func repeatedLaunch(l *lab) {
	l.startAll()
	owner := l.ownerOf("perth-rack")
	zone := "perth-rack"
	job := newArray(412, 1, "vendor-liaison", 3, 100*time.Second)
	job.Zone = &zone
	job.outcome = func(_ string, try uint64, m *machine) (time.Duration, string) {
		if try == 1 && len(m.cleared) == 0 {
			return time.Second, "error"
		}
		return 100 * time.Second, "done"
	}
	if !l.submit(1, job) {
		giveUp("the job is not accepted")
	}
	task := job.Ref + "/0"
	var first *machine
	if !waitFor(20*time.Second, func() bool { first = l.checker.machineOf(task); return first != nil }) {
		giveUp("the task does not start")
	}
	runsElsewhere := func() bool {
		m := l.checker.machineOf(task)
		return m != nil && m != first && len(first.clearedOf(task)) > 0
	}
	if !waitFor(30*time.Second, runsElsewhere) {
		giveUp("the task does not run on another machine")
	}
	time.Sleep(time.Second)
	if l.trouble {
		owner.kill()
		time.Sleep(2 * time.Second)
		l.record("the launch of %s attempt 1, which was carried out and answered, arrives at %s again", task, first.name)
		status := first.repeatLaunch(task)
		l.record("%s answers it with %d", first.name, status)
		time.Sleep(l.site.restartDelay - 2*time.Second)
		owner.start()
	}
	time.Sleep(20 * time.Second)
	l.poll(l.nodes[(owner.index+1)%3], job.Ref)
	if l.checker.startsOf(job.Ref) < 2 {
		giveUp("%s", fmt.Sprintf("the job started %d times", l.checker.startsOf(job.Ref)))
	}
}
