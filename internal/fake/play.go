package fake

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Verdict is what became of a script.
type Verdict struct {
	Broken    []string // what was wrong, in the order in which it was seen
	Injected  []bool   // by strike of the script: whether its moment came
	StepsSeen map[Step]int
	Starts    int
	// Meetings counts starts after a confirmed cancellation, which break no rule by themselves.
	AfterCancel int
	Ended       time.Duration
}

// Rule is the first rule broken, or nothing.
func (v Verdict) Rule() string {
	if len(v.Broken) == 0 {
		return ""
	}
	_, rest, _ := strings.Cut(v.Broken[0], " ")
	rule, _, _ := strings.Cut(rest, ":")
	return rule
}

// How long a day goes on after its last trouble.
const (
	settleWithin = 10 * time.Minute // all that can end must have ended
	afterwards   = time.Minute      // for what comes late
)

// settles is how long all that can end may take: twice as long in worlds in which a
// team's limit is below the usual, where its work comes faster than it may run.
func (s Script) settles() time.Duration {
	usual := Settings().Teams
	for i, t := range s.World.Teams {
		if i < len(usual) && t.Limit.Cores < usual[i].Limit.Cores {
			return 2 * settleWithin
		}
	}
	return settleWithin
}

// Play plays the script. A panic in it counts as a broken rule. log, if any, hears all
// that happens.
func (s Script) Play(log func(string, ...any)) Verdict {
	w := s.build()
	if log != nil {
		w.Log = log
	}
	return s.playIn(w)
}

// playIn plays the script in a world that was built for it.
func (s Script) playIn(w *World) (v Verdict) {
	v = Verdict{Injected: make([]bool, len(s.Steps)), StepsSeen: map[Step]int{}}
	defer func() {
		if p := recover(); p != nil {
			v.Broken = append(v.Broken, fmt.Sprintf("%v panic: %v", w.Now, p))
		}
	}()
	jobs := s.submit(w)
	s.arm(w, &v)
	w.Run(s.lastAt() + time.Second)
	over := func() bool { return allOver(jobs) }
	if w.Until(s.settles(), func() bool { return w.Now > w.FaultsOverAt && (over() || services(jobs) != nil) }); !over() {
		w.Run(replicaBy + 15*time.Second) // replicas must be there by then
	}
	for _, j := range services(jobs) {
		w.Cancel(j)
	}
	w.Until(s.settles(), over)
	for _, j := range jobs {
		if !j.ended() {
			w.Referee.broken("not_over", "%s has %d of %d tasks done", j.Spec.ID, len(j.Finished), j.Spec.Tasks)
			w.explain(j)
		}
	}
	w.Run(afterwards)
	v.Broken = append(v.Broken, w.Referee.Broken...)
	v.Starts, v.AfterCancel, v.Ended = w.Referee.Starts, w.Referee.AfterCancel, w.Now
	return v
}

// submit has users submit the script's jobs, and cancel some.
func (s Script) submit(w *World) []*Job {
	jobs := make([]*Job, len(s.Jobs))
	for i, r := range s.Jobs {
		spec := r.Spec
		spec.ID = r.ID
		jobs[i] = &Job{Spec: spec, Run: seconds(r.Run), Broken: r.Broken}
		w.After(seconds(r.At), func() {
			w.submit(jobs[i])
			if r.Cancel > 0 {
				w.After(seconds(r.Cancel), func() { w.cancelAccepted(jobs[i]) })
			}
		})
	}
	return jobs
}

// cancelAccepted has a user cancel a job, once it is accepted.
func (w *World) cancelAccepted(job *Job) {
	switch {
	case job.Accepted && !job.CancelRequested:
		w.Cancel(job)
	case !job.ended():
		w.After(time.Second, func() { w.cancelAccepted(job) })
	}
}

// ended says whether the job is over for its user, refused for good included.
func (j *Job) ended() bool { return j.Over() || j.Refused }

func allOver(jobs []*Job) bool {
	return !slices.ContainsFunc(jobs, func(j *Job) bool { return !j.ended() })
}

// services lists the services that nobody has cancelled.
func services(jobs []*Job) (list []*Job) {
	for _, j := range jobs {
		if !j.ended() && j.Spec.Service && !j.CancelRequested {
			list = append(list, j)
		}
	}
	return list
}

// lastAt is the last time that the script names.
func (s Script) lastAt() time.Duration {
	last := s.World.Noise
	for _, j := range s.Jobs {
		last = max(last, j.At+j.Cancel)
	}
	for _, x := range s.Steps {
		last = max(last, x.At)
	}
	return seconds(last)
}

// arm sets the strikes up.
func (s Script) arm(w *World, v *Verdict) {
	counts := map[Step]map[Phase]int{}
	for _, step := range Steps {
		counts[step] = map[Phase]int{}
	}
	for i, x := range s.Steps {
		if x.Step == "" {
			w.After(seconds(x.At), func() {
				v.Injected[i] = true
				x.inject(w, Moment{})
			})
		}
	}
	w.OnMoment = func(m Moment) {
		counts[m.Step][m.Phase]++
		if m.Phase == During {
			v.StepsSeen[m.Step]++
		}
		for i, x := range s.Steps {
			if !v.Injected[i] && x.Step == m.Step && x.Phase == m.Phase && x.N == counts[m.Step][m.Phase] {
				v.Injected[i] = true
				x.inject(w, m)
			}
		}
	}
}

// inject has the trouble happen to whom the moment concerns, or whom the script names.
func (x InjectedFault) inject(w *World, m Moment) {
	at := Target{m.Node, m.Worker, m.Job}
	if at.Node == nil && at.Worker != nil {
		at.Node = w.OwnerOf(at.Worker.zone)
	}
	if at.Node == nil {
		at.Node = w.Nodes[0]
	}
	for i, node := range w.Nodes {
		if node.Name == x.Node {
			at.Node = node
		}
		if x.Node == "other" && node == at.Node {
			at.Node = w.Nodes[(i+1)%len(w.Nodes)]
			break
		}
	}
	if alive := w.Alive(); x.Machine > 0 && len(alive) > 0 {
		at.Worker = alive[(x.Machine-1)%len(alive)]
	} else if at.Worker == nil {
		at.Worker = w.busyMachine(at)
	}
	t, _ := FaultNamed(x.Fault)
	if x.Delay > 0 {
		w.extendFaults(seconds(x.Delay))
		w.After(seconds(x.Delay), func() { t.Inject(w, at, seconds(x.For)) })
		return
	}
	t.Inject(w, at, seconds(x.For))
}

// busyMachine is a machine with tasks: of the target's job, if there is one, else of a
// zone that its controller owns, else any.
func (w *World) busyMachine(at Target) *Worker {
	var owned, first *Worker
	for _, worker := range w.Alive() {
		if len(worker.tasks) == 0 {
			continue
		}
		for id := range worker.tasks {
			if at.Job != nil && id.Job == at.Job.Spec.ID {
				return worker
			}
		}
		if first == nil {
			first = worker
		}
		if owned == nil && w.OwnerOf(worker.zone) == at.Node {
			owned = worker
		}
	}
	if owned != nil {
		return owned
	}
	return first
}
