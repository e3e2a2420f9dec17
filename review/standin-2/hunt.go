package main

import (
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"sync"
	"time"
)

func init() {
	cases["hunt"] = hunt
	cases["serve"] = func(program, record string, trouble, verbose bool) int {
		b := newBed(prairie(), program, record, trouble, verbose)
		b.startAll()
		b.initial()
		for _, n := range b.nodes {
			fmt.Println(n.api)
		}
		time.Sleep(100 * time.Second)
		return b.finish("crash")
	}
}

// hunter holds what the users of a hunt share.
type hunter struct {
	bed  *Bed
	site string
	stop time.Time
	wg   sync.WaitGroup
	mu   sync.Mutex
	ids  []string // jobs that are to be done in the end
	seq  int
}

// hunt runs jobs through random faults, and checks the rules.
func hunt(program, record string, trouble, verbose bool) int {
	h := &hunter{site: os.Getenv("SITE")}
	site := prairie()
	switch h.site {
	case "swan":
		site = swan()
	case "batavia":
		site = batavia()
	}
	b := newBed(site, program, record, trouble, verbose)
	h.bed = b
	b.cloud.bootS = func(string) float64 { return 1 + 4*rand.Float64() }
	b.startAll()
	b.initial()
	time.Sleep(3 * time.Second)
	h.stop = b.began.Add(80 * time.Second)
	for range 3 {
		h.wg.Go(h.user)
	}
	if every, err := time.ParseDuration(os.Getenv("FLAP")); err == nil {
		h.flap(every)
	} else if trouble {
		for range 3 {
			h.wg.Go(func() {
				for time.Now().Before(h.stop) {
					time.Sleep(seconds(0, 6))
					b.randomFault()
				}
			})
		}
	}
	h.wg.Wait()
	b.note("troubles over")
	if open := b.WaitDone(time.Now().Add(95*time.Second), h.ids...); len(open) > 0 {
		h.explain(open)
		b.checker.breach("unfinished", "%v", open)
	}
	time.Sleep(3 * time.Second)
	return b.finish("unfinished", "ran_twice", "quota", "wrong_place", "ran_cancelled", "forgotten", "invented", "not_done", "went_back", "crash")
}

// explain records why jobs are open.
func (h *hunter) explain(open []string) {
	b := h.bed
	for _, m := range b.cloud.Machines() {
		b.note("machine %s %s %s: %d tasks", m.name, m.typ, m.zone, m.worker.onMachine())
	}
	for _, id := range open {
		for _, n := range b.nodes {
			out, _ := exec.Command(b.program, "explain", "--addr", n.api, id).CombinedOutput()
			b.note("explain at %s: %s", n.label, out)
		}
	}
}

// flap cuts and heals one link of one controller in turn.
func (h *hunter) flap(every time.Duration) {
	b := h.bed
	i, link := rand.Intn(len(b.nodes)), rand.Intn(3)
	b.note("flapping every %v: paddock-%d, link %d", every, i, link)
	cut := func(on bool) {
		switch link {
		case 0:
			b.state.Set(func() { b.state.hold[b.nodes[i].label] = on })
		case 1:
			b.HoldPeers(i, on)
		case 2:
			b.CutWorkers(i, on)
		}
	}
	for on := true; time.Now().Before(h.stop); on = !on {
		cut(on)
		time.Sleep(every)
	}
	cut(false)
}

// look asks for a job at all nodes within milliseconds.
func (h *hunter) look(id string, times int) {
	for range times {
		for i := range h.bed.nodes {
			go h.bed.Poll(i, id)
		}
		time.Sleep(time.Duration(5+rand.Intn(40)) * time.Millisecond)
	}
}

// randomJob returns a job and whether it will be cancelled.
func (h *hunter) randomJob() (j *JobSpec, cancel bool) {
	h.mu.Lock()
	h.seq++
	id := fmt.Sprintf("job-%06d", h.seq)
	h.mu.Unlock()
	chance := func(n int) bool { return rand.Intn(n) == 0 }
	j = &JobSpec{Ref: id, Class: []string{"redline-diff", "lease-render", "clause-refresh"}[rand.Intn(3)],
		Desk: h.bed.site.Teams[rand.Intn(len(h.bed.site.Teams))].Name, Form: "array", Urgency: []string{"high", "normal"}[rand.Intn(2)],
		Tasks: 1 + rand.Intn(6), Cores: float64(2 + 6*rand.Intn(2)), MemGb: 4, Build: fmt.Sprintf("img-%d", rand.Intn(3)), PullGb: 0.3,
		Spot: true, OneZone: chance(10), Fails: chance(14), ExpectedS: 8, RunS: 1 + 12*rand.Float64()}
	if chance(14) {
		j.Tasks = 20 + rand.Intn(30)
	}
	if chance(10) {
		j.Form, j.RunS, j.Tasks = "daemon", 1000, 1+rand.Intn(3)
	}
	if h.site == "batavia" {
		j.Cores, j.GPUs, j.MemGb = 8, 1, 58
		j.Apart = j.Form == "daemon" || chance(6)
		j.OneZone = j.OneZone && !j.Apart
		if j.Form == "daemon" {
			j.Urgency, j.Tasks = "production", 2+rand.Intn(4)
		}
	}
	return j, chance(3) || j.Form == "daemon" || j.Fails
}

// user submits jobs, asks for them and cancels some.
func (h *hunter) user() {
	for time.Now().Before(h.stop) {
		j, cancel := h.randomJob()
		if !h.bed.Submit(rand.Intn(len(h.bed.nodes)), j) {
			continue
		}
		go h.look(j.Ref, 3)
		if cancel {
			h.wg.Go(func() {
				time.Sleep(seconds(0, 16))
				h.bed.Cancel(rand.Intn(len(h.bed.nodes)), j.Ref)
				h.look(j.Ref, 3)
			})
		} else {
			h.mu.Lock()
			h.ids = append(h.ids, j.Ref)
			h.mu.Unlock()
		}
		time.Sleep(seconds(0, 4))
	}
}
