package main

import (
	"fmt"
	"time"
)

var cases = map[string]func(program, record string, trouble, verbose bool) int{
	"small-tasks": smallTasks,
	"unlearned":   unlearned,
	"faulty":      faultyMachines,
}

// smallTasks submits arrays of small tasks for one zone: one array, or, with the disruption, two
// at a time. The rule is broken if a machine without any fault has its reports refused until its
// lease ends, so that tasks of accepted jobs are killed.
func smallTasks(program, record string, trouble, verbose bool) int {
	b := newBed(prairie(), program, record, trouble, verbose)
	b.startAll()
	b.initial()
	time.Sleep(4 * time.Second)
	jobs := 1
	if trouble {
		jobs = 2
	}
	var ids []string
	for i := range jobs {
		j := &JobSpec{Ref: fmt.Sprintf("job-%06d", 412+i), Class: "redline-diff", Desk: "drafting-office-a", Form: "array", Urgency: "normal",
			Tasks: 640, Cores: 0.01, MemGb: 0.02, Build: "img-1", PullGb: 0.5, Zone: b.site.Zones[0], Spot: true, ExpectedS: 30, RunS: 30}
		b.mustSubmit(0, j)
		ids = append(ids, j.Ref)
	}
	open := b.WaitDone(b.began.Add(100*time.Second), ids...)
	b.note("unfinished after 100 s: %v", open)
	for _, m := range b.cloud.Machines() {
		b.note("machine %s: largest report %d bytes", m.name, m.worker.biggest)
	}
	b.mu.Lock()
	lost, refused400 := b.killed, 0
	for _, n := range b.nodes {
		refused400 += b.refused[n.label+" 400"]
	}
	b.mu.Unlock()
	if lost > 0 && refused400 > 0 {
		b.checker.breach("lost_work", "%d tasks of accepted jobs were killed as leases ended on machines without a fault; %d reports got 400",
			lost, refused400)
	}
	return b.finish("lost_work")
}
