package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// unlearnedRun is a run of the case unlearned.
type unlearnedRun struct {
	bed          *Bed
	owner, other int
	zone         string
	mu           sync.Mutex
	ids          []string
	seq          int
	asked        int // listings of part/ by the owner
	compared     int // transactions of the owner that only compare
	once         sync.Once
}

// unlearned restarts the owner of a shard while its zone and another one can't reach each other,
// and while jobs are accepted in that other zone. Two answers of the state service take a few
// hundred milliseconds. The rule is broken if a job still waits 90 s after all that, beside a
// machine that fits and has free capacity.
func unlearned(program, record string, trouble, verbose bool) int {
	b := newBed(prairie(), program, record, trouble, verbose)
	b.startAll()
	b.initial()
	// winnipeg-colo and saskatoon-annex, as on the site's rough day
	r := &unlearnedRun{bed: b, owner: 2, other: 1, zone: b.nodes[2].zone, seq: 100}
	// A long task keeps a machine with free capacity in the zone, whose idle machines are returned.
	b.sleepUntil(1)
	b.mustSubmit(r.other, r.job("job-000001", r.zone, 150))
	b.sleepUntil(2.5)
	b.state.Set(func() { b.state.slow, b.state.after = r.slow, r.after })
	if trouble {
		b.HoldPair(r.owner, r.other, true)
		b.Kill(r.owner)
		time.Sleep(300 * time.Millisecond)
		b.start(b.nodes[r.owner])
	} else {
		go r.submit(r.zone)
	}
	var wg sync.WaitGroup
	for b.sleepUntil(3.5); time.Since(b.began) < 18*time.Second; time.Sleep(500 * time.Millisecond) {
		wg.Go(func() { r.submit(b.nodes[r.other].zone) })
	}
	wg.Wait()
	b.sleepUntil(20)
	if trouble {
		b.HoldPair(r.owner, r.other, false)
	}
	r.mu.Lock()
	asked, compared := r.asked, r.compared
	r.mu.Unlock()
	if trouble && (asked < 2 || compared < 1) {
		b.cannotRun("the restarted controller made %d listings and %d comparisons", asked, compared)
	}
	left := r.wait(90 * time.Second)
	for _, m := range b.cloud.Machines() {
		b.note("machine %s (%s in %s): %d tasks", m.name, m.typ, m.zone, m.worker.onMachine())
	}
	if len(left) > 0 {
		b.checker.breach("left_waiting", "%v wait 90 s after the end of all troubles", left)
	}
	return b.finish("left_waiting")
}

func (r *unlearnedRun) job(id, zone string, runS float64) *JobSpec {
	return &JobSpec{Ref: id, Class: "redline-diff", Desk: "drafting-office-a", Form: "array", Urgency: "normal", Tasks: 1, Cores: 2, MemGb: 4,
		Build: "img-1", PullGb: 0.3, Zone: zone, Spot: true, ExpectedS: runS, RunS: runS}
}

// submit submits a job that is bound to a zone, at the controller of the other zone.
func (r *unlearnedRun) submit(zone string) {
	r.mu.Lock()
	r.seq++
	j := r.job(fmt.Sprintf("job-%06d", r.seq), zone, 2)
	r.mu.Unlock()
	r.bed.mustSubmit(r.other, j)
	r.mu.Lock()
	r.ids = append(r.ids, j.Ref)
	r.mu.Unlock()
}

// slow has, after the restart, the second listing of part/ take 300 ms, and the first transaction
// that only compares 400 ms.
func (r *unlearnedRun) slow(node string, req *http.Request, body []byte) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case node != r.bed.nodes[r.owner].label:
	case req.URL.Path == "/store" && req.URL.Query().Get("Starts") == "part/":
		if r.asked++; r.asked == 2 {
			r.bed.note("state: a listing of part/ for %s takes 300 ms", node)
			return 300 * time.Millisecond
		}
	case req.URL.Path == "/commit" && !strings.Contains(string(body), `"Apply"`):
		if r.compared++; r.compared == 1 {
			r.bed.note("state: a comparison for %s takes 400 ms", node)
			return 400 * time.Millisecond
		}
	}
	return 0
}

// after submits a job for the zone once its assignments have been listed.
func (r *unlearnedRun) after(node string, req *http.Request) {
	if node == r.bed.nodes[r.owner].label && req.URL.Path == "/store" && req.URL.Query().Get("Starts") == "slice/"+r.zone+"/" {
		r.once.Do(func() {
			r.bed.note("state: %s has listed the assignments of %s", node, r.zone)
			go r.submit(r.zone)
		})
	}
}

// wait polls the jobs until they are done, and returns those that are not in time. The users'
// connections stay with the controller that took their jobs.
func (r *unlearnedRun) wait(limit time.Duration) []string {
	over := time.Now()
	r.mu.Lock()
	left := append([]string(nil), r.ids...)
	r.mu.Unlock()
	for time.Since(over) < limit && len(left) > 0 {
		var open []string
		for _, id := range left {
			if status, state, _ := r.bed.Poll(r.other, id); status != 200 || state != "done" {
				open = append(open, id)
			}
		}
		left = open
		time.Sleep(time.Second)
	}
	return left
}
