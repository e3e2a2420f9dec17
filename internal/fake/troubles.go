package fake

import (
	"slices"
	"sort"
	"time"

	"roadcleat/internal/core"
)

// Target is whom a trouble strikes. What a trouble does not concern may be nil.
type Target struct {
	Node   *Node
	Worker *Worker
	Job    *Job
}

// Trouble is something that goes wrong, by the name that scripts call it.
type Trouble struct {
	Name string
	// Least and Most are how long it lasts on random days; of a restart, how long the
	// process is away.
	Least, Most time.Duration
	// Weight is how often random days choose it.
	Weight int
	strike func(w *World, at Target, d time.Duration)
}

// Troubles lists all that can go wrong, from one to several of the machines, processes
// and services, and what users do at a bad moment.
var Troubles = []Trouble{
	{"restart-at-once", 0, 100 * time.Millisecond, 2, func(_ *World, at Target, d time.Duration) { at.Node.Restart(d) }},
	{"restart", 0, 8 * time.Second, 2, func(_ *World, at Target, d time.Duration) { at.Node.Restart(d) }},
	{"restart-late", 60 * time.Second, 90 * time.Second, 1, func(_ *World, at Target, d time.Duration) { at.Node.Restart(d) }},
	{"restart-all", 0, 6 * time.Second, 1, func(w *World, _ Target, d time.Duration) {
		for i, n := range w.Nodes {
			n.Restart(d * time.Duration(i+1) / time.Duration(len(w.Nodes)))
		}
	}},
	{"all-away", 16 * time.Second, 25 * time.Second, 1, func(w *World, _ Target, d time.Duration) {
		for _, n := range w.Nodes {
			n.Restart(d)
		}
	}},
	{"freeze", 0, 60 * time.Second, 1, func(_ *World, at Target, d time.Duration) { at.Node.Freeze(d) }},
	{"freeze-short", 0, 4 * time.Second, 1, func(_ *World, at Target, d time.Duration) { at.Node.Freeze(d) }},
	{"state-outage", 2 * time.Second, 35 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.Store.Outage(d) }},
	{"state-outage-long", 48 * time.Second, 70 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.Store.Outage(d) }},
	{"state-refuses", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.Store.Refuse(at.Node.Name, d) }},
	{"state-refuses-then-outage", 14 * time.Second, 14 * time.Second, 1, func(w *World, at Target, d time.Duration) {
		w.Store.Refuse(at.Node.Name, d)
		w.After(2*time.Second, func() { w.Store.Outage(w.Cfg.Cancel + 8*time.Second) })
	}},
	{"state-cut", 1 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.Cut(at.Node.Name, "state", d, false) }},
	{"state-held", 1 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.Cut(at.Node.Name, "state", d, true) }},
	{"state-slow", 5 * time.Second, 30 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.Store.slowFor(1200*time.Millisecond, d) }},
	{"late-writes", 300 * time.Millisecond, 20 * time.Second, 2, func(w *World, _ Target, d time.Duration) { w.Store.late.begin(w, d, false) }},
	{"answers-lost", 300 * time.Millisecond, 20 * time.Second, 2, func(w *World, _ Target, d time.Duration) { w.Store.late.begin(w, d, true) }},
	{"peers-cut", 1 * time.Second, 50 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutPeers(at.Node, d, false) }},
	{"peers-held", 1 * time.Second, 50 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutPeers(at.Node, d, true) }},
	{"alone", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.Alone(at.Node, d, false) }},
	{"alone-held", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.Alone(at.Node, d, true) }},
	{"workers-cut", 2 * time.Second, 50 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutWorkers(at.Node, "", d, false) }},
	{"workers-held", 2 * time.Second, 50 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutWorkers(at.Node, "", d, true) }},
	{"node-cut", 2 * time.Second, 50 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutNode(at.Node, d, false) }},
	{"node-held", 2 * time.Second, 50 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutNode(at.Node, d, true) }},
	{"zone-cut", 16 * time.Second, 40 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.CutZone(at.zone(), d, true) }},
	{"machine-dies", 0, 0, 1, func(_ *World, at Target, _ time.Duration) {
		if at.Worker != nil {
			at.Worker.Die()
		}
	}},
	{"bound-dies", 0, 0, 1, func(w *World, _ Target, _ time.Duration) { w.loseBound() }},
	{"machine-hangs", 1 * time.Second, 40 * time.Second, 2, func(_ *World, at Target, d time.Duration) {
		if at.Worker != nil {
			at.Worker.Hang(d)
		}
	}},
	{"machine-cut", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutMachine(at.Worker, d, false) }},
	{"machine-held", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutMachine(at.Worker, d, true) }},
	{"machine-deaf", 2 * time.Second, 90 * time.Second, 1, func(w *World, at Target, d time.Duration) {
		if at.Worker != nil {
			w.Deafen(at.Worker, d)
		}
	}},
	{"machine-mute", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) {
		if at.Worker != nil {
			w.Mute(at.Worker, d)
		}
	}},
	{"recall", 0, 15 * time.Second, 1, func(_ *World, at Target, d time.Duration) {
		if k := at.Worker; k != nil && k.spot && k.notice == 0 {
			k.Recall(d)
		}
	}},
	{"late-reports", 5 * time.Second, 30 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.copies.late = w.lasting(d) }},
	{"reports-for-next", 5 * time.Second, 30 * time.Second, 2, func(w *World, _ Target, d time.Duration) { w.copies.keep = w.lasting(d) }},
	{"cloud-outage", 2 * time.Second, 20 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.Cloud.Outage(d) }},
	{"cancel", 0, 0, 0, func(w *World, at Target, _ time.Duration) {
		if at.Job != nil && !at.Job.AskedStop {
			w.Stop(at.Job)
		}
	}},
	{"cancel-now", 0, 20 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.CancelNow(8, d) }},
	{"cancel-at-end", 10 * time.Second, 60 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.cancelEnds = w.lasting(d) }},
	{"close-looks", 5 * time.Second, 60 * time.Second, 2, func(w *World, _ Target, d time.Duration) { w.CloseLooks(d, 0.1) }},
	{"odd-requests", 5 * time.Second, 60 * time.Second, 2, func(w *World, _ Target, d time.Duration) { w.OddRequests(d) }},
}

// TroubleNamed finds a trouble.
func TroubleNamed(name string) (Trouble, bool) {
	i := slices.IndexFunc(Troubles, func(t Trouble) bool { return t.Name == name })
	if i < 0 {
		return Trouble{}, false
	}
	return Troubles[i], true
}

// Strike has the trouble happen now.
func (t Trouble) Strike(w *World, at Target, d time.Duration) {
	w.Log("%v trouble %s for %v", w.Now, t.Name, d)
	w.trouble(d)
	t.strike(w, at, d)
}

func (at Target) zone() string {
	if at.Worker != nil {
		return at.Worker.zone
	}
	return at.Node.zone
}

// lasting notes a trouble for a while and says when it ends.
func (w *World) lasting(d time.Duration) time.Duration {
	w.trouble(d)
	return w.Now + d
}

// Alive lists the machines that have not gone, by name.
func (w *World) Alive() []*Worker {
	var list []*Worker
	for _, k := range w.Workers {
		if !k.gone {
			list = append(list, k)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

func (w *World) cutPeers(n *Node, d time.Duration, hold bool) {
	for _, o := range w.Nodes {
		if o != n {
			w.Cut(n.Name, o.Name, d, hold)
		}
	}
}

// cutWorkers cuts a controller from the machines of a zone, or from all.
func (w *World) cutWorkers(n *Node, zone string, d time.Duration, hold bool) {
	for _, k := range w.Alive() {
		if zone == "" || k.zone == zone {
			w.Cut(n.Name, k.name, d, hold)
		}
	}
}

func (w *World) cutNode(n *Node, d time.Duration, hold bool) {
	for _, other := range []string{"state", "cloud", "users"} {
		w.Cut(n.Name, other, d, hold)
	}
	w.cutPeers(n, d, hold)
	w.cutWorkers(n, "", d, hold)
}

func (w *World) cutMachine(k *Worker, d time.Duration, hold bool) {
	if k == nil {
		return
	}
	for _, n := range w.Nodes {
		w.Cut(n.Name, k.name, d, hold)
	}
}

// CutZone cuts a zone, its machines and its controllers, off from everything; inside it
// goes on.
func (w *World) CutZone(zone string, d time.Duration, hold bool) {
	for _, n := range w.Nodes {
		if n.zone != zone {
			w.cutWorkers(n, zone, d, hold)
			continue
		}
		for _, other := range []string{"state", "cloud", "users"} {
			w.Cut(n.Name, other, d, hold)
		}
		for _, o := range w.Nodes {
			if o.zone != zone {
				w.Cut(n.Name, o.Name, d, hold)
			}
		}
		for _, k := range w.Alive() {
			if k.zone != zone {
				w.Cut(n.Name, k.name, d, hold)
			}
		}
	}
}

// loseBound ends a machine that runs tasks of a job bound to a zone, to one zone or to
// be apart.
func (w *World) loseBound() {
	for _, k := range w.Alive() {
		for id := range k.tasks {
			if s := w.Jobs[id.Job].Spec; s.Zone != "" || s.OneZone || s.Apart {
				k.Die()
				return
			}
		}
	}
}

// CancelNow has users call off up to so many jobs that run, within a fifth of a second;
// up to eight of their machines hang for a while.
func (w *World) CancelNow(most int, hang time.Duration) (jobs []*Job) {
	machines := map[string]*Worker{}
	for _, id := range sortedJobs(w.Jobs) {
		job, on := w.Jobs[id], w.On(id)
		if len(jobs) == most || len(on) == 0 || !job.Accepted || job.Over() || job.AskedStop {
			continue
		}
		jobs = append(jobs, job)
		for k := range on {
			machines[k.name] = k
		}
		w.After(time.Duration(w.Rng.IntN(200))*time.Millisecond, func() { w.Stop(job) })
	}
	for i, name := range sortedNames(machines) {
		if i < 8 && hang > 0 {
			machines[name].Hang(hang)
		}
	}
	return jobs
}

func sortedNames(machines map[string]*Worker) []string {
	var names []string
	for name := range machines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ended is told of each task that completes.
func (w *World) ended(job *Job) {
	if w.Now < w.cancelEnds && len(job.Finished) == job.Spec.Tasks && !job.AskedStop && w.Rng.IntN(2) == 0 {
		w.Stop(job)
	}
}

// lateWrites loses the answers to transactions for a while.
type lateWrites struct {
	until  time.Duration
	share  float64
	atOnce bool // they are carried out at once, else 2 to 12 s later
}

// begin loses every answer for a moment's trouble, a third of them for a longer one.
func (l *lateWrites) begin(w *World, d time.Duration, atOnce bool) {
	*l = lateWrites{w.lasting(d), 0.3, atOnce}
	if d <= time.Second {
		l.share = 1
	}
	if !atOnce {
		w.trouble(d + 12*time.Second)
	}
}

func (l *lateWrites) strikes(w *World) (bool, time.Duration) {
	if w.Now >= l.until || w.Rng.Float64() >= l.share {
		return false, 0
	}
	if l.atOnce {
		return true, 0
	}
	return true, 2*time.Second + time.Duration(w.Rng.Float64()*float64(10*time.Second))
}

// slowFor has the state service take its time for a while.
func (s *Store) slowFor(each, d time.Duration) {
	s.w.trouble(d)
	s.Slow = each
	s.w.After(d, func() { s.Slow = 0 })
}

// copies are reports that arrive once more.
type copies struct {
	late time.Duration // until then, of some reports a copy comes much later
	keep time.Duration // until then copies are kept for the next owner
	kept map[string][]kept
}

type kept struct {
	machine string
	report  core.Report
}

// keepCopy makes copies of a report that is being sent.
func (w *World) keepCopy(k *Worker, rep core.Report) {
	c := &w.copies
	if w.Now < c.late && w.Rng.IntN(3) == 0 {
		n := w.Nodes[k.node]
		d := 2*time.Second + time.Duration(w.Rng.Float64()*float64(2*w.Cfg.Lease))
		w.trouble(d)
		w.After(d, func() { n.hears(rep) })
	}
	if w.Now < c.keep {
		if c.kept == nil {
			c.kept = map[string][]kept{}
		}
		c.kept[k.zone] = append(c.kept[k.zone], kept{k.name, rep})
	}
}

// claimed has the copies kept for a part's next owner arrive at every controller, each
// machine's oldest and newest.
func (w *World) claimed(_, zone string) {
	first, last := map[string]core.Report{}, map[string]core.Report{}
	for _, x := range w.copies.kept[zone] {
		if _, ok := first[x.machine]; !ok {
			first[x.machine] = x.report
		}
		last[x.machine] = x.report
	}
	delete(w.copies.kept, zone)
	var names []string
	for name := range first {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, rep := range []core.Report{first[name], last[name]} {
			for _, n := range w.Nodes {
				w.After(time.Duration(w.Rng.IntN(1500))*time.Millisecond, func() { n.hears(rep) })
			}
		}
	}
}
