// Command standin stands in for the state service, the cloud, the machines and the users of a small
// deployment against controllers that run as processes of their own, and checks the rules of
// PROTOCOL by what users, machines and the platform see.
//
//	standin CASE RECORD
//
// CASE names a scenario, RECORD is the file for what was sent, answered and run. With TROUBLE=0 in
// the environment the disruption is left out. The exit status is 1 if a rule was broken, 0 if none
// was, and 2 if the scenario couldn't be carried out.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// lab is a deployment of stand-ins and controllers.
type lab struct {
	site       *site
	dir        string
	runCommand string
	logLevel   string
	trouble    bool
	state      *stateService
	cloud      *cloud
	cloudAddr  string
	nodes      []*node
	checker    *checker
	begin      time.Time

	mu     sync.Mutex
	specs  map[string]*jobSpec
	output *os.File
	held   bool // direct calls are held up and get no answer
}

// theLab is the deployment of this run.
var theLab *lab

// scenario is a case: a site, and what happens there.
type scenario struct {
	site *site
	run  func(*lab)
}

// scenarios are the cases by name.
var scenarios = map[string]scenario{}

func register(name string, s *site, run func(*lab)) { scenarios[name] = scenario{s, run} }

// timeLimit ends a run in any case.
const timeLimit = 118 * time.Second

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	scenario := scenarios[os.Args[1]]
	l := newLab(scenario.site, os.Args[2])
	theLab = l
	time.AfterFunc(timeLimit, func() { giveUp("the time is over") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { giveUp("ended by %v", <-signals) }()
	l.record("case %s, site %s, disruption %t", os.Args[1], l.site.name, l.trouble)
	scenario.run(l)
	l.end()
	l.checker.mu.Lock()
	defer l.checker.mu.Unlock()
	for _, fault := range l.checker.faults {
		fmt.Println("broken:", fault)
	}
	if len(l.checker.faults) > 0 {
		l.record("result: a rule was broken")
		os.Exit(1)
	}
	l.record("result: no rule was broken")
	fmt.Println("no rule was broken")
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

func newLab(s *site, recordPath string) *lab {
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil || runLine.FindSubmatch(deploy) == nil {
		giveUp("deploy/service.toml: %v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		giveUp("temporary folder: %v", err)
	}
	output, err := os.Create(recordPath)
	if err != nil {
		giveUp("record: %v", err)
	}
	l := &lab{
		site: s, dir: dir, runCommand: string(runLine.FindSubmatch(deploy)[1]), logLevel: "info",
		trouble: os.Getenv("TROUBLE") != "0", begin: time.Now(), specs: map[string]*jobSpec{}, output: output,
	}
	l.checker = newChecker(l)
	l.state = newStateService(s)
	go l.state.expireLeases()
	l.cloud = newCloud(l)
	cloudListener := listenLoopback()
	l.cloudAddr = cloudListener.Addr().String()
	l.cloud.serve(cloudListener)
	for i, cfg := range s.nodes {
		n := &node{lab: l, index: i, cfg: cfg, apiAddr: freeAddr(), peerAddr: freeAddr()}
		stateListener := listenLoopback()
		l.state.serve(i, stateListener)
		n.stateLink = newProxy(stateListener.Addr().String())
		n.workers = newProxy(n.apiAddr)
		l.nodes = append(l.nodes, n)
	}
	for i, n := range l.nodes {
		for j, other := range l.nodes {
			if i == j {
				n.peerLinks = append(n.peerLinks, nil)
				continue
			}
			n.peerLinks = append(n.peerLinks, newProxy(other.peerAddr))
		}
	}
	return l
}

// loopback is the address of this run's controllers and proxies, one of the loopback range that no
// other run is likely to use.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// givenAddrs are the addresses that freeAddr has returned.
var givenAddrs = map[string]bool{}

// freeAddr returns an address that nothing listens on and that it has not returned before. Its port
// is below those that the system gives to outgoing connections, so that it stays free while a
// controller is down.
func freeAddr() string {
	for range 1000 {
		addr := fmt.Sprintf("%s:%d", loopback, 12000+rand.IntN(18000))
		if givenAddrs[addr] {
			continue
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			givenAddrs[addr] = true
			return addr
		}
	}
	giveUp("no free port")
	return ""
}

// startAll starts all controllers and waits until each shard has an owner.
func (l *lab) startAll() {
	for _, n := range l.nodes {
		n.start()
	}
	ready := waitFor(20*time.Second, func() bool {
		for _, n := range l.nodes {
			if !n.healthy() {
				return false
			}
		}
		for _, zone := range l.site.zones {
			if l.ownerOf(zone) == nil {
				return false
			}
		}
		return true
	})
	if !ready {
		giveUp("the controllers are not ready")
	}
}

// end ends the controllers and removes the temporary folder.
func (l *lab) end() {
	for _, n := range l.nodes {
		n.kill()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(l.dir, keep)
		return
	}
	_ = os.RemoveAll(l.dir)
}

// record writes a line to the record.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.output != nil {
		fmt.Fprintf(l.output, "%8.3f %s\n", time.Since(l.begin).Seconds(), fmt.Sprintf(format, args...))
	}
}

// holdCommands lets direct calls be held up from now on, or not any more.
func (l *lab) holdCommands(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
}

// commandDelay returns for how long a direct call is held up, 0 if it is not.
func (l *lab) commandDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return 0
	}
	return 2*time.Second + time.Duration(rand.IntN(14000))*time.Millisecond
}

func (l *lab) addSpec(spec *jobSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.specs[spec.Ref] == nil {
		l.specs[spec.Ref] = spec
	}
}

// spec returns a job that was submitted, or nil.
func (l *lab) spec(id string) *jobSpec {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.specs[id]
}
