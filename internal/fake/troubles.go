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

// Fault is something that goes wrong, by the name that scripts call it.
type Fault struct {
	Name string
	// Least and Most are how long it lasts on random days; of a restart, how long the
	// process is away.
	Least, Most time.Duration
	// Weight is how often random days choose it.
	Weight int
	inject func(w *World, at Target, d time.Duration)
}

// Faults lists all that can go wrong, from one to several of the machines, processes
// and services, and what users do at a bad moment.
var Faults = []Fault{
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
		w.After(2*time.Second, func() { w.Store.Outage(w.Cfg.CancelWithin + 8*time.Second) })
	}},
	{"state-cut", 1 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.Cut(at.Node.Name, "state", d, false) }},
	{"state-held", 1 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.Cut(at.Node.Name, "state", d, true) }},
	{"state-slow", 5 * time.Second, 30 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.Store.slowFor(1200*time.Millisecond, d) }},
	{"late-writes", 300 * time.Millisecond, 20 * time.Second, 2, func(w *World, _ Target, d time.Duration) { w.Store.late.begin(w, d, false) }},
	{"answers-lost", 300 * time.Millisecond, 20 * time.Second, 2, func(w *World, _ Target, d time.Duration) { w.Store.late.begin(w, d, true) }},
	{"peers-cut", 1 * time.Second, 50 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutPeers(at.Node, d, false) }},
	{"peers-held", 1 * time.Second, 50 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutPeers(at.Node, d, true) }},
	{"alone", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.Isolate(at.Node, d, false) }},
	{"alone-held", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.Isolate(at.Node, d, true) }},
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
	{"bound-dies", 0, 0, 1, func(w *World, _ Target, _ time.Duration) { w.killBoundMachine() }},
	{"machine-hangs", 1 * time.Second, 40 * time.Second, 2, func(_ *World, at Target, d time.Duration) {
		if at.Worker != nil {
			at.Worker.Hang(d)
		}
	}},
	{"machine-cut", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutMachine(at.Worker, d, false) }},
	{"machine-held", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) { w.cutMachine(at.Worker, d, true) }},
	{"machine-deaf", 2 * time.Second, 90 * time.Second, 1, func(w *World, at Target, d time.Duration) {
		if at.Worker != nil {
			w.CutInbound(at.Worker, d)
		}
	}},
	{"machine-mute", 2 * time.Second, 60 * time.Second, 1, func(w *World, at Target, d time.Duration) {
		if at.Worker != nil {
			w.CutOutbound(at.Worker, d)
		}
	}},
	{"recall", 0, 15 * time.Second, 1, func(_ *World, at Target, d time.Duration) {
		if k := at.Worker; k != nil && k.spot && k.spotNotice == 0 {
			k.GiveSpotNotice(d)
		}
	}},
	{"late-reports", 5 * time.Second, 30 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.copies.late = w.faultUntil(d) }},
	{"reports-for-next", 5 * time.Second, 30 * time.Second, 2, func(w *World, _ Target, d time.Duration) { w.copies.keep = w.faultUntil(d) }},
	{"cloud-outage", 2 * time.Second, 20 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.Cloud.Outage(d) }},
	{"cancel", 0, 0, 0, func(w *World, at Target, _ time.Duration) {
		if at.Job != nil && !at.Job.CancelRequested {
			w.Cancel(at.Job)
		}
	}},
	{"cancel-now", 0, 20 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.CancelNow(8, d) }},
	{"cancel-at-end", 10 * time.Second, 60 * time.Second, 1, func(w *World, _ Target, d time.Duration) { w.cancelEnds = w.faultUntil(d) }},
	{"close-looks", 5 * time.Second, 60 * time.Second, 2, func(w *World, _ Target, d time.Duration) { w.PollClosely(d, 0.1) }},
	{"odd-requests", 5 * time.Second, 60 * time.Second, 2, func(w *World, _ Target, d time.Duration) { w.OddRequests(d) }},
}

// FaultNamed finds a trouble.
func FaultNamed(name string) (Fault, bool) {
	i := slices.IndexFunc(Faults, func(t Fault) bool { return t.Name == name })
	if i < 0 {
		return Fault{}, false
	}
	return Faults[i], true
}

// Inject has the trouble happen now.
func (t Fault) Inject(w *World, at Target, d time.Duration) {
	w.Log("%v trouble %s for %v", w.Now, t.Name, d)
	w.extendFaults(d)
	t.inject(w, at, d)
}

func (at Target) zone() string {
	if at.Worker != nil {
		return at.Worker.zone
	}
	return at.Node.zone
}

// faultUntil notes a trouble for a while and says when it ends.
func (w *World) faultUntil(d time.Duration) time.Duration {
	w.extendFaults(d)
	return w.Now + d
}

// Alive lists the machines that have not gone, by name.
func (w *World) Alive() []*Worker {
	var list []*Worker
	for _, worker := range w.Workers {
		if !worker.gone {
			list = append(list, worker)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

func (w *World) cutPeers(node *Node, d time.Duration, hold bool) {
	for _, other := range w.Nodes {
		if other != node {
			w.Cut(node.Name, other.Name, d, hold)
		}
	}
}

// cutWorkers cuts a controller from the machines of a zone, or from all.
func (w *World) cutWorkers(node *Node, zone string, d time.Duration, hold bool) {
	for _, worker := range w.Alive() {
		if zone == "" || worker.zone == zone {
			w.Cut(node.Name, worker.name, d, hold)
		}
	}
}

func (w *World) cutNode(node *Node, d time.Duration, hold bool) {
	for _, other := range []string{"state", "cloud", "users"} {
		w.Cut(node.Name, other, d, hold)
	}
	w.cutPeers(node, d, hold)
	w.cutWorkers(node, "", d, hold)
}

func (w *World) cutMachine(worker *Worker, d time.Duration, hold bool) {
	if worker == nil {
		return
	}
	for _, n := range w.Nodes {
		w.Cut(n.Name, worker.name, d, hold)
	}
}

// CutZone cuts a zone, its machines and its controllers, off from everything; inside it
// goes on.
func (w *World) CutZone(zone string, d time.Duration, hold bool) {
	for _, node := range w.Nodes {
		if node.zone != zone {
			w.cutWorkers(node, zone, d, hold)
			continue
		}
		for _, other := range []string{"state", "cloud", "users"} {
			w.Cut(node.Name, other, d, hold)
		}
		for _, other := range w.Nodes {
			if other.zone != zone {
				w.Cut(node.Name, other.Name, d, hold)
			}
		}
		for _, worker := range w.Alive() {
			if worker.zone != zone {
				w.Cut(node.Name, worker.name, d, hold)
			}
		}
	}
}

// killBoundMachine ends a machine that runs tasks of a job bound to a zone, to one zone or to
// be apart.
func (w *World) killBoundMachine() {
	for _, worker := range w.Alive() {
		for id := range worker.tasks {
			if s := w.Jobs[id.Job].Spec; s.Zone != "" || s.OneZone || s.SpreadZones {
				worker.Die()
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
		if len(jobs) == most || len(on) == 0 || !job.Accepted || job.Over() || job.CancelRequested {
			continue
		}
		jobs = append(jobs, job)
		for k := range on {
			machines[k.name] = k
		}
		w.After(time.Duration(w.Rng.IntN(200))*time.Millisecond, func() { w.Cancel(job) })
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
	if w.Now < w.cancelEnds && len(job.Finished) == job.Spec.Tasks && !job.CancelRequested && w.Rng.IntN(2) == 0 {
		w.Cancel(job)
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
	*l = lateWrites{w.faultUntil(d), 0.3, atOnce}
	if d <= time.Second {
		l.share = 1
	}
	if !atOnce {
		w.extendFaults(d + 12*time.Second)
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
	s.w.extendFaults(d)
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
	report  core.WorkerStatus
}

// copyHeartbeat makes copies of a report that is being sent.
func (w *World) copyHeartbeat(worker *Worker, status core.WorkerStatus) {
	c := &w.copies
	if w.Now < c.late && w.Rng.IntN(3) == 0 {
		node := w.Nodes[worker.node]
		d := 2*time.Second + time.Duration(w.Rng.Float64()*float64(2*w.Cfg.WorkerLease))
		w.extendFaults(d)
		w.After(d, func() { node.receiveHeartbeat(status) })
	}
	if w.Now < c.keep {
		if c.kept == nil {
			c.kept = map[string][]kept{}
		}
		c.kept[worker.zone] = append(c.kept[worker.zone], kept{worker.name, status})
	}
}

// deliverKeptCopies has the copies kept for a part's next owner arrive at every controller, each
// machine's oldest and newest.
func (w *World) deliverKeptCopies(_, zone string) {
	first, last := map[string]core.WorkerStatus{}, map[string]core.WorkerStatus{}
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
		for _, status := range []core.WorkerStatus{first[name], last[name]} {
			for _, n := range w.Nodes {
				w.After(time.Duration(w.Rng.IntN(1500))*time.Millisecond, func() { n.receiveHeartbeat(status) })
			}
		}
	}
}
