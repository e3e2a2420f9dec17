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

// hunt runs jobs through random faults, and checks the rules.
func hunt(program, record string, trouble, verbose bool) int {
	site, kindOf := prairie(), os.Getenv("SITE")
	if kindOf == "swan" {
		site = swan()
	} else if kindOf == "batavia" {
		site = batavia()
	}
	b := newBed(site, program, record, trouble, verbose)
	b.cloud.bootS = func(string) float64 { return 1 + 4*rand.Float64() }
	b.startAll()
	b.initial()
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	stop := b.began.Add(80 * time.Second)
	var mu sync.Mutex
	var ids []string
	seq := 0
	look := func(id string, n int) {
		for range n {
			for i := range b.nodes {
				go b.Poll(i, id)
			}
			time.Sleep(time.Duration(5+rand.Intn(40)) * time.Millisecond)
		}
	}
	user := func() {
		defer wg.Done()
		for time.Now().Before(stop) {
			mu.Lock()
			seq++
			id := fmt.Sprintf("job-%06d", seq)
			mu.Unlock()
			j := &JobSpec{Ref: id, Docket: []string{"redline-diff", "lease-render", "clause-refresh"}[rand.Intn(3)],
				Desk: fmt.Sprintf("drafting-office-%c", 'a'+rune(rand.Intn(10))), Form: "array", Urgency: []string{"high", "normal"}[rand.Intn(2)],
				Sheets: 1 + rand.Intn(6), Cores: float64(2 + 6*rand.Intn(2)), MemGb: 4, Build: fmt.Sprintf("img-%d", rand.Intn(3)), PullGb: 0.3,
				Loaners: true, ExpectedS: 8, RunS: 1 + 12*rand.Float64()}
			if rand.Intn(14) == 0 {
				j.Sheets = 20 + rand.Intn(30)
			}
			if rand.Intn(10) == 0 {
				j.OneZone = true
			}
			if rand.Intn(10) == 0 {
				j.Form, j.RunS = "daemon", 1000
				j.Sheets = 1 + rand.Intn(3)
			}
			j.Desk = b.site.Teams[rand.Intn(len(b.site.Teams))].Name
			if kindOf == "batavia" {
				j.Cores, j.Cards, j.MemGb = 8, 1, 58
				j.Apart = j.Form == "daemon" || rand.Intn(6) == 0
				j.OneZone = j.OneZone && !j.Apart
				if j.Form == "daemon" {
					j.Urgency, j.Sheets = "production", 2+rand.Intn(4)
				}
			}
			if rand.Intn(14) == 0 {
				j.Fails = true
			}
			cancel := rand.Intn(3) == 0 || j.Form == "daemon" || j.Fails
			if !b.Submit(rand.Intn(3), j) {
				continue
			}
			go look(id, 3)
			mu.Lock()
			if !cancel {
				ids = append(ids, id)
			}
			mu.Unlock()
			time.Sleep(time.Duration(rand.Float64() * 4 * float64(time.Second)))
			if cancel {
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(time.Duration(rand.Float64() * 12 * float64(time.Second)))
					b.Cancel(rand.Intn(3), id)
					look(id, 3)
				}()
			}
		}
	}
	for range 3 {
		wg.Add(1)
		go user()
	}
	if every, err := time.ParseDuration(os.Getenv("FLAP")); err == nil {
		// One link of one controller is cut and healed in turn.
		i, link := rand.Intn(len(b.nodes)), rand.Intn(3)
		b.note("flapping every %v: paddock-%d, link %d", every, i, link)
		for on := true; time.Now().Before(stop); on = !on {
			switch link {
			case 0:
				b.state.Set(func() { b.state.hold[b.nodes[i].label] = on })
			case 1:
				b.HoldPeers(i, on)
			case 2:
				b.CutWorkers(i, on)
			}
			time.Sleep(every)
		}
		b.state.Set(func() { clear(b.state.hold) })
		b.HoldPeers(i, false)
		b.CutWorkers(i, false)
	} else if trouble {
		for range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(stop) {
					time.Sleep(time.Duration(rand.Float64() * 6 * float64(time.Second)))
					b.randomFault()
				}
			}()
		}
	}
	wg.Wait()
	b.note("troubles over")
	open := b.WaitDone(time.Now().Add(95*time.Second), ids...)
	for _, t := range b.site.Teams[:1] {
		b.note("team %s: grants %s, in use %v", t.Name, b.state.Value("quota/"+t.Name), b.checker.use[t.Name])
	}
	for _, m := range b.cloud.Machines() {
		b.note("machine %s %s %s: %d tasks, session %d, baton %d", m.name, m.typ, m.zone, m.worker.onMachine(), m.worker.shift, m.worker.baton)
	}
	for _, id := range open {
		j := b.job(id)
		b.note("open %s %s %s cores=%v sheets=%d onezone=%v", id, j.Form, j.Desk, j.Cores, j.Sheets, j.OneZone)
		for _, n := range b.nodes[:1] {
			out, _ := exec.Command(b.program, "explain", "--addr", n.api, id).CombinedOutput()
			b.note("explain at %s: %s", n.label, out)
		}
	}
	out, _ := exec.Command(b.program, "status", "--addr", b.nodes[0].api).CombinedOutput()
	b.note("status: %s", out)
	if len(open) > 0 {
		b.checker.breach("unfinished", "%v", open)
	}
	time.Sleep(3 * time.Second)
	return b.finish("unfinished", "ran_twice", "quota", "wrong_place", "ran_cancelled", "forgotten", "invented", "not_done", "went_back", "crash")
}

var faultMu sync.Mutex
var busyNode = map[int]bool{}

func (b *Bed) takeNode() int {
	faultMu.Lock()
	defer faultMu.Unlock()
	i := rand.Intn(len(b.nodes))
	if busyNode[i] {
		return -1
	}
	busyNode[i] = true
	return i
}

func freeNode(i int) {
	faultMu.Lock()
	busyNode[i] = false
	faultMu.Unlock()
}

func seconds(lo, hi float64) time.Duration {
	return time.Duration((lo + (hi-lo)*rand.Float64()) * float64(time.Second))
}

func (b *Bed) randomFault() {
	i := b.takeNode()
	if i < 0 {
		return
	}
	defer freeNode(i)
	label := b.nodes[i].label
	ms := b.cloud.Machines()
	pick := func(n int, f func(w *Worker, on bool), d time.Duration) {
		var ws []*Worker
		for range n {
			ws = append(ws, ms[rand.Intn(len(ms))].worker)
		}
		for _, w := range ws {
			w.mu.Lock()
			f(w, true)
			w.mu.Unlock()
		}
		time.Sleep(d)
		for _, w := range ws {
			w.mu.Lock()
			f(w, false)
			w.mu.Unlock()
		}
	}
	switch k := rand.Intn(19); k {
	case 0, 1:
		b.Kill(i)
		time.Sleep(seconds(0.05, 4))
		b.start(b.nodes[i])
	case 2:
		d := seconds(0.5, 20)
		b.Pause(i)
		time.Sleep(d)
		b.Resume(i)
	case 3:
		b.state.SetOutage(true)
		time.Sleep(seconds(1, 30))
		b.state.SetOutage(false)
	case 4:
		b.note("state: refuses %s", label)
		b.state.Set(func() { b.state.refused[label] = true })
		time.Sleep(seconds(3, 30))
		b.state.Set(func() { b.state.refused[label] = false })
		b.note("state: refuses %s no more", label)
	case 5:
		b.note("state: holds %s", label)
		b.state.Set(func() { b.state.hold[label] = true })
		b.HoldPeers(i, true)
		time.Sleep(seconds(3, 30))
		b.state.Set(func() { b.state.hold[label] = false })
		b.HoldPeers(i, false)
		b.note("state: holds %s no more", label)
	case 6:
		b.note("late writes")
		b.state.Set(func() { b.state.lateShare, b.state.lateMin, b.state.lateMax = 0.3, 2*time.Second, 12*time.Second })
		time.Sleep(seconds(3, 15))
		b.state.Set(func() { b.state.lateShare = 0 })
		b.note("late writes over")
	case 7:
		b.note("lost answers")
		b.state.Set(func() { b.state.lostAnswers = 0.3 })
		time.Sleep(seconds(3, 15))
		b.state.Set(func() { b.state.lostAnswers = 0 })
		b.note("lost answers over")
	case 8:
		b.CutWorkers(i, true)
		time.Sleep(seconds(3, 30))
		b.CutWorkers(i, false)
	case 9:
		b.note("late reports")
		b.mu.Lock()
		b.lateShare = 0.3
		b.mu.Unlock()
		time.Sleep(seconds(3, 20))
		b.mu.Lock()
		b.lateShare = 0
		b.mu.Unlock()
	case 10:
		d := seconds(2, 20)
		b.note("machines hang for %v", d)
		pick(3, func(w *Worker, on bool) {
			if on {
				w.hungTill = time.Now().Add(d)
			}
		}, d)
	case 11:
		b.note("machines deaf")
		pick(3, func(w *Worker, on bool) { w.deaf = on }, seconds(3, 25))
	case 12:
		b.note("machines mute")
		pick(3, func(w *Worker, on bool) { w.mute = on }, seconds(3, 25))
	case 13:
		b.note("late commands")
		pick(6, func(w *Worker, on bool) {
			w.lateCmd = 0
			if on {
				w.lateCmd = seconds(2, 16)
			}
		}, seconds(3, 20))
	case 15:
		// All controllers end, and come back at different times.
		var wg sync.WaitGroup
		for _, n := range b.nodes {
			if n.i != i {
				faultMu.Lock()
				taken := busyNode[n.i]
				busyNode[n.i] = true
				faultMu.Unlock()
				if taken {
					continue
				}
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				b.Kill(n.i)
				time.Sleep(seconds(0.05, 20))
				b.start(n)
				if n.i != i {
					freeNode(n.i)
				}
			}()
		}
		wg.Wait()
	case 16:
		b.note("machines are taken")
		for range 3 {
			b.cloud.Take(ms[rand.Intn(len(ms))])
		}
	case 17:
		b.note("late returns and rentals")
		b.cloud.mu.Lock()
		b.cloud.lateShare = 0.5
		b.cloud.mu.Unlock()
		time.Sleep(seconds(3, 20))
		b.cloud.mu.Lock()
		b.cloud.lateShare = 0
		b.cloud.mu.Unlock()
	case 18:
		z := b.site.Zones[rand.Intn(len(b.site.Zones))]
		b.note("zone %s is cut from paddock-%d", z, i)
		key := fmt.Sprintf("%s>%d", z, i)
		b.mu.Lock()
		b.zoneCut[key] = true
		b.mu.Unlock()
		time.Sleep(seconds(3, 30))
		b.mu.Lock()
		b.zoneCut[key] = false
		b.mu.Unlock()
	case 14:
		b.HoldPeers(i, true)
		time.Sleep(seconds(3, 25))
		b.HoldPeers(i, false)
	}
}
