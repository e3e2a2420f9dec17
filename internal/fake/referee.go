package fake

import (
	"fmt"
	"sort"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// Job is a job of a user, with its true run time.
type Job struct {
	Spec            model.JobSpec
	Run             time.Duration
	Broken          bool // submitted with a mistake: it fails on every machine
	Bad             bool // it can't run or lacks a field
	looked          int  // how far its user has looked closely at it: accepted, over
	Starts          int
	Finished        map[int]bool
	Saved           map[int]time.Duration // progress by task
	Accepted        bool
	Refused         bool // it can't run or lacks a field, the user was told
	Told            model.JobState
	Cancelled       time.Duration // when the user was told, 0: not
	CancelRequested bool
	Came            time.Duration // when it was first submitted
	Began           time.Duration // when its first task started, 0: not yet
	Answered        time.Duration // when a question about it was last answered
	ToldDone        time.Duration
	Stuck           time.Duration // since when it waits although it need not, 0: it does not
	Short           time.Duration // since when a service lacks replicas, 0: it does not
}

func (j *Job) save(i int, progress time.Duration) { j.Saved[i] = max(j.Saved[i], progress) }

// Referee knows the rules and notes where they are broken.
type Referee struct {
	w      *World
	where  map[model.TaskID]map[*Worker]bool
	Broken []string
	Starts int
	// AfterCancel counts the starts after a confirmed cancellation. Those within
	// cancel_s break no rule while there are troubles, but the page counts them.
	AfterCancel int

	lookAt time.Duration // when to look for work left waiting
}

func newReferee(w *World) *Referee {
	r := &Referee{w: w, where: map[model.TaskID]map[*Worker]bool{}}
	var tick func()
	tick = func() {
		r.overdue()
		w.After(500*time.Millisecond, tick)
	}
	w.After(0, tick)
	return r
}

func (r *Referee) broken(rule, format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf("%v %s: %s", r.w.Now, rule, fmt.Sprintf(format, args...)))
}

// on is called when a task starts on a machine.
func (r *Referee) on(id model.TaskID, worker *Worker) {
	r.Starts++
	job := r.w.Jobs[id.Job]
	job.Starts++
	job.Stuck = 0
	if job.Began == 0 {
		job.Began = r.w.Now
	}
	if len(r.where[id]) > 0 && !r.where[id][worker] {
		r.broken("ran_twice", "%v starts on %s", id, worker.name)
	}
	if r.where[id] == nil {
		r.where[id] = map[*Worker]bool{}
	}
	r.where[id][worker] = true
	r.place(job, id, worker)
	if job.Cancelled > 0 && r.w.Now > job.Cancelled+r.w.Cfg.CancelWithin {
		r.broken("ran_cancelled", "%v starts on %s", id, worker.name)
	}
	r.cancelled(job, id, worker)
	if r.w.limited(job.Spec.Team) {
		r.quota(job, id, worker)
	}
}

// quota checks what the team's tasks use together.
func (r *Referee) quota(job *Job, id model.TaskID, worker *Worker) {
	var used model.Resources
	for t, ks := range r.where {
		if j := r.w.Jobs[t.Job]; j.Spec.Team == job.Spec.Team {
			for range ks {
				used = plus(used, j.Spec.Need)
			}
		}
	}
	if !r.w.allows(job.Spec.Team, used) {
		r.broken("quota", "%s uses %v with %v on %s", job.Spec.Team, used, id, worker.name)
		for x, ks := range r.where {
			for o := range ks {
				if j := r.w.Jobs[x.Job]; j.Spec.Team == job.Spec.Team {
					r.w.Log("in use: %v on %s in %s: %v", x, o.name, o.zone, j.Spec.Need)
				}
			}
		}
	}
}

// place checks type, zone and kind against the job and its other tasks.
func (r *Referee) place(job *Job, id model.TaskID, worker *Worker) {
	s := &job.Spec
	wrong := !worker.allowed(s)
	if s.OneZone || s.SpreadZones {
		here, elsewhere := r.inZone(id.Job, worker.zone)
		wrong = wrong || s.OneZone && elsewhere > 0 || s.SpreadZones && here > (s.Tasks+1)/2
	}
	if wrong {
		r.broken("wrong_place", "%v starts on %s in %s", id, worker.name, worker.zone)
	}
}

// inZone counts a job's tasks in a zone and in all others.
func (r *Referee) inZone(job, zone string) (here, elsewhere int) {
	for t, ks := range r.where {
		if t.Job != job {
			continue
		}
		for o := range ks {
			if o.zone == zone {
				here++
			} else {
				elsewhere++
			}
		}
	}
	return here, elsewhere
}

// off is called when a task is no longer on a machine.
func (r *Referee) off(id model.TaskID, worker *Worker) {
	delete(r.where[id], worker)
	if len(r.where[id]) == 0 {
		delete(r.where, id)
	}
}

// forgetAfter is how long a job may go without an answered question once all
// troubles are over.
const forgetAfter = 75 * time.Second

// beginWithin is how soon the largest jobs of a class must begin.
const beginWithin = 4 * time.Minute

// Served checks at the end of a day that no class, team or class's largest jobs
// were starved. A quarter of a class's jobs are its largest.
func (r *Referee) Served() {
	groups := map[string][]*Job{}
	byClass := map[string][]*Job{}
	for _, id := range sortedJobs(r.w.Jobs) {
		j := r.w.Jobs[id]
		if !j.Accepted || j.CancelRequested || j.Spec.Service {
			continue
		}
		groups["class "+j.Spec.Class] = append(groups["class "+j.Spec.Class], j)
		groups["team "+j.Spec.Team] = append(groups["team "+j.Spec.Team], j)
		byClass[j.Spec.Class] = append(byClass[j.Spec.Class], j)
	}
	for class, jobs := range byClass {
		sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].Spec.Tasks > jobs[b].Spec.Tasks })
		large := jobs[:(len(jobs)+3)/4]
		groups["largest of class "+class] = large
		for _, j := range large {
			if j.Began == 0 && r.w.Now > j.Came+beginWithin || j.Began > j.Came+beginWithin {
				r.broken("starved", "%s, one of the largest of %s, began after %v", j.Spec.ID, class, j.Began-j.Came)
			}
		}
	}
	var names []string
	for name := range groups {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		served := 0
		for _, j := range groups[name] {
			if j.Told == model.JobDone {
				served++
			}
		}
		if 2*served < len(groups[name]) {
			r.broken("starved", "%s: %d of %d jobs served", name, served, len(groups[name]))
		}
	}
}

func sortedJobs(jobs map[string]*Job) []string {
	var ids []string
	for id := range jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (r *Referee) overdue() {
	r.leftWaiting()
	for _, id := range sortedJobs(r.w.Jobs) {
		job := r.w.Jobs[id]
		if job.Accepted && !job.Over() && r.w.Now > max(r.w.FaultsOverAt, job.Answered)+forgetAfter {
			r.broken("forgotten", "no question about %s is answered", id)
			job.Answered = r.w.Now
		}
	}
	for id := range r.where {
		job := r.w.Jobs[id.Job]
		if job.Cancelled > 0 && r.w.Now > job.Cancelled+r.w.Cfg.CancelWithin {
			r.broken("ran_cancelled", "%v is still on a machine", id)
			job.Cancelled = 0
		}
	}
}

// known is what a user had been told when a request was sent; an answer may
// not be older than that.
type known struct {
	accepted bool
	told     model.JobState
}

func (r *Referee) known(id string) known {
	if job := r.w.Jobs[id]; job != nil {
		return known{job.Accepted, job.Told}
	}
	return known{}
}

// told checks an answer to a user.
func (r *Referee) told(id string, status int, s model.JobState, before known) {
	job := r.w.Jobs[id]
	if job == nil {
		if status == 200 {
			r.broken("invented", "%s is answered 200", id)
		}
		return
	}
	switch {
	case status == 404 || status == 400 || status == 422:
		if before.accepted {
			r.broken("forgotten", "%s is answered %d", id, status)
		}
		if status != 404 && !job.Bad && r.w.canRun(&job.Spec) {
			r.broken("refused", "%s, which can run, is answered %d", id, status)
		}
		return
	case status != 200 && status != 201:
		return
	}
	if job.Bad || !r.w.canRun(&job.Spec) {
		r.broken("bad_accepted", "%s is answered %d", id, status)
	}
	if status == 201 && before.accepted {
		r.broken("went_back", "%s was accepted and is so anew", id)
	}
	job.Accepted, job.Answered = true, r.w.Now
	over := before.told == model.JobDone || before.told == model.JobCancelled
	if over && s != before.told || s == model.JobCancelled && !job.CancelRequested {
		r.broken("went_back", "%s was %d and is called %d", id, job.Told, s)
	}
	if s == model.JobDone && len(job.Finished) < job.Spec.Tasks {
		r.broken("not_done", "%s has %d of %d tasks done", id, len(job.Finished), job.Spec.Tasks)
	}
	if s == model.JobCancelled && job.Cancelled == 0 && job.Told != model.JobCancelled {
		job.Cancelled = r.w.Now
	}
	if s == model.JobDone && job.ToldDone == 0 {
		job.ToldDone = r.w.Now
	}
	if !over && (s == model.JobDone || s == model.JobCancelled || !job.Over()) {
		job.Told = s
	}
}

// user asks a node and tells the referee what came back.
func (w *World) user(node *Node, id string, request func(req uint64) core.Event, then func(status int)) {
	before := w.Referee.known(id)
	rpc[core.Effect](w, "users", node.Name, 5*time.Second, core.UserReply{}, func(answer func(core.Effect)) {
		if !node.up {
			answer(core.UserReply{})
			return
		}
		node.ask(request, answer)
	}, func(reply core.Effect) {
		rep, _ := reply.(core.UserReply)
		w.Referee.told(id, rep.Status, rep.Job.State, before)
		if job := w.Jobs[id]; job != nil {
			if job.Told == model.JobCancelled && before.told != model.JobCancelled {
				w.moment(Moment{CancelJob, After, node, nil, job})
			}
			w.noticed(job)
		}
		then(rep.Status)
	})
}

// Submit has a user submit a job, again and again until it is taken, and poll
// it until it is over.
func (w *World) Submit(spec model.JobSpec, run time.Duration) *Job {
	job := &Job{Spec: spec, Run: run}
	w.submit(job)
	return job
}

func (w *World) submit(job *Job) {
	spec := job.Spec
	job.Finished, job.Saved, job.Came = map[int]bool{}, map[int]time.Duration{}, w.Now
	w.Jobs[spec.ID] = job
	var try func()
	try = func() {
		w.user(w.anyNode(), spec.ID, func(req uint64) core.Event { return core.JobSubmission{RequestID: req, Spec: spec} }, func(status int) {
			switch status {
			case 200, 201:
				w.poll(job)
			case 400, 422:
				job.Refused = true
			default:
				w.After(time.Second, try)
			}
		})
	}
	try()
}

func (w *World) anyNode() *Node {
	for i := 0; i < 5; i++ {
		if n := w.Nodes[w.Rng.IntN(len(w.Nodes))]; n.up {
			return n
		}
	}
	return w.Nodes[0]
}

func (w *World) poll(job *Job) {
	w.user(w.anyNode(), job.Spec.ID, func(req uint64) core.Event { return core.JobQuery{RequestID: req, ID: job.Spec.ID} }, func(int) {
		if job.Told != model.JobDone && job.Told != model.JobCancelled {
			w.After(2*time.Second, func() { w.poll(job) })
		}
	})
}

// Cancel has the job's user cancel it, repeated until it is answered.
func (w *World) Cancel(job *Job) {
	job.CancelRequested = true
	w.user(w.anyNode(), job.Spec.ID, func(req uint64) core.Event { return core.JobCancellation{RequestID: req, ID: job.Spec.ID} }, func(status int) {
		if status != 200 && status != 404 {
			w.After(time.Second, func() { w.Cancel(job) })
		}
	})
}

// Over says whether the job's user has been told that it has ended.
func (j *Job) Over() bool { return j.Told == model.JobDone || j.Told == model.JobCancelled }

// On lists where a job's tasks run.
func (w *World) On(id string) map[*Worker]int {
	out := map[*Worker]int{}
	for t, ks := range w.Referee.where {
		if t.Job == id {
			for k := range ks {
				out[k]++
			}
		}
	}
	return out
}
