package main

import (
	"encoding/json"
	"fmt"
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

// node is a controller: a process of its own, started with the command of the deploy file.
type node struct {
	lab       *lab
	index     int
	cfg       nodeConfig
	apiAddr   string
	peerAddr  string
	workers   *proxy   // workers reach the controller through it
	stateLink *proxy   // the controller reaches the state service through it
	peerLinks []*proxy // by index of the other controller, which this one reaches through it

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool // it was killed by the scenario
}

func (n *node) workerAddr() string { return n.workers.addr() }

// settings writes the settings file of the controller.
func (n *node) settings() string {
	s := n.lab.site
	others := []map[string]string{}
	for i, other := range n.lab.nodes {
		if i != n.index {
			others = append(others, map[string]string{"label": other.cfg.label, "location": other.cfg.zone, "peer_addr": n.peerLinks[i].addr()})
		}
	}
	settings := map[string]any{
		"label": n.cfg.label, "location": n.cfg.zone, "api_addr": n.apiAddr, "peer_listen": n.peerAddr,
		"others":   others,
		"external": map[string]string{"cloud": n.lab.cloudAddr, "state": n.stateLink.addr()},
		"deployment": map[string]any{
			"initial_size": len(n.lab.nodes), "zones": s.zones, "teams": s.teams, "objectives": []any{},
			"workers": map[string]any{"report_s": s.report.Seconds(), "lease_s": s.lease.Seconds(), "gang_wait_s": 35.0,
				"gang_peer_s": 6.0, "cancel_s": s.cancel.Seconds()},
			"state":     map[string]any{"rps": s.stateRPS, "write_rps": s.stateWriteRPS, "value_kb": s.valueKB, "txn_ops": s.txnOps},
			"cloud":     map[string]any{"rps": s.cloudRPS, "list_lag_s": s.listLag.Seconds()},
			"resources": map[string]any{"core_share": s.coreShare, "memory_mb": s.memoryMB, "fd_limit": s.sockets},

			"clock_off_ms": 5.0,
		},
	}
	body, _ := json.MarshalIndent(settings, "", "  ")
	path := filepath.Join(n.lab.dir, n.cfg.label+".json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		giveUp("settings: %v", err)
	}
	return path
}

// start starts the controller's process.
func (n *node) start() {
	command := append(strings.Fields(n.lab.runCommand), n.settings())
	logFile, err := os.OpenFile(filepath.Join(n.lab.dir, n.cfg.label+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		giveUp("log: %v", err)
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stderr = logFile
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+n.lab.logLevel)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		giveUp("start of %s: %v", n.cfg.label, err)
	}
	n.lab.record("%s starts, process %d", n.cfg.label, cmd.Process.Pid)
	exited := make(chan struct{})
	go n.openPeerAccess(exited)
	n.mu.Lock()
	n.cmd, n.exited, n.ended = cmd, exited, false
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		logFile.Close()
		n.mu.Lock()
		if !n.ended {
			n.lab.checker.broken("crash", "%s ended by itself: %v", n.cfg.label, err)
		}
		n.mu.Unlock()
		close(exited)
	}()
}

// kill ends the controller's process without notice.
func (n *node) kill() {
	n.mu.Lock()
	if n.cmd == nil || n.ended {
		n.mu.Unlock()
		return
	}
	n.ended = true
	_ = n.cmd.Process.Kill()
	exited := n.exited
	n.mu.Unlock()
	<-exited
	n.setPeerAccess(refuse)
	n.lab.record("%s is killed", n.cfg.label)
}

// openPeerAccess lets the other controllers connect once the process listens.
func (n *node) openPeerAccess(exited chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", n.apiAddr, time.Second)
		if err == nil {
			conn.Close()
			n.setPeerAccess(pass)
			return
		}
		select {
		case <-exited:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// setPeerAccess lets the other controllers' connections to this one be refused, as they are while
// its process is down, or accepted.
func (n *node) setPeerAccess(mode proxyMode) {
	for _, other := range n.lab.nodes {
		if other != n {
			other.peerLinks[n.index].set(mode)
		}
	}
}

// restart kills the process and starts it again after the delay.
func (n *node) restart(delay time.Duration) {
	n.kill()
	time.Sleep(delay)
	n.start()
}

// healthy reports whether the health check of the controller succeeds.
func (n *node) healthy() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.apiAddr + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// shardStatus is the state of a shard as a controller prints it for operators.
type shardStatus struct {
	Zone   string `json:"zone"`
	Owner  string `json:"owner"`
	Token  uint64 `json:"token"`
	Here   bool   `json:"here"`
	Loaded bool   `json:"loaded"`
}

// shards returns the operators' status of the shards at this controller.
func (n *node) shards() []shardStatus {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + n.apiAddr + "/status")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var status struct {
		Shards []shardStatus `json:"parts"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&status)
	return status.Shards
}

// ownerOf returns the controller that owns and has loaded a zone's shard, or nil.
func (l *lab) ownerOf(zone string) *node {
	for _, n := range l.nodes {
		for _, shard := range n.shards() {
			if shard.Zone == zone && shard.Here && shard.Loaded {
				return n
			}
		}
	}
	return nil
}

// waitFor waits until the condition holds and reports whether it does before the time is over.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// giveUp ends the run as one that couldn't be carried out.
func giveUp(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if theLab != nil {
		theLab.record("could not run: "+format, args...)
		theLab.end()
	}
	os.Exit(2)
}
