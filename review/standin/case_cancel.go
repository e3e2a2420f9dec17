package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// maxRestarts is how often a controller is restarted at most.
const maxRestarts = 4

func init() { register("cancel", prairieformOps(), missedCancellation) }

// missedCancellation restarts two controllers one after the other. Then the state service refuses the
// owner of a shard alone, a job that runs there is cancelled at another controller, whose transaction
// is carried out and only its answer is lost, and the state service is out for longer than cancel_s.
func missedCancellation(l *lab) {
	const zone, otherZone = "winnipeg-colo", "regina-vault"
	l.cloud.mu.Lock()
	l.cloud.addMachine("combine", zone, false, 0).rentedAt = time.Now().Add(-time.Minute)
	l.cloud.mu.Unlock()
	links := l.watchPeerLinks()
	l.startAll()
	owner, first := l.ownerOf(zone), l.ownerOf(otherZone)
	second := l.nodes[3-owner.index-first.index]
	job := newArray(1, 1, "drafting-office-0", 4, 200*time.Second)
	job.Zone = new(zone)
	if !l.submit(first.index, job) || !waitFor(20*time.Second, func() bool { return l.checker.startsOf(job.Ref) > 0 }) {
		giveUp("%s does not start", job.Ref)
	}
	number := 900
	if l.trouble {
		for _, n := range []*node{second, first} {
			for range maxRestarts {
				n.restart(l.site.restartDelay)
				if !waitFor(10*time.Second, func() bool { return n.healthy() && l.ownerOf(n.cfg.zone) == n }) {
					giveUp("%s is not ready again", n.cfg.label)
				}
				time.Sleep(700 * time.Millisecond)
				number++
				if repeated := l.isCancellationRepeated(n, owner, links, number); !repeated {
					break
				}
			}
		}
		l.startOfOutage(owner, first, job.Ref)
	}
	if a := l.cancelOnce(first, job.Ref); a.state != "withdrawn" {
		giveUp("%s is not cancelled: %d", job.Ref, a.status)
	}
	if l.trouble {
		l.record("the state service is out")
		for i := range l.nodes {
			l.state.setRefused(i, true)
		}
	}
	for cancelledAt := time.Now(); time.Since(cancelledAt) < l.site.cancel+2*time.Second; time.Sleep(200 * time.Millisecond) {
		if l.checker.machineOf(job.Ref+"/0") == nil && !l.trouble {
			return
		}
	}
	l.checker.checkCancelled()
}

// startOfOutage lets the state service refuse the owner from the moment at which a job's
// cancellation by another controller is carried out, and lose the answer to that transaction.
func (l *lab) startOfOutage(owner, canceller *node, id string) {
	var once sync.Once
	loseAnswer := func(node int, r *http.Request, body []byte) (lost bool) {
		if node != canceller.index || r.URL.Path != "/commit" || !bytes.Contains(body, []byte(`"Set":"job/`+id+`"`)) {
			return false
		}
		once.Do(func() {
			lost = true
			l.record("the state service refuses %s alone; it carries out the cancellation of %s, and the answer is lost", owner.cfg.label, id)
			l.state.setRefused(owner.index, true)
		})
		return lost
	}
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	l.state.loseAnswer = loseAnswer
}

// peerTraffic holds the newest bytes that were sent over a link between two controllers.
type peerTraffic struct {
	mu    sync.Mutex
	bytes []byte
}

// count returns how often a text was sent since the last call of clear.
func (t *peerTraffic) count(text string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return bytes.Count(t.bytes, []byte(text))
}

func (t *peerTraffic) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes = nil
}

// watchPeerLinks keeps the bytes that controllers send to each other, by sender and receiver.
func (l *lab) watchPeerLinks() map[[2]int]*peerTraffic {
	links := map[[2]int]*peerTraffic{}
	for i, n := range l.nodes {
		for j, link := range n.peerLinks {
			if link == nil {
				continue
			}
			traffic := &peerTraffic{}
			links[[2]int{i, j}] = traffic
			link.seen = func(b []byte) {
				traffic.mu.Lock()
				defer traffic.mu.Unlock()
				traffic.bytes = append(traffic.bytes, b...)
				traffic.bytes = traffic.bytes[max(0, len(traffic.bytes)-1<<20):]
			}
		}
	}
	return links
}

// isCancellationRepeated cancels a job at a controller and reports whether the controller names the
// cancellation to another one more than once. It only chooses when the case begins.
func (l *lab) isCancellationRepeated(n, to *node, links map[[2]int]*peerTraffic, number int) bool {
	spec := newArray(number, 1, "drafting-office-1", 8, time.Second)
	spec.Zone = new(n.cfg.zone)
	if !l.submit(n.index, spec) {
		giveUp("%s is not accepted", spec.Ref)
	}
	time.Sleep(100 * time.Millisecond)
	traffic := links[[2]int{n.index, to.index}]
	traffic.clear()
	l.cancelOnce(n, spec.Ref)
	time.Sleep(1200 * time.Millisecond)
	count := traffic.count(fmt.Sprintf("job/%s", spec.Ref))
	l.record("%s named the cancellation of %s to %s %d times", n.cfg.label, spec.Ref, to.cfg.label, count)
	return count > 1
}
