// The stand-ins of the second review: a state service, a cloud, machines with their workers, and
// users, by the protocol page, and the cases that run the project's controllers against them.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// Bed is one small deployment.
type Bed struct {
	site    *Site
	dir     string
	record  *os.File
	began   time.Time
	verbose bool
	trouble bool
	program string
	state   *State
	cloud   *Cloud
	nodes   []*Node
	proxies []*proxy
	checker *Checker

	mu        sync.Mutex
	jobs      map[string]*JobSpec
	told      map[string]time.Time
	ticks     int
	cut       map[int]bool    // nodes that no worker reaches
	zoneCut   map[string]bool // "zone>node" links that are cut
	leaseEnds int
	killed    int
	lateShare float64
	refused   map[string]int // refused reports by node and status
	httpUser  *http.Client
	closed    bool
}

// Node is one controller.
type Node struct {
	i                int
	label, zone      string
	api, peer        string
	stateAt, cloudAt string
	settings         string
	cmd              *exec.Cmd
	mu               sync.Mutex
	exited           chan struct{}
	stopped          bool
}

// JobSpec is a job as its user describes it, with what its tasks do.
type JobSpec struct {
	Ref, Docket, Desk, Form, Urgency string
	Sheets                           int
	Cores, Cards, MemGb              float64
	Build                            string
	PullGb                           float64
	Breeds                           []string
	Yard                             string
	OneZone, Apart, Loaners          bool
	ExpectedS                        float64
	RunS                             float64 // true run time
	Fails                            bool
	cancelAsked                      bool
}

func sheetName(id string, i int) string { return fmt.Sprintf("%s/%d", id, i) }

func (j *JobSpec) body() []byte {
	var yard any
	if j.Yard != "" {
		yard = j.Yard
	}
	var breeds any
	if len(j.Breeds) > 0 {
		breeds = j.Breeds
	}
	b, _ := json.Marshal(map[string]any{"Ref": j.Ref, "Docket": j.Docket, "Desk": j.Desk, "Form": j.Form, "Urgency": j.Urgency,
		"Sheets": j.Sheets, "Cores": j.Cores, "Cards": j.Cards, "MemGb": j.MemGb, "Build": j.Build, "PullGb": j.PullGb, "Breeds": breeds,
		"Yard": yard, "OneZone": j.OneZone, "Apart": j.Apart, "Loaners": j.Loaners, "ExpectedS": j.ExpectedS, "BookmarkS": 0.0,
		"StowS": 0.0, "DueS": nil})
	return b
}

func (b *Bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		fmt.Fprintf(b.record, "%7.2f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (b *Bed) tick() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ticks++
	return b.ticks
}

func (b *Bed) lease() time.Duration { return time.Duration(b.site.LeaseS * float64(time.Second)) }

func (b *Bed) cancelWithin() time.Duration {
	return time.Duration(b.site.CancelS * float64(time.Second))
}

func (b *Bed) job(id string) *JobSpec {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.jobs[id]
}

func (b *Bed) toldAt(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told[id]
}

func (b *Bed) setToldAt(id string) {
	b.mu.Lock()
	b.told[id] = time.Now()
	b.mu.Unlock()
}

// linked reports whether the workers of a zone reach a node.
func (b *Bed) linked(zone string, node int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.cut[node] && !b.zoneCut[fmt.Sprintf("%s>%d", zone, node)]
}

func (b *Bed) refusedReport(w *Worker, node, status, size int, text string) {
	b.mu.Lock()
	key := fmt.Sprintf("%s %d", b.nodes[node].label, status)
	b.refused[key]++
	n := b.refused[key]
	b.mu.Unlock()
	if n <= 5 || status == 400 {
		b.note("machine %s: %s answers %d to a report of %d bytes: %s", w.m.name, b.nodes[node].label, status, size, strings.TrimSpace(text))
	}
}

// lateReports is the share of reports of which a copy arrives again late.
func (b *Bed) lateReports() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lateShare
}

// cannotRun ends the case with the status that says so.
func (b *Bed) cannotRun(format string, args ...any) {
	b.note("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	b.end()
	os.Exit(cannotRun)
}

// end ends every process that the case started.
func (b *Bed) end() {
	for _, n := range b.nodes {
		n.kill()
	}
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(cannotRun)
	}
	return l
}

var givenPorts = map[int]bool{}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr() string {
	// The ports are below those that the system gives to outgoing connections, so that none of
	// these takes the port before the controller does. Each is given once, and two runs at a time
	// mostly use different ones.
	base := 12000 + os.Getpid()%60*300
	for range 2000 {
		port := base + rand.Intn(300)
		if givenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer l.Close()
			givenPorts[port] = true
			return l.Addr().String()
		}
	}
	fmt.Fprintln(os.Stderr, "cannot run: no free port")
	os.Exit(cannotRun)
	return ""
}

func newBed(site *Site, program, record string, trouble, verbose bool) *Bed {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(cannotRun)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(cannotRun)
	}
	b := &Bed{site: site, dir: dir, record: f, began: time.Now(), trouble: trouble, verbose: verbose, program: program,
		jobs: map[string]*JobSpec{}, told: map[string]time.Time{}, cut: map[int]bool{}, zoneCut: map[string]bool{}, refused: map[string]int{},
		httpUser: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	b.checker = newChecker(b)
	b.state = newState(b)
	for i, zone := range site.NodeZones {
		n := &Node{i: i, label: fmt.Sprintf("paddock-%d", i), zone: zone, api: freeAddr(), peer: freeAddr()}
		b.nodes = append(b.nodes, n)
	}
	b.cloud = newCloud(b)
	for k, v := range site.Capacity {
		b.cloud.capacity[k] = v
	}
	for _, n := range b.nodes {
		ls, lc := listen(), listen()
		n.stateAt, n.cloudAt = ls.Addr().String(), lc.Addr().String()
		go http.Serve(ls, b.state.handler(n.label))
		go http.Serve(lc, b.cloud.handler(n.label))
	}
	for _, n := range b.nodes {
		b.writeSettings(n)
	}
	go func() {
		for {
			time.Sleep(200 * time.Millisecond)
			b.checker.overdue()
		}
	}()
	return b
}

func (b *Bed) writeSettings(n *Node) {
	var others []map[string]any
	for _, o := range b.nodes {
		if o != n {
			others = append(others, map[string]any{"label": o.label, "location": o.zone, "peer_addr": b.peerAddr(n, o)})
		}
	}
	var teams []map[string]any
	for _, t := range b.site.Teams {
		teams = append(teams, map[string]any{"name": t.Name, "cpus": t.CPUs, "cpus_max": t.CPUsMax, "gpus": t.GPUs, "gpus_max": t.GPUsMax})
	}
	s := b.site
	v := map[string]any{"label": n.label, "location": n.zone, "api_addr": n.api, "peer_listen": n.peer, "others": others,
		"external": map[string]any{"cloud": n.cloudAt, "state": n.stateAt},
		"deployment": map[string]any{"initial_size": len(b.nodes), "zones": s.Zones, "teams": teams, "objectives": []any{},
			"workers":   map[string]any{"report_s": s.ReportS, "lease_s": s.LeaseS, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": s.CancelS},
			"state":     map[string]any{"rps": s.RPS, "write_rps": s.WriteRPS, "value_kb": s.ValueKB, "txn_ops": s.TxnOps},
			"cloud":     map[string]any{"rps": 5.0, "list_lag_s": s.ListLagS},
			"resources": map[string]any{"core_share": 0.144, "memory_mb": 179.0, "fd_limit": 1500}, "clock_off_ms": 5.0}}
	data, _ := json.MarshalIndent(v, "", " ")
	n.settings = filepath.Join(b.dir, n.label+".json")
	if err := os.WriteFile(n.settings, data, 0o644); err != nil {
		b.cannotRun("%v", err)
	}
}

// peerAddr is the address at which one node reaches another: a proxy of the case.
func (b *Bed) peerAddr(from, to *Node) string {
	p := &proxy{bed: b, from: from.i, to: to, addr: freeAddr()}
	p.open()
	b.proxies = append(b.proxies, p)
	return p.addr
}

// proxy forwards one node's connections to another.
type proxy struct {
	bed      *Bed
	from     int
	to       *Node
	addr     string
	mu       sync.Mutex
	hold     bool
	listener net.Listener
}

func (p *proxy) held() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hold
}

func (p *proxy) waitHeld() {
	for p.held() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *proxy) open() {
	var err error
	for range 50 {
		var l net.Listener
		if l, err = net.Listen("tcp", p.addr); err == nil {
			p.mu.Lock()
			p.listener = l
			p.mu.Unlock()
			go p.serve(l)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.bed.cannotRun("proxy: %v", err)
}

// setHold holds back what is sent on open connections, also their end, and lets no connection
// through while it lasts. A connection attempt that fails in this time never completes later.
func (p *proxy) setHold(on bool) {
	p.mu.Lock()
	was, l := p.hold, p.listener
	p.hold = on
	p.mu.Unlock()
	if on && !was {
		l.Close()
	} else if !on && was {
		p.open()
	}
}

func (p *proxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			out, err := net.DialTimeout("tcp", p.to.peer, time.Second)
			if err != nil {
				return
			}
			defer out.Close()
			go func() { p.copy(c, out); c.Close() }()
			p.copy(out, c)
		}()
	}
}

func (p *proxy) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		p.waitHeld()
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// HoldPeers holds back what a node and the others send each other.
func (b *Bed) HoldPeers(node int, on bool) {
	for _, p := range b.proxies {
		if p.from == node || p.to.i == node {
			p.setHold(on)
		}
	}
	b.note("peers of paddock-%d held=%v", node, on)
}

// HoldPair holds back what two nodes send each other.
func (b *Bed) HoldPair(x, y int, on bool) {
	for _, p := range b.proxies {
		if p.from == x && p.to.i == y || p.from == y && p.to.i == x {
			p.setHold(on)
		}
	}
	b.note("paddock-%d and paddock-%d can't reach each other=%v", x, y, on)
}

// CutWorkers cuts all workers from a node.
func (b *Bed) CutWorkers(node int, on bool) {
	b.mu.Lock()
	b.cut[node] = on
	b.mu.Unlock()
	b.note("workers cut from paddock-%d=%v", node, on)
}

func (b *Bed) start(n *Node) {
	log, err := os.OpenFile(filepath.Join(b.dir, n.label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		b.cannotRun("%v", err)
	}
	cmd := exec.Command(b.program, "--config", n.settings)
	cmd.Stderr, cmd.Stdout = log, log
	level := os.Getenv("CASE_LOG")
	if level == "" {
		level = "info"
	}
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	exited := make(chan struct{})
	go func() {
		// Pdeathsig is sent when the thread that started the process ends, so the thread is kept.
		lockThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			cmd.Wait()
			log.Close()
			close(exited)
		}
	}()
	if err := <-started; err != nil {
		b.cannotRun("%v", err)
	}
	n.mu.Lock()
	n.cmd, n.exited, n.stopped = cmd, exited, false
	n.mu.Unlock()
	b.note("%s started", n.label)
	go func() {
		<-exited
		n.mu.Lock()
		own := n.stopped
		n.mu.Unlock()
		if !own {
			b.checker.breach("crash", "%s ended by itself: %v", n.label, cmd.ProcessState)
		}
	}()
}

func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		n.cmd.Process.Signal(s)
	}
}

func (n *Node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.stopped = true
	n.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-exited
	}
}

// Kill ends a node without a signal that it could handle.
func (b *Bed) Kill(i int) {
	b.nodes[i].kill()
	b.note("%s killed", b.nodes[i].label)
}

// Pause stops a node's process, Resume continues it.
func (b *Bed) Pause(i int) {
	b.nodes[i].signal(syscall.SIGSTOP)
	b.note("%s paused", b.nodes[i].label)
}

// Resume continues a paused node.
func (b *Bed) Resume(i int) {
	b.nodes[i].signal(syscall.SIGCONT)
	b.note("%s resumed", b.nodes[i].label)
}

// startAll starts all nodes and waits until they are healthy and own their shards.
func (b *Bed) startAll() {
	for _, n := range b.nodes {
		b.start(n)
	}
	b.waitHealthy(20 * time.Second)
}

func (b *Bed) waitHealthy(limit time.Duration) {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ok := 0
		for _, n := range b.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+n.api+"/healthz", nil)
			if resp, err := b.httpUser.Do(req); err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					ok++
				}
			}
			cancel()
		}
		owned := true
		for _, z := range b.site.Zones {
			if b.state.Value("part/"+z) == nil {
				owned = false
			}
		}
		if ok == len(b.nodes) && owned {
			b.note("all controllers are healthy and own the shards")
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.cannotRun("the controllers did not become healthy")
}

// owner returns the node that owns a zone's shard, or -1.
func (b *Bed) owner(zone string) int {
	var v struct{ Owner string }
	json.Unmarshal(b.state.Value("part/"+zone), &v)
	for i, n := range b.nodes {
		if n.label == v.Owner {
			return i
		}
	}
	return -1
}

// ask sends a user's request and returns the status, or 0 without an answer, and the standing.
func (b *Bed) ask(node int, method, path string, body []byte, limit time.Duration) (status int, standing string, done int) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+b.nodes[node].api+path, bytes.NewReader(body))
	resp, err := b.httpUser.Do(req)
	if err != nil {
		return 0, "", 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", 0
	}
	var v struct {
		Standing string
		Done     int `json:"done"`
	}
	json.Unmarshal(text, &v)
	return resp.StatusCode, v.Standing, v.Done
}

// Submit submits a job at a node, and at the next one after a second, for up to 60 s.
func (b *Bed) Submit(node int, j *JobSpec) bool {
	b.mu.Lock()
	b.jobs[j.Ref] = j
	b.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for time.Now().Before(end) {
		sent := time.Now()
		status, standing, _ := b.ask(node, "POST", "/v2/runs", j.body(), 5*time.Second)
		b.note("user: submit %s (%d tasks) at paddock-%d: %d %s", j.Ref, j.Sheets, node, status, standing)
		b.checker.answer(j.Ref, sent, status, standing, true)
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
		time.Sleep(time.Second)
		node = (node + 1) % len(b.nodes)
	}
	return false
}

// Poll asks for a job once.
func (b *Bed) Poll(node int, id string) (status int, standing string, done int) {
	sent := time.Now()
	status, standing, done = b.ask(node, "GET", "/v2/runs/"+id, nil, 2*time.Second)
	if b.verbose || status != 200 {
		b.note("user: poll %s at paddock-%d: %d %s", id, node, status, standing)
	}
	b.checker.answer(id, sent, status, standing, false)
	return status, standing, done
}

// Cancel cancels a job, at the given node first, for up to 60 s.
func (b *Bed) Cancel(node int, id string) (string, bool) {
	b.mu.Lock()
	b.jobs[id].cancelAsked = true
	b.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for time.Now().Before(end) {
		sent := time.Now()
		status, standing, _ := b.ask(node, "POST", "/v2/runs/"+id+"/withdraw", nil, 5*time.Second)
		b.note("user: withdraw %s at paddock-%d: %d %s", id, node, status, standing)
		b.checker.answer(id, sent, status, standing, false)
		if status == 200 {
			return standing, true
		}
		time.Sleep(time.Second)
		node = (node + 1) % len(b.nodes)
	}
	return "", false
}

// WaitDone polls the jobs until each is done or cancelled, or the time is over. It returns those
// that are not.
func (b *Bed) WaitDone(until time.Time, ids ...string) []string {
	open := ids
	for node := 0; len(open) > 0; node++ {
		var left []string
		for _, id := range open {
			status, standing, _ := b.Poll(node%len(b.nodes), id)
			if status != 200 || standing != "done" && standing != "withdrawn" {
				left = append(left, id)
			} else {
				b.note("user: %s is %s", id, standing)
			}
		}
		open = left
		if len(open) == 0 || time.Now().After(until) {
			return open
		}
		time.Sleep(time.Second)
	}
	return open
}

func (b *Bed) sleepUntil(s float64) {
	time.Sleep(time.Until(b.began.Add(time.Duration(s * float64(time.Second)))))
}

// finish ends the case: it prints the result and returns its status.
func (b *Bed) finish(rules ...string) int {
	b.end()
	found := b.checker.Broken()
	status := held
	for _, f := range found {
		for _, r := range rules {
			if f == r {
				status = broken
			}
		}
	}
	b.note("result: broken rules %v, checked %v, starts %d, lease ends %d, tasks killed by them %d, refused reports %v", found, rules,
		b.checker.starts, b.leaseEnds, b.killed, b.refused)
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	if os.Getenv("CASE_KEEP") == "" {
		os.RemoveAll(b.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", b.dir)
	}
	fmt.Printf("broken rules: %v\n", found)
	return status
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file of the record")
	program := flag.String("program", "target/roadcleat", "the controller")
	verbose := flag.Bool("v", false, "record each launch, start and end")
	limit := flag.Duration("limit", 118*time.Second, "the longest time")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "cannot run: no such case")
		os.Exit(cannotRun)
	}
	if _, err := os.Stat(*program); err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(*limit, func() {
		fmt.Fprintln(os.Stderr, "cannot run: out of time")
		os.Exit(cannotRun) // the controllers end with this process, see Pdeathsig
	})
	os.Exit(run(*program, *record, trouble, *verbose))
}
