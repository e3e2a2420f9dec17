// The stand-ins of the second review: a state service, a cloud, machines with their workers, and
// users, by the protocol page, and the cases that run the project's controllers against them.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
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
	answered  map[string]time.Time
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
	Ref, Class, Desk, Form, Urgency string
	Tasks                           int
	Cores, GPUs, MemGb              float64
	Build                           string
	PullGb                          float64
	Types                           []string
	Zone                            string
	OneZone, Apart, Spot            bool
	ExpectedS                       float64
	RunS                            float64 // true run time
	Fails                           bool
	cancelAsked                     bool
}

func taskName(id string, i int) string { return fmt.Sprintf("%s/%d", id, i) }

func (j *JobSpec) body() []byte {
	var zone any
	if j.Zone != "" {
		zone = j.Zone
	}
	var types any
	if len(j.Types) > 0 {
		types = j.Types
	}
	b, _ := json.Marshal(map[string]any{"Ref": j.Ref, "Docket": j.Class, "Desk": j.Desk, "Form": j.Form, "Urgency": j.Urgency,
		"Sheets": j.Tasks, "Cores": j.Cores, "Cards": j.GPUs, "MemGb": j.MemGb, "Build": j.Build, "PullGb": j.PullGb, "Breeds": types,
		"Yard": zone, "OneZone": j.OneZone, "Apart": j.Apart, "Loaners": j.Spot, "ExpectedS": j.ExpectedS, "BookmarkS": 0.0,
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

func (b *Bed) answeredAt(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answered[id]
}

func (b *Bed) setAnsweredAt(id string) {
	b.mu.Lock()
	b.answered[id] = time.Now()
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
	os.RemoveAll(b.dir)
	os.Exit(cannotRun)
}

// mustSubmit submits a job, without which the case couldn't run.
func (b *Bed) mustSubmit(node int, j *JobSpec) {
	if !b.Submit(node, j) {
		b.cannotRun("%s was not accepted", j.Ref)
	}
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

// runDir is the temporary folder of the run.
var runDir string

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
	runDir = dir
	b := &Bed{site: site, dir: dir, record: f, began: time.Now(), trouble: trouble, verbose: verbose, program: program,
		jobs: map[string]*JobSpec{}, answered: map[string]time.Time{}, cut: map[int]bool{}, zoneCut: map[string]bool{}, refused: map[string]int{},
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

// CutWorkers cuts all workers from a node.
func (b *Bed) CutWorkers(node int, on bool) {
	b.mu.Lock()
	b.cut[node] = on
	b.mu.Unlock()
	b.note("workers cut from paddock-%d=%v", node, on)
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
	if status == held && slices.Contains(found, "crash") {
		status = cannotRun // a controller ended by itself, so the case was not as it should be
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
		if runDir != "" {
			os.RemoveAll(runDir)
		}
		os.Exit(cannotRun) // the controllers end with this process, see Pdeathsig
	})
	os.Exit(run(*program, *record, trouble, *verbose))
}
