package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
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
		j := &JobSpec{Ref: fmt.Sprintf("job-%06d", 412+i), Docket: "redline-diff", Desk: "drafting-office-a", Form: "array", Urgency: "normal",
			Sheets: 640, Cores: 0.01, MemGb: 0.02, Build: "img-1", PullGb: 0.5, Yard: b.site.Zones[0], Loaners: true, ExpectedS: 30, RunS: 30}
		b.Submit(0, j)
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

// unlearned restarts the owner of a shard while its zone and another one can't reach each other,
// and while jobs are accepted in that other zone. Two answers of the state service take a few
// hundred milliseconds. The rule is broken if a job still waits 90 s after all that, beside a
// machine that fits and has room.
func unlearned(program, record string, trouble, verbose bool) int {
	b := newBed(prairie(), program, record, trouble, verbose)
	b.startAll()
	b.initial()
	owner, other := 2, 1 // winnipeg-colo and saskatoon-annex, as on the site's rough day
	zone, desk := b.nodes[owner].zone, "drafting-office-a"
	// A long task keeps a machine with room in the zone, whose idle machines are returned.
	long := &JobSpec{Ref: "job-000001", Docket: "clause-refresh", Desk: desk, Form: "array", Urgency: "normal", Sheets: 1, Cores: 2, MemGb: 4,
		Build: "img-1", PullGb: 0.3, Yard: zone, Loaners: true, ExpectedS: 150, RunS: 150}
	b.sleepUntil(1)
	b.Submit(other, long)
	b.sleepUntil(2.5)

	// Jobs of a burst, submitted at the controller of the other zone and bound to zones.
	var mu sync.Mutex
	var ids []string
	seq := 100
	submit := func(yard string) {
		mu.Lock()
		seq++
		j := &JobSpec{Ref: fmt.Sprintf("job-%06d", seq), Docket: "redline-diff", Desk: desk, Form: "array", Urgency: "normal", Sheets: 1, Cores: 2,
			MemGb: 4, Build: "img-1", PullGb: 0.3, Yard: yard, Loaners: true, ExpectedS: 2, RunS: 2}
		mu.Unlock()
		if b.Submit(other, j) {
			mu.Lock()
			ids = append(ids, j.Ref)
			mu.Unlock()
		}
	}
	var once sync.Once
	asked, compared := 0, 0
	b.state.Set(func() {
		b.state.slow = func(node string, r *http.Request, body []byte) time.Duration {
			// After the restart, the second listing of part/ takes 300 ms, and the first
			// transaction that only compares takes 400 ms.
			mu.Lock()
			defer mu.Unlock()
			switch {
			case node != b.nodes[owner].label || !trouble:
			case r.URL.Path == "/store" && r.URL.Query().Get("Starts") == "part/":
				if asked++; asked == 2 {
					b.note("state: a listing of part/ for %s takes 300 ms", node)
					return 300 * time.Millisecond
				}
			case r.URL.Path == "/commit" && !strings.Contains(string(body), `"Apply"`):
				if compared++; compared == 1 {
					b.note("state: a comparison for %s takes 400 ms", node)
					return 400 * time.Millisecond
				}
			}
			return 0
		}
		b.state.after = func(node string, r *http.Request) {
			if node == b.nodes[owner].label && r.URL.Path == "/store" && r.URL.Query().Get("Starts") == "slice/"+zone+"/" {
				once.Do(func() {
					b.note("state: %s has listed the assignments of %s", node, zone)
					go submit(zone)
				})
			}
		}
	})
	if trouble {
		b.HoldPair(owner, other, true)
		b.Kill(owner)
		time.Sleep(300 * time.Millisecond)
		b.start(b.nodes[owner])
	} else {
		go submit(zone)
	}
	var wg sync.WaitGroup
	for b.sleepUntil(3.5); time.Since(b.began) < 18*time.Second; time.Sleep(500 * time.Millisecond) {
		wg.Add(1)
		go func() { defer wg.Done(); submit(b.nodes[other].zone) }()
	}
	wg.Wait()
	b.sleepUntil(20)
	if trouble {
		b.HoldPair(owner, other, false)
	}
	over := time.Now()
	// The users' connections stay with the controller that took their jobs.
	left := append([]string(nil), ids...)
	for time.Since(over) < 90*time.Second && len(left) > 0 {
		var open []string
		for _, id := range left {
			if status, standing, _ := b.Poll(other, id); status != 200 || standing != "done" {
				open = append(open, id)
			}
		}
		left = open
		time.Sleep(time.Second)
	}
	for _, m := range b.cloud.Machines() {
		b.note("machine %s (%s in %s): %d tasks", m.name, m.typ, m.zone, m.worker.onMachine())
	}
	if len(left) > 0 {
		b.checker.breach("left_waiting", "%v wait 90 s after the end of all troubles", left)
	}
	return b.finish("left_waiting")
}

// faultyMachines has tasks fail on two machines of one zone. The rule is broken if a sound job still
// waits 90 s after its acceptance while sound machines that fit have room.
func faultyMachines(program, record string, trouble, verbose bool) int {
	b := newBed(prairie(), program, record, trouble, verbose)
	b.startAll()
	b.initial()
	if trouble {
		for _, m := range b.cloud.Machines() {
			if m.zone == b.site.Zones[0] && (m.typ == "bison" || m.typ == "combine") {
				m.worker.mu.Lock()
				m.worker.faulty = true
				m.worker.mu.Unlock()
				b.note("machine %s (%s in %s) is faulty", m.name, m.typ, m.zone)
			}
		}
	}
	// Long tasks keep a sound machine with room in each of the other zones, whose idle machines are returned.
	b.sleepUntil(1)
	for i, zone := range b.site.Zones[1:] {
		b.Submit(i, &JobSpec{Ref: fmt.Sprintf("job-%06d", 1+i), Docket: "clause-refresh", Desk: "drafting-office-a", Form: "array", Urgency: "normal",
			Sheets: 1, Cores: 2, MemGb: 36, Build: "img-1", PullGb: 0.5, Yard: zone, Loaners: true, ExpectedS: 200, RunS: 200})
	}
	var ids []string
	accepted := map[string]time.Time{}
	for i := range 4 {
		b.sleepUntil(4 + 3*float64(i))
		j := &JobSpec{Ref: fmt.Sprintf("job-%06d", 500+i), Docket: "clause-refresh", Desk: "drafting-office-b", Form: "array", Urgency: "normal",
			Sheets: 2, Cores: 8, MemGb: 36, Build: "img-2", PullGb: 0.5, Loaners: true, ExpectedS: 15, RunS: 10}
		if b.Submit(i%len(b.nodes), j) {
			ids = append(ids, j.Ref)
			accepted[j.Ref] = time.Now()
		}
	}
	left := ids
	for node := 0; len(left) > 0; node++ {
		var open []string
		for _, id := range left {
			status, standing, done := b.Poll(node%len(b.nodes), id)
			if status == 200 && standing == "done" {
				b.note("user: %s is done", id)
				continue
			}
			if time.Since(accepted[id]) > 95*time.Second {
				b.note("user: %s is not done 95 s after its acceptance: %d tasks done", id, done)
				room := 0
				for _, m := range b.cloud.Machines() {
					on := m.worker.onMachine()
					m.worker.mu.Lock()
					faulty, up := m.worker.faulty, m.worker.up
					m.worker.mu.Unlock()
					b.note("machine %s (%s in %s): faulty=%v, %d tasks", m.name, m.typ, m.zone, faulty, on)
					if up && !faulty && on <= 1 && m.typ != "gopher" {
						room++
					}
				}
				if room > 0 {
					b.checker.breach("left_waiting", "%s waits 95 s after its acceptance; %d sound machines that fit have room", id, room)
				}
				continue
			}
			open = append(open, id)
		}
		left = open
		time.Sleep(time.Second)
	}
	return b.finish("left_waiting")
}
