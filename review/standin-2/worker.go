package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in for the worker on a machine, by the protocol page.
type Worker struct {
	bed *Bed
	m   *Machine

	mu        sync.Mutex
	listener  net.Listener
	addr      string
	server    *http.Server
	client    *http.Client
	up        bool
	dead      bool
	shift     uint64
	tally     uint64
	baton     uint64
	batonSeen time.Time // when a higher token last counted as a change
	renewed   time.Time // when the last answered report was sent, or the session began
	node      int
	tasks     map[string]*wtask // by task and attempt
	images    map[string]time.Time
	changed   chan struct{}

	// Faults.
	mute     bool // its reports reach no controller
	deaf     bool // answers to its reports, and direct commands, are lost
	hungTill time.Time
	lateCmd  time.Duration // direct commands are carried out this much later, unanswered
	faulty   bool          // tasks fail on it, half a second after their start
	biggest  int           // size of the largest report
}

type wtask struct {
	sheet    string
	try      uint64
	standing string
	cause    string
	cores    float64
	cards    float64
	mem      float64
	job      *JobSpec
	since    time.Time
	order    int
	ready    time.Time // when its image is there
	left     time.Duration
	last     time.Time
	began    time.Time
}

func (t *wtask) key() string { return fmt.Sprintf("%s#%d", t.sheet, t.try) }

func newWorker(b *Bed, m *Machine) *Worker {
	w := &Worker{bed: b, m: m, shift: 1, tasks: map[string]*wtask{}, images: map[string]time.Time{}, changed: make(chan struct{}, 1),
		node: rand.Intn(len(b.nodes))}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannotRun("worker: %v", err)
	}
	w.listener, w.addr = l, l.Addr().String()
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	return w
}

func (w *Worker) start() {
	w.mu.Lock()
	w.up, w.renewed = true, time.Now()
	w.mu.Unlock()
	w.bed.note("machine %s (%s in %s, spot=%v) is up", w.m.name, w.m.typ, w.m.zone, w.m.spot)
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go w.server.Serve(w.listener)
	go w.reports()
	go w.run()
}

func (w *Worker) stop() {
	w.mu.Lock()
	w.dead = true
	for _, t := range w.tasks {
		w.leave(t, "machine gone")
	}
	w.tasks = map[string]*wtask{}
	w.mu.Unlock()
	w.listener.Close()
	if w.server != nil {
		w.server.Close()
	}
}

// leave notes the end of a task's stay on the machine.
func (w *Worker) leave(t *wtask, why string) {
	if t.standing == "running" || t.standing == "flushing" {
		w.bed.checker.ended(w, t, why)
	}
}

func (w *Worker) isDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// waitHung waits while the machine hangs.
func (w *Worker) waitHung() {
	for {
		w.mu.Lock()
		d := time.Until(w.hungTill)
		dead := w.dead
		w.mu.Unlock()
		if d <= 0 || dead {
			return
		}
		time.Sleep(min(d, 100*time.Millisecond))
	}
}

func (w *Worker) poke() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// run advances the tasks and the lease.
func (w *Worker) run() {
	for !w.isDead() {
		time.Sleep(20 * time.Millisecond)
		w.waitHung()
		w.mu.Lock()
		now := time.Now()
		if now.Sub(w.renewed) > w.bed.lease() {
			w.expireLease(now)
		}
		for _, t := range w.tasks {
			switch t.standing {
			case "fetching":
				if now.After(t.ready) {
					if w.bed.checker.resultKept(t.sheet) {
						t.standing, t.cause = "ended", "done"
					} else if t.job.Fails {
						t.standing, t.cause = "ended", "error"
					} else {
						t.standing, t.last, t.began = "running", now, now
						w.bed.checker.started(w, t)
					}
					w.poke()
				}
			case "running":
				if w.faulty && now.Sub(t.began) > 500*time.Millisecond {
					w.leave(t, "error")
					t.standing, t.cause = "ended", "error"
					w.poke()
					continue
				}
				d := now.Sub(t.last)
				t.last = now
				if d > 200*time.Millisecond {
					d = 20 * time.Millisecond // it hung
				}
				if t.left -= d; t.left <= 0 && t.job.Form != "daemon" {
					w.leave(t, "done")
					t.standing, t.cause = "ended", "done"
					w.bed.checker.completed(t.sheet)
					w.poke()
				}
			}
		}
		w.mu.Unlock()
	}
}

func (w *Worker) expireLease(now time.Time) {
	n := len(w.tasks)
	for _, t := range w.tasks {
		w.leave(t, "lease expired")
	}
	w.tasks, w.images = map[string]*wtask{}, map[string]time.Time{}
	w.shift++
	w.renewed = now
	w.bed.note("machine %s: lease expired, %d tasks killed, session %d begins", w.m.name, n, w.shift)
	w.bed.mu.Lock()
	w.bed.leaseEnds++
	w.bed.killed += n
	w.bed.mu.Unlock()
	w.poke()
}

// report returns the worker's report; the caller holds the lock.
func (w *Worker) report() []byte {
	w.tally++
	list := make([]*wtask, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].order < list[j].order })
	type sheet struct {
		Sheet    string
		Try      uint64
		Standing string
		Cause    string `json:",omitempty"`
		Saved    bool   `json:",omitempty"`
	}
	sheets := []sheet{}
	for _, t := range list {
		sheets = append(sheets, sheet{t.sheet, t.try, t.standing, t.cause, false})
	}
	b, _ := json.Marshal(struct {
		Host, Endpoint, Breed, Yard string
		Loaners                     bool
		Shift, Tally, Baton         uint64
		RecallS                     *float64
		Sheets                      []sheet
	}{w.m.name, w.addr, w.m.typ, w.m.zone, w.m.spot, w.shift, w.tally, w.baton, nil, sheets})
	if len(b) > w.biggest {
		w.biggest = len(b)
	}
	return b
}

func (w *Worker) reports() {
	for !w.isDead() {
		w.waitHung()
		pause := w.sendReport()
		began := time.Now()
		wait := time.Duration(w.bed.site.ReportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
		if pause > 0 {
			time.Sleep(pause)
			continue
		}
		time.Sleep(500 * time.Millisecond)
		select {
		case <-w.changed:
		case <-time.After(wait - time.Since(began)):
		}
	}
}

// sendReport sends one report. It returns a pause after which the next node is tried, or 0.
func (w *Worker) sendReport() time.Duration {
	w.mu.Lock()
	body, sent, shift, node, mute := w.report(), time.Now(), w.shift, w.node, w.mute
	w.mu.Unlock()
	next := func() time.Duration {
		w.mu.Lock()
		w.node = (node + 1) % len(w.bed.nodes)
		w.mu.Unlock()
		return time.Second
	}
	if mute || !w.bed.linked(w.m.zone, node) {
		time.Sleep(1500 * time.Millisecond)
		return next()
	}
	if rand.Float64() < w.bed.lateReports() {
		go w.copyLate(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+w.bed.nodes[node].api+"/agent/beat", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return next()
	}
	answer, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	w.waitHung()
	w.mu.Lock()
	deaf := w.deaf
	w.mu.Unlock()
	if err != nil || deaf || time.Since(sent) > 4*time.Second {
		return next()
	}
	switch resp.StatusCode {
	case 200:
	case 421:
		var q struct{ Foreman string }
		json.Unmarshal(answer, &q)
		w.client.CloseIdleConnections()
		for i, n := range w.bed.nodes {
			if n.label == q.Foreman && i != node {
				w.mu.Lock()
				w.node = i
				w.mu.Unlock()
				return 50 * time.Millisecond
			}
		}
		return next()
	default:
		w.bed.refusedReport(w, node, resp.StatusCode, len(body), string(answer))
		return next()
	}
	var q struct {
		Baton  *uint64
		Orders []order
	}
	json.Unmarshal(answer, &q)
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.Baton == nil || *q.Baton < w.baton || shift != w.shift {
		return 0
	}
	w.renewed = sent
	w.sawToken(*q.Baton)
	w.execute(q.Orders, fmt.Sprintf("answer of %s", w.bed.nodes[node].label))
	return 0
}

// copyLate sends a copy of a report again, from 2 s to well over a lease later, to every node.
func (w *Worker) copyLate(body []byte) {
	time.Sleep(2*time.Second + time.Duration(rand.Float64()*1.5*float64(w.bed.lease())))
	for _, n := range w.bed.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+n.api+"/agent/beat", bytes.NewReader(body))
		if resp, err := w.client.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		cancel()
	}
}

func (w *Worker) sawToken(t uint64) {
	if t > w.baton {
		w.baton = t
		if time.Since(w.batonSeen) > w.bed.lease()/2 {
			w.batonSeen = time.Now()
			w.poke()
		}
	}
}

type order struct {
	Verb, Sheet string
	Try         uint64
	LeewayS     float64
}

// execute carries out commands; the caller holds the lock.
func (w *Worker) execute(orders []order, from string) {
	for _, o := range orders {
		key := fmt.Sprintf("%s#%d", o.Sheet, o.Try)
		t := w.tasks[key]
		switch o.Verb {
		case "launch":
			if t == nil {
				w.launch(o, key, from)
			}
		case "halt":
			if t != nil && t.standing != "ended" {
				w.leave(t, "halt")
				t.standing, t.cause = "ended", "stopped"
				w.poke()
			}
		case "clear":
			if t != nil && t.standing == "ended" {
				delete(w.tasks, key)
				w.poke()
			}
		}
	}
}

func (w *Worker) launch(o order, key, from string) {
	w.bed.tick()
	t := &wtask{sheet: o.Sheet, try: o.Try, since: time.Now(), order: w.bed.tick()}
	w.tasks[key] = t
	defer w.poke()
	w.bed.checker.launched(w, t, from)
	id, _, _ := strings.Cut(o.Sheet, "/")
	t.job = w.bed.job(id)
	if t.job == nil {
		t.job = &JobSpec{}
		t.standing, t.cause = "ended", "no_such"
		return
	}
	var cores, cards, mem float64
	for _, other := range w.tasks {
		if other != t && other.standing != "ended" {
			if other.sheet == o.Sheet {
				t.standing, t.cause = "ended", "in_use"
				return
			}
			cores += other.cores
			cards += other.cards
			mem += other.mem
		}
	}
	typ := w.bed.site.typ(w.m.typ)
	if cores+t.job.Cores > typ.Cores+1e-9 || cards+t.job.Cards > typ.GPUs+1e-9 || mem+t.job.MemGb > typ.MemGB+1e-9 {
		t.standing, t.cause = "ended", "full"
		return
	}
	t.cores, t.cards, t.mem = t.job.Cores, t.job.Cards, t.job.MemGb
	t.left = time.Duration(t.job.RunS * float64(time.Second))
	t.standing = "fetching"
	now := time.Now()
	if at, ok := w.images[t.job.Build]; ok {
		t.ready = at
	} else {
		t.ready = now.Add(time.Duration(t.job.PullGb / typ.PullGBPerS * float64(time.Second)))
		w.images[t.job.Build] = t.ready
	}
	if t.ready.Before(now) {
		t.ready = now
	}
}

// serve handles direct commands and questions.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.waitHung()
	w.mu.Lock()
	deaf, late := w.deaf, w.lateCmd
	w.mu.Unlock()
	if deaf {
		never(rw, r)
	}
	if r.URL.Path == "/show" {
		w.mu.Lock()
		b := w.report()
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		rw.Write(b)
		return
	}
	var q struct {
		Baton, Shift *uint64
		Orders       []order
	}
	if json.Unmarshal(body, &q) != nil || q.Baton == nil || q.Shift == nil {
		reply(rw, 400, map[string]any{"error": "malformed"})
		return
	}
	if late > 0 && len(q.Orders) > 0 {
		go func() {
			time.Sleep(late)
			w.waitHung()
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.dead && *q.Baton >= w.baton && *q.Shift == w.shift {
				w.sawToken(*q.Baton)
				w.execute(q.Orders, "late direct call")
			}
		}()
		never(rw, r)
	}
	w.mu.Lock()
	status := 200
	if w.dead {
		w.mu.Unlock()
		never(rw, r)
	}
	if *q.Baton < w.baton || *q.Shift != w.shift {
		status = 409
	} else {
		w.sawToken(*q.Baton)
		w.execute(q.Orders, "direct call")
	}
	b := w.report()
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	rw.Write(b)
}

// onMachine returns how many tasks are on the machine and not ended.
func (w *Worker) onMachine() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.tasks {
		if t.standing != "ended" {
			n++
		}
	}
	return n
}
