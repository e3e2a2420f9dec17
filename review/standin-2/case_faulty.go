package main

import (
	"fmt"
	"time"
)

// faultyMachines has tasks fail on two machines of one zone. The rule is broken if a sound job still
// waits 95 s after its acceptance while sound machines that fit have free capacity.
func faultyMachines(program, record string, trouble, verbose bool) int {
	b := newBed(prairie(), program, record, trouble, verbose)
	b.startAll()
	b.initial()
	if trouble {
		b.makeFaulty(b.site.Zones[0])
	}
	// Long tasks keep a sound machine with free capacity in each of the other zones, whose idle machines are returned.
	b.sleepUntil(1)
	for i, zone := range b.site.Zones[1:] {
		b.mustSubmit(i, &JobSpec{Ref: fmt.Sprintf("job-%06d", 1+i), Class: "clause-refresh", Desk: "drafting-office-a", Form: "array", Urgency: "normal",
			Tasks: 1, Cores: 2, MemGb: 36, Build: "img-1", PullGb: 0.5, Zone: zone, Spot: true, ExpectedS: 200, RunS: 200})
	}
	accepted := map[string]time.Time{}
	var left []string
	for i := range 4 {
		b.sleepUntil(4 + 3*float64(i))
		j := &JobSpec{Ref: fmt.Sprintf("job-%06d", 500+i), Class: "clause-refresh", Desk: "drafting-office-b", Form: "array", Urgency: "normal",
			Tasks: 2, Cores: 8, MemGb: 36, Build: "img-2", PullGb: 0.5, Spot: true, ExpectedS: 15, RunS: 10}
		b.mustSubmit(i%len(b.nodes), j)
		left = append(left, j.Ref)
		accepted[j.Ref] = time.Now()
	}
	for node := 0; len(left) > 0; node++ {
		var open []string
		for _, id := range left {
			status, state, done := b.Poll(node%len(b.nodes), id)
			switch {
			case status == 200 && state == "done":
				b.note("user: %s is done", id)
			case time.Since(accepted[id]) > 95*time.Second:
				b.note("user: %s is not done 95 s after its acceptance: %d tasks done", id, done)
				if free := b.soundAndFree(); free > 0 {
					b.checker.breach("left_waiting", "%s waits 95 s after its acceptance; %d sound machines that fit have free capacity", id, free)
				}
			default:
				open = append(open, id)
			}
		}
		left = open
		time.Sleep(time.Second)
	}
	return b.finish("left_waiting")
}

// makeFaulty makes the larger two machines of a zone faulty.
func (b *Bed) makeFaulty(zone string) {
	for _, m := range b.cloud.Machines() {
		if m.zone == zone && m.typ != "gopher" {
			m.worker.mu.Lock()
			m.worker.faulty = true
			m.worker.mu.Unlock()
			b.note("machine %s (%s in %s) is faulty", m.name, m.typ, m.zone)
		}
	}
}

// soundAndFree counts the larger machines that are up, not faulty and hold at most one task.
func (b *Bed) soundAndFree() int {
	free := 0
	for _, m := range b.cloud.Machines() {
		on := m.worker.onMachine()
		m.worker.mu.Lock()
		faulty, up := m.worker.faulty, m.worker.up
		m.worker.mu.Unlock()
		b.note("machine %s (%s in %s): faulty=%v, %d tasks", m.name, m.typ, m.zone, faulty, on)
		if up && !faulty && on <= 1 && m.typ != "gopher" {
			free++
		}
	}
	return free
}
