package fake

import (
	"slices"
	"sort"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

const (
	// waitAtMost is how long work may be left waiting once all troubles are over while
	// a machine that fits has room and its team is under its limit.
	waitAtMost = 90 * time.Second
	// replicaBy is how long a service may lack replicas then, if machines can be had.
	replicaBy = 3 * time.Minute
	// cancelledStart is how long after a confirmed cancellation a task may still start
	// when nothing is wrong: commands that were under way.
	cancelledStart = 2 * time.Second
)

// allowed says whether a job's tasks may be on a machine, whatever else is there.
func (k *Worker) allowed(s *model.JobSpec) bool {
	return (s.Zone == "" || s.Zone == k.zone) && (s.Spot || !k.spot) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, k.typ)) && within(s.Need, k.kind().Capacity)
}

// fit says whether a machine can take work: it runs, it hears a controller, nobody takes
// it away, and it works as it should.
func (k *Worker) fit() bool {
	return k.started && !k.gone && k.spotNotice == 0 && k.token > 0 && k.w.Now >= k.hangUntil && !k.Faulty && k.Slow < 1.5
}

// limit is a team's limit; none for a team that is not known.
func (w *World) limit(team string) model.Resources {
	i := slices.IndexFunc(w.Cfg.Teams, func(t core.Team) bool { return t.Name == team })
	if i < 0 {
		return model.Resources{}
	}
	return w.Cfg.Teams[i].Limit
}

// limited says whether a team has any limit.
func (w *World) limited(team string) bool {
	limit := w.limit(team)
	return limit.Cores > 0 || limit.GPUs > 0
}

// allows says whether a team may use so much.
func (w *World) allows(team string, used model.Resources) bool {
	limit := w.limit(team)
	return (limit.Cores == 0 || used.Cores <= limit.Cores+1e-6) && (limit.GPUs == 0 || used.GPUs <= limit.GPUs+1e-6)
}

// cancelled judges a start after its job's user was told that it is cancelled.
func (r *Referee) cancelled(job *Job, id model.TaskID, worker *Worker) {
	if job.Cancelled == 0 || r.w.Now == job.Cancelled {
		return
	}
	r.AfterCancel++
	if r.w.FaultsOverAt+cancelledStart < job.Cancelled && r.w.Now > job.Cancelled+cancelledStart {
		r.broken("started_cancelled", "%v starts on %s %v after its user was told", id, worker.name, r.w.Now-job.Cancelled)
	}
}

// placed is what is on machines, in any state but ended.
type placed struct {
	tasks map[string][]*Worker // by job, one machine a task
	used  map[string]model.Resources
}

func (w *World) placed() placed {
	p := placed{map[string][]*Worker{}, map[string]model.Resources{}}
	names := make([]string, 0, len(w.Workers))
	for name := range w.Workers {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		worker := w.Workers[name]
		for id, t := range worker.tasks {
			if job := w.Jobs[id.Job]; job != nil && t.state != core.TaskExited {
				p.tasks[id.Job] = append(p.tasks[id.Job], worker)
				p.used[job.Spec.Team] = plus(p.used[job.Spec.Team], job.Spec.Need)
			}
		}
	}
	return p
}

// leftWaiting looks, once all troubles are over, for work that waits although a machine
// that fits has room, and for services that lack replicas.
func (r *Referee) leftWaiting() {
	w := r.w
	if w.Now < r.lookAt {
		return
	}
	r.lookAt = w.Now + time.Second
	calm, all := w.Now > w.FaultsOverAt, placed{}
	if calm {
		all = w.placed()
	}
	for _, id := range sortedJobs(w.Jobs) {
		job := w.Jobs[id]
		on := all.tasks[id]
		missing := job.Spec.Tasks - len(job.Finished) - len(on)
		if !calm || !job.Accepted || job.Over() || job.CancelRequested || job.Broken || missing <= 0 {
			job.Stuck, job.Short = 0, 0
			continue
		}
		used := all.used[job.Spec.Team]
		r.since(job, &job.Stuck, w.roomFor(job, on, used), waitAtMost, "left_waiting",
			"%s waits with %d tasks though a machine that fits has room", id, missing)
		r.since(job, &job.Short, job.Spec.Service && w.rentable(job, on, used), replicaBy, "replicas_missing",
			"%s lacks %d replicas", id, missing)
	}
}

// since notes since when something holds that may hold for so long only.
func (r *Referee) since(job *Job, at *time.Duration, holds bool, most time.Duration, rule, format string, args ...any) {
	switch {
	case !holds:
		*at = 0
	case *at == 0:
		*at = r.w.Now
	case r.w.Now > *at+most:
		r.broken(rule, format, args...)
		*at = r.w.Now
		r.w.explain(job)
	}
}

// explain logs what the controllers say of a job that waits, and what it could use.
func (w *World) explain(job *Job) {
	w.Log("%+v", job.Spec)
	for _, node := range w.Nodes {
		if e, ok := node.Core.Explain(job.Spec.ID); ok && node.up {
			w.Log("%s at %s: %+v", job.Spec.ID, node.Name, e)
		}
	}
	for _, worker := range w.Alive() {
		if worker.fit() && worker.allowed(&job.Spec) {
			w.Log("%s %s in %s uses %v", worker.name, worker.typ, worker.zone, worker.used(nil))
		}
	}
}

// roomFor says whether machines that are up have room for one more of a job's tasks; for
// all of them, if it is a gang.
func (w *World) roomFor(job *Job, on []*Worker, used model.Resources) bool {
	s, n := &job.Spec, 1
	if s.Gang {
		n = s.Tasks
	}
	more := used
	for range n {
		more = plus(more, s.Need)
	}
	if !w.allows(s.Team, more) || s.Gang && len(on) > 0 {
		return false
	}
	room := map[string]int{}
	for _, worker := range w.Workers {
		if worker.fit() && worker.allowed(s) && zoneAllows(s, on, worker.zone) {
			room[worker.zone] += worker.tasksMore(s.Need, n)
		}
	}
	for _, fits := range room {
		if fits >= n {
			return true
		}
	}
	return false
}

// tasksMore is how many more tasks of need a machine holds, up to n.
func (k *Worker) tasksMore(need model.Resources, n int) int {
	sum := model.Resources{}
	for i := range n {
		if sum = plus(sum, need); !k.holds(sum, nil) {
			return i
		}
	}
	return n
}

// zoneAllows says whether one more task may be in a zone, given where the others are.
func zoneAllows(s *model.JobSpec, on []*Worker, zone string) bool {
	same := 0
	for _, worker := range on {
		if worker.zone == zone {
			same++
		}
	}
	return (!s.OneZone || same == len(on)) && (!s.SpreadZones || same < (s.Tasks+1)/2)
}

// rentable says whether the cloud has a machine for one more of a job's tasks.
func (w *World) rentable(job *Job, on []*Worker, used model.Resources) bool {
	s := &job.Spec
	if !w.allows(s.Team, plus(used, s.Need)) {
		return false
	}
	for _, t := range w.Cloud.Types {
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				worker := &Worker{w: w, typ: t.Name, zone: z, spot: spot}
				if w.Cloud.Room[roomKey(t.Name, z, spot)] > 0 && worker.allowed(s) && zoneAllows(s, on, z) {
					return true
				}
			}
		}
	}
	return false
}
