package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

var faultMu sync.Mutex
var busyNode = map[int]bool{}

// takeNode reserves a node for a fault. It returns false if the node is taken.
func takeNode(i int) bool {
	faultMu.Lock()
	defer faultMu.Unlock()
	if busyNode[i] {
		return false
	}
	busyNode[i] = true
	return true
}

func freeNode(i int) {
	faultMu.Lock()
	busyNode[i] = false
	faultMu.Unlock()
}

func seconds(lo, hi float64) time.Duration {
	return time.Duration((lo + (hi-lo)*rand.Float64()) * float64(time.Second))
}

// randomFault has one fault begin and end.
func (b *Bed) randomFault() {
	i := rand.Intn(len(b.nodes))
	if !takeNode(i) {
		return
	}
	defer freeNode(i)
	faults := []func(int){b.faultKill, b.faultKill, b.faultPause, b.faultOutage, b.faultRefused, b.faultIsolated, b.faultLateWrites,
		b.faultLostAnswers, b.faultWorkersCut, b.faultLateReports, b.faultHang, b.faultLosesAnswers, b.faultCannotReport,
		b.faultLateCommands, b.faultPeersHeld, b.faultKillAll, b.faultTaken, b.faultLateCloud, b.faultZoneCut}
	faults[rand.Intn(len(faults))](i)
}

// during switches a fault on for a time.
func during(name string, b *Bed, lo, hi float64, set func(on bool)) {
	b.note("%s begins", name)
	set(true)
	time.Sleep(seconds(lo, hi))
	set(false)
	b.note("%s ends", name)
}

// onMachines switches a fault of some machines on for a time.
func (b *Bed) onMachines(name string, n int, lo, hi float64, set func(w *Worker, on bool)) {
	all := b.cloud.Machines()
	var ws []*Worker
	for range n {
		ws = append(ws, all[rand.Intn(len(all))].worker)
	}
	during(name, b, lo, hi, func(on bool) {
		for _, w := range ws {
			w.mu.Lock()
			set(w, on)
			w.mu.Unlock()
		}
	})
}

func (b *Bed) faultKill(i int) {
	b.Kill(i)
	time.Sleep(seconds(0.05, 4))
	b.start(b.nodes[i])
}

func (b *Bed) faultPause(i int) {
	b.Pause(i)
	time.Sleep(seconds(0.5, 20))
	b.Resume(i)
}

func (b *Bed) faultOutage(int) { during("outage", b, 1, 30, b.state.SetOutage) }

func (b *Bed) faultRefused(i int) {
	label := b.nodes[i].label
	during("refusal of "+label, b, 3, 30, func(on bool) { b.state.Set(func() { b.state.refused[label] = on }) })
}

func (b *Bed) faultIsolated(i int) {
	label := b.nodes[i].label
	during("isolation of "+label, b, 3, 30, func(on bool) {
		b.state.Set(func() { b.state.hold[label] = on })
		b.HoldPeers(i, on)
	})
}

func share(on bool, x float64) float64 {
	if on {
		return x
	}
	return 0
}

func (b *Bed) faultLateWrites(int) {
	during("late writes", b, 3, 15, func(on bool) {
		b.state.Set(func() {
			b.state.lateShare, b.state.lateMin, b.state.lateMax = share(on, 0.3), 2*time.Second, 12*time.Second
		})
	})
}

func (b *Bed) faultLostAnswers(int) {
	during("lost answers", b, 3, 15, func(on bool) { b.state.Set(func() { b.state.lostAnswers = share(on, 0.3) }) })
}

func (b *Bed) faultWorkersCut(i int) {
	during("cut of workers", b, 3, 30, func(on bool) { b.CutWorkers(i, on) })
}

func (b *Bed) faultLateReports(int) {
	during("late reports", b, 3, 20, func(on bool) {
		b.mu.Lock()
		b.lateShare = share(on, 0.3)
		b.mu.Unlock()
	})
}

func (b *Bed) faultHang(int) {
	till := time.Now().Add(seconds(2, 20))
	b.onMachines("hang", 3, 2, 20, func(w *Worker, on bool) {
		if on {
			w.hungTill = till
		}
	})
}

func (b *Bed) faultLosesAnswers(int) {
	b.onMachines("loss of answers", 3, 3, 25, func(w *Worker, on bool) { w.losesAnswers = on })
}

func (b *Bed) faultCannotReport(int) {
	b.onMachines("loss of reports", 3, 3, 25, func(w *Worker, on bool) { w.cannotReport = on })
}

func (b *Bed) faultLateCommands(int) {
	by := seconds(2, 16)
	b.onMachines("late commands", 6, 3, 20, func(w *Worker, on bool) {
		w.lateCmd = 0
		if on {
			w.lateCmd = by
		}
	})
}

func (b *Bed) faultPeersHeld(i int) {
	during("held peers", b, 3, 25, func(on bool) { b.HoldPeers(i, on) })
}

// faultKillAll ends all controllers, which come back at different times.
func (b *Bed) faultKillAll(i int) {
	var wg sync.WaitGroup
	for _, n := range b.nodes {
		if n.i != i && !takeNode(n.i) {
			continue
		}
		wg.Go(func() {
			b.Kill(n.i)
			time.Sleep(seconds(0.05, 20))
			b.start(n)
			if n.i != i {
				freeNode(n.i)
			}
		})
	}
	wg.Wait()
}

func (b *Bed) faultTaken(int) {
	b.note("machines are taken")
	all := b.cloud.Machines()
	for range 3 {
		b.cloud.Take(all[rand.Intn(len(all))])
	}
}

func (b *Bed) faultLateCloud(int) {
	during("late rentals and returns", b, 3, 20, func(on bool) {
		b.cloud.mu.Lock()
		b.cloud.lateShare = share(on, 0.5)
		b.cloud.mu.Unlock()
	})
}

func (b *Bed) faultZoneCut(i int) {
	key := fmt.Sprintf("%s>%d", b.site.Zones[rand.Intn(len(b.site.Zones))], i)
	during("cut "+key, b, 3, 30, func(on bool) {
		b.mu.Lock()
		b.zoneCut[key] = on
		b.mu.Unlock()
	})
}
