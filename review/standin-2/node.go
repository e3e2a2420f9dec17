package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// start starts a node.
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
