package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in for the worker on a machine, by the protocol page.
type Worker struct {
	bed *Bed
	m   *Machine

	mu          sync.Mutex
	listener    net.Listener
	addr        string
	server      *http.Server
	client      *http.Client
	up          bool
	dead        bool
	incarnation uint64
	tally       uint64
	token       uint64
	tokenSeen   time.Time // when a higher token last counted as a change
	renewed     time.Time // when the last answered report was sent, or the session began
	node        int
	tasks       map[string]*wtask // by task and attempt
	images      map[string]time.Time
	changed     chan struct{}

	// Faults.
	cannotReport bool // its reports reach no controller
	losesAnswers bool // answers to its reports, and direct commands, are lost
	hungTill     time.Time
	lateCmd      time.Duration // direct commands are carried out this much later, unanswered
	faulty       bool          // tasks fail on it, half a second after their start
	biggest      int           // size of the largest report
}

type wtask struct {
	task  string
	try   uint64
	state string
	cause string
	cores float64
	gpus  float64
	mem   float64
	job   *JobSpec
	since time.Time
	order int
	ready time.Time // when its image is there
	left  time.Duration
	last  time.Time
	began time.Time
}

func (t *wtask) key() string { return fmt.Sprintf("%s#%d", t.task, t.try) }

func newWorker(b *Bed, m *Machine) *Worker {
	w := &Worker{bed: b, m: m, incarnation: 1, tasks: map[string]*wtask{}, images: map[string]time.Time{}, changed: make(chan struct{}, 1),
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
	if t.state == "running" || t.state == "flushing" {
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
			switch t.state {
			case "fetching":
				if now.After(t.ready) {
					if w.bed.checker.resultKept(t.task) {
						t.state, t.cause = "ended", "done"
					} else if t.job.Fails {
						t.state, t.cause = "ended", "error"
					} else {
						t.state, t.last, t.began = "running", now, now
						w.bed.checker.started(w, t)
					}
					w.poke()
				}
			case "running":
				if w.faulty && now.Sub(t.began) > 500*time.Millisecond {
					w.leave(t, "error")
					t.state, t.cause = "ended", "error"
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
					t.state, t.cause = "ended", "done"
					w.bed.checker.completed(t.task)
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
	w.incarnation++
	w.renewed = now
	w.bed.note("machine %s: lease expired, %d tasks killed, session %d begins", w.m.name, n, w.incarnation)
	w.bed.mu.Lock()
	w.bed.leaseEnds++
	w.bed.killed += n
	w.bed.mu.Unlock()
	w.poke()
}

type order struct {
	Verb string
	Task string `json:"Sheet"`
	Try  uint64
}

// execute carries out commands; the caller holds the lock.
func (w *Worker) execute(orders []order, from string) {
	for _, o := range orders {
		key := fmt.Sprintf("%s#%d", o.Task, o.Try)
		t := w.tasks[key]
		switch o.Verb {
		case "launch":
			if t == nil {
				w.launch(o, key, from)
			}
		case "halt":
			if t != nil && t.state != "ended" {
				w.leave(t, "halt")
				t.state, t.cause = "ended", "stopped"
				w.poke()
			}
		case "clear":
			if t != nil && t.state == "ended" {
				delete(w.tasks, key)
				w.poke()
			}
		}
	}
}

func (w *Worker) launch(o order, key, from string) {
	w.bed.tick()
	t := &wtask{task: o.Task, try: o.Try, since: time.Now(), order: w.bed.tick()}
	w.tasks[key] = t
	defer w.poke()
	w.bed.checker.launched(w, t, from)
	id, _, _ := strings.Cut(o.Task, "/")
	t.job = w.bed.job(id)
	if t.job == nil {
		t.job = &JobSpec{}
		t.state, t.cause = "ended", "no_such"
		return
	}
	var cores, gpus, mem float64
	for _, other := range w.tasks {
		if other != t && other.state != "ended" {
			if other.task == o.Task {
				t.state, t.cause = "ended", "in_use"
				return
			}
			cores += other.cores
			gpus += other.gpus
			mem += other.mem
		}
	}
	typ := w.bed.site.typ(w.m.typ)
	if cores+t.job.Cores > typ.Cores+1e-9 || gpus+t.job.GPUs > typ.GPUs+1e-9 || mem+t.job.MemGb > typ.MemGB+1e-9 {
		t.state, t.cause = "ended", "full"
		return
	}
	t.cores, t.gpus, t.mem = t.job.Cores, t.job.GPUs, t.job.MemGb
	t.left = time.Duration(t.job.RunS * float64(time.Second))
	t.state = "fetching"
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
	losesAnswers, late := w.losesAnswers, w.lateCmd
	w.mu.Unlock()
	if losesAnswers {
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
		Token       *uint64 `json:"Baton"`
		Incarnation *uint64 `json:"Shift"`
		Orders      []order
	}
	if json.Unmarshal(body, &q) != nil || q.Token == nil || q.Incarnation == nil {
		reply(rw, 400, map[string]any{"error": "malformed"})
		return
	}
	if late > 0 && len(q.Orders) > 0 {
		go func() {
			time.Sleep(late)
			w.waitHung()
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.dead && *q.Token >= w.token && *q.Incarnation == w.incarnation {
				w.sawToken(*q.Token)
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
	if *q.Token < w.token || *q.Incarnation != w.incarnation {
		status = 409
	} else {
		w.sawToken(*q.Token)
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
		if t.state != "ended" {
			n++
		}
	}
	return n
}
