package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// attempt is a task on a machine.
type attempt struct {
	task  string
	try   uint64
	state string // fetching, running, flushing, ended
	cause string
	saved bool
	timer *time.Timer
}

// attemptKey identifies an attempt.
type attemptKey struct {
	task string
	try  uint64
}

// order is a command of a controller to a worker.
type order struct {
	Verb         string
	Task         string `json:"Sheet"`
	Try          uint64
	GraceSeconds float64 `json:"LeewayS"`
}

// machine is a rented machine with its worker.
type machine struct {
	lab      *lab
	name     string
	typeName string
	zone     string
	spot     bool
	address  string
	rentedAt time.Time
	upAt     time.Time

	mu          sync.Mutex
	up          bool
	removed     bool
	incarnation uint64
	tally       uint64
	token       uint64
	leaseFrom   time.Time // when the last answered report was sent, or the incarnation began
	tasks       map[attemptKey]*attempt
	images      map[string]bool
	changed     chan struct{}
	node        int // the controller to which the worker reports
	listener    net.Listener
	lastCommand map[string][]byte // body of the newest direct call with a launch, by task
	cleared     []attemptKey
}

func newMachine(l *lab, name, typeName, zone string, spot bool) *machine {
	m := &machine{
		lab: l, name: name, typeName: typeName, zone: zone, spot: spot,
		incarnation: 1, tasks: map[attemptKey]*attempt{}, images: map[string]bool{},
		changed: make(chan struct{}, 1), lastCommand: map[string][]byte{},
	}
	m.listener = listenLoopback()
	m.address = m.listener.Addr().String()
	return m
}

// boot lets the worker start to report.
func (m *machine) boot() {
	m.mu.Lock()
	if m.removed {
		m.mu.Unlock()
		return
	}
	m.up, m.leaseFrom = true, time.Now()
	m.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(m.handle)}
	go func() { _ = server.Serve(m.listener) }()
	m.node = rand.IntN(len(m.lab.nodes))
	go m.report()
	go m.watchLease()
}

// end ends the machine with everything on it.
func (m *machine) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removed {
		return
	}
	m.removed = true
	m.killAll("the machine is gone")
	m.listener.Close()
}

// killAll ends all tasks and forgets them. The machine is locked.
func (m *machine) killAll(why string) {
	for _, a := range m.tasks {
		if a.timer != nil {
			a.timer.Stop()
		}
		if a.state == "running" || a.state == "flushing" {
			m.lab.checker.stopped(a.task, a.try, m, why)
		}
	}
	m.tasks = map[attemptKey]*attempt{}
}

func (m *machine) watchLease() {
	for range time.Tick(50 * time.Millisecond) {
		m.mu.Lock()
		if m.removed {
			m.mu.Unlock()
			return
		}
		if time.Since(m.leaseFrom) > m.lab.site.lease {
			m.lab.record("%s: lease of incarnation %d expired, %d tasks killed", m.name, m.incarnation, len(m.tasks))
			m.killAll("lease expired")
			m.incarnation++
			m.leaseFrom = time.Now()
			m.signal()
		}
		m.mu.Unlock()
	}
}

func (m *machine) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

type taskReport struct {
	Task  string `json:"Sheet"`
	Try   uint64
	State string `json:"Standing"`
	Cause string `json:",omitempty"`
	Saved bool   `json:",omitempty"`
}

// status returns the worker's report with the next number. The machine is locked.
func (m *machine) status() []byte {
	m.tally++
	reported := []taskReport{}
	for _, a := range m.tasks {
		reported = append(reported, taskReport{a.task, a.try, a.state, a.cause, a.saved})
	}
	sort.Slice(reported, func(i, j int) bool {
		return reported[i].Task < reported[j].Task || reported[i].Task == reported[j].Task && reported[i].Try < reported[j].Try
	})
	body, _ := json.Marshal(map[string]any{
		"Host": m.name, "Endpoint": m.address, "Breed": m.typeName, "Yard": m.zone, "Loaners": m.spot,
		"Shift": m.incarnation, "Tally": m.tally, "Baton": m.token, "RecallS": nil, "Sheets": reported,
	})
	return body
}

// report sends reports until the machine is gone.
func (m *machine) report() {
	client := &http.Client{Timeout: 4 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for {
		m.mu.Lock()
		if m.removed {
			m.mu.Unlock()
			return
		}
		sent, incarnation, body := time.Now(), m.incarnation, m.status()
		m.mu.Unlock()
		wait := m.sendReport(client, sent, incarnation, body)
		timer := time.NewTimer(wait)
		if wait > time.Second {
			time.Sleep(500*time.Millisecond - min(time.Since(sent), 500*time.Millisecond))
			select {
			case <-timer.C:
			case <-m.changed:
			}
		} else {
			<-timer.C
		}
		timer.Stop()
	}
}

// sendReport sends one report and returns the time until the next one.
func (m *machine) sendReport(client *http.Client, sent time.Time, incarnation uint64, body []byte) time.Duration {
	nextNode := func() { m.node = (m.node + 1) % len(m.lab.nodes) }
	resp, err := client.Post("http://"+m.lab.nodes[m.node].workerAddr()+"/agent/beat", "application/json", bytes.NewReader(body))
	if err != nil {
		nextNode()
		return time.Second
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || time.Since(sent) > 4*time.Second {
		nextNode()
		return time.Second
	}
	switch resp.StatusCode {
	case 200:
		var reply struct {
			Token  uint64 `json:"Baton"`
			Orders []order
		}
		if json.Unmarshal(text, &reply) == nil {
			m.mu.Lock()
			if reply.Token >= m.token && incarnation == m.incarnation && !m.removed {
				m.token = reply.Token
				m.leaseFrom = sent
				m.carryOut(reply.Orders, "in a reply")
			}
			m.mu.Unlock()
		}
		interval := m.lab.site.report
		return time.Duration(float64(interval) * (0.75 + 0.5*rand.Float64()))
	case 421:
		var reply struct {
			Owner string `json:"Foreman"`
		}
		_ = json.Unmarshal(text, &reply)
		for i, n := range m.lab.nodes {
			if n.cfg.label == reply.Owner && i != m.node {
				client.CloseIdleConnections()
				m.node = i
				return time.Duration(rand.IntN(500)) * time.Millisecond
			}
		}
	}
	nextNode()
	return time.Second
}

// handle serves direct calls.
func (m *machine) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		return
	}
	if delay := m.lab.commandDelay(); delay > 0 && r.URL.Path == "/orders" {
		time.Sleep(delay)
		m.direct(r.URL.Path, body)
		<-r.Context().Done() // no answer
		return
	}
	status, text := m.direct(r.URL.Path, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// direct carries out a direct call.
func (m *machine) direct(path string, body []byte) (int, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removed || path != "/orders" {
		return 200, m.status()
	}
	var req struct {
		Token       *uint64 `json:"Baton"`
		Incarnation *uint64 `json:"Shift"`
		Orders      []order
	}
	if json.Unmarshal(body, &req) != nil || req.Token == nil || req.Incarnation == nil {
		return 400, nil
	}
	if *req.Token < m.token || *req.Incarnation != m.incarnation {
		return 409, m.status()
	}
	if *req.Token > m.token {
		m.token = *req.Token
		m.signal()
	}
	for _, o := range req.Orders {
		if o.Verb == "launch" {
			m.lastCommand[o.Task] = body
		}
	}
	m.carryOut(req.Orders, "in a direct call")
	return 200, m.status()
}
