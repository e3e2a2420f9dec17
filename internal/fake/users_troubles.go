package fake

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
	"roadcleat/internal/wire"
)

// Users counts what users did beyond the ordinary, so that a story can show that it
// came about.
type Users struct {
	Polls   int // answers to questions asked closely
	AtOnce  int // jobs cancelled as soon as they were accepted
	Repeats int // submissions of unfinished jobs answered again
	Stopped int // cancellations of jobs that were done
	Nobodys int // questions about jobs that nobody submitted, answered 404
	Bad     int // submissions refused as they should be

	closely time.Duration // users look closely until then
	share   float64       // of the jobs accepted meanwhile are cancelled at once
}

// PollClosely has users ask at all nodes, again and again within milliseconds, and
// repeat the submission, right after a job was accepted, ended or confirmed as
// cancelled, for a while. A share of the jobs is cancelled as soon as it is accepted.
func (w *World) PollClosely(d time.Duration, share float64) {
	w.Users.closely, w.Users.share = w.Now+d, share
}

// noticed looks closely at a job about which its user has just learned something.
func (w *World) noticed(job *Job) {
	if w.Now >= w.Users.closely || job.Bad {
		return
	}
	stage := 0
	switch {
	case job.Over():
		stage = 2
	case job.Accepted:
		stage = 1
	}
	if stage <= job.looked {
		return
	}
	job.looked = stage
	w.Poll(job, 4)
	if stage == 1 && w.Rng.Float64() < w.Users.share {
		w.Users.AtOnce++
		w.Cancel(job)
	}
}

// Poll has the job's user ask at all nodes and repeat the submission there, some times
// within milliseconds.
func (w *World) Poll(job *Job, times int) {
	count := func(status int) {
		if status == 200 {
			w.Users.Polls++
		}
	}
	for i := range times {
		w.After(time.Duration(i)*4*time.Millisecond, func() {
			for _, node := range w.Nodes {
				w.ask(node, job.Spec.ID, count)
				w.repeat(node, job, count)
			}
		})
	}
}

// ask asks a node about a job.
func (w *World) ask(n *Node, id string, then func(status int)) {
	w.user(n, id, func(req uint64) core.Event { return core.JobQuery{RequestID: req, ID: id} }, then)
}

// repeat sends a job's submission to a node once more.
func (w *World) repeat(n *Node, job *Job, then func(status int)) {
	w.user(n, job.Spec.ID, func(req uint64) core.Event { return core.JobSubmission{RequestID: req, Spec: job.Spec} }, then)
}

// send has a user send a body to a node as a job's submission.
func (w *World) send(node *Node, id string, body []byte, then func(status int)) {
	w.user(node, id, func(req uint64) core.Event {
		spec, err := wire.DecodeSubmission(body)
		ev := core.JobSubmission{RequestID: req, Spec: spec}
		if err != nil {
			ev.Malformed = err.Error()
		}
		return ev
	}, then)
}

// fields are a submission's, as its user writes them.
func fields(s model.JobSpec) map[string]any {
	form := "array"
	if s.Service {
		form = "daemon"
	}
	return map[string]any{"Ref": s.ID, "Docket": s.Class, "Desk": s.Team, "Form": form,
		"Urgency": []string{"production", "high", "normal", "low"}[s.Priority], "Sheets": s.Tasks,
		"Cores": s.Need.Cores, "Cards": s.Need.GPUs, "MemGb": s.Need.MemoryGB, "Build": s.Image, "PullGb": s.ImageGB,
		"OneZone": s.OneZone, "Apart": s.SpreadZones, "Loaners": s.Spot, "ExpectedS": s.EstimateSeconds, "BookmarkS": s.CheckpointSeconds,
		"StowS": s.SaveSeconds}
}

// needed are the fields that no submission may lack.
var needed = []string{"Docket", "Desk", "Form", "Urgency", "Sheets", "Cores", "Cards", "MemGb", "Build", "PullGb",
	"OneZone", "Apart", "Loaners", "ExpectedS", "BookmarkS", "StowS"}

// without is a body that lacks a field.
func without(s model.JobSpec, field string) []byte {
	f := fields(s)
	delete(f, field)
	b, _ := json.Marshal(f)
	return b
}

// canRun is the referee's own view of whether a job can ever run.
func (w *World) canRun(s *model.JobSpec) bool {
	zones := map[string]bool{}
	for _, t := range w.Cloud.Types {
		fits := s.Need.Cores <= t.Capacity.Cores && s.Need.GPUs <= t.Capacity.GPUs && s.Need.MemoryGB <= t.Capacity.MemoryGB
		if !fits || len(s.Types) > 0 && !slices.Contains(s.Types, t.Name) {
			continue
		}
		for _, z := range t.Zones {
			if s.Zone == "" || s.Zone == z {
				zones[z] = true
			}
		}
	}
	least := 1
	if s.SpreadZones && s.Tasks > 1 {
		least = 2
	}
	together := 1.0 // so many tasks run at a time or not at all
	if s.Service || s.Gang {
		together = float64(s.Tasks)
	}
	for _, t := range w.Cfg.Teams {
		if t.Name == s.Team {
			over := t.Limit.Cores > 0 && together*s.Need.Cores > t.Limit.Cores || t.Limit.GPUs > 0 && together*s.Need.GPUs > t.Limit.GPUs
			return !over && len(zones) >= least && !(least == 2 && s.OneZone)
		}
	}
	return false
}

// OddRequests has users repeat submissions of unfinished jobs, whole and malformed,
// cancel jobs that are done, ask about jobs that nobody submitted, and send jobs that
// fit no machine or lack a field, for a while.
func (w *World) OddRequests(d time.Duration) {
	end := w.Now + d
	var next func()
	next = func() {
		if w.Now < end {
			w.oddRequest()
			w.After(time.Duration(50+w.Rng.IntN(400))*time.Millisecond, next)
		}
	}
	next()
}

func (w *World) oddRequest() {
	node := w.Nodes[w.Rng.IntN(len(w.Nodes))]
	field := needed[w.Rng.IntN(len(needed))]
	counts := func(to *int, want int) func(int) {
		return func(status int) {
			if status == want {
				*to++
			}
		}
	}
	var unfinished, done []*Job
	for _, id := range sortedJobs(w.Jobs) {
		switch j := w.Jobs[id]; {
		case j.Told == model.JobDone:
			done = append(done, j)
		case j.Accepted && !j.Over():
			unfinished = append(unfinished, j)
		}
	}
	switch kind := w.Rng.IntN(6); {
	case kind == 0 && len(unfinished) > 0:
		w.repeat(node, unfinished[w.Rng.IntN(len(unfinished))], counts(&w.Users.Repeats, 200))
	case kind == 1 && len(unfinished) > 0:
		j := unfinished[w.Rng.IntN(len(unfinished))]
		w.send(node, j.Spec.ID, without(j.Spec, field), counts(&w.Users.Repeats, 200))
	case kind == 2 && len(done) > 0:
		id := done[w.Rng.IntN(len(done))].Spec.ID
		w.user(node, id, func(req uint64) core.Event { return core.JobCancellation{RequestID: req, ID: id} }, counts(&w.Users.Stopped, 200))
	case kind == 3:
		w.ask(node, fmt.Sprintf("job-%d", 900000+w.Rng.IntN(1000)), counts(&w.Users.Nobodys, 404))
	default:
		w.odd++
		s := model.JobSpec{ID: fmt.Sprintf("job-%d", 800000+w.odd), Class: "odd", Team: w.Cfg.Teams[0].Name, Tasks: 1,
			Need: model.Resources{Cores: 1, MemoryGB: 1}, Spot: true, Image: "img"}
		if kind == 4 {
			s.Need.MemoryGB, field = 1e6, ""
		}
		w.SubmitBad(s, without(s, field))
	}
}

// SubmitBad has a user submit what can't run or lacks a field, until it is refused.
func (w *World) SubmitBad(s model.JobSpec, body []byte) *Job {
	job := &Job{Spec: s, Bad: true, Finished: map[int]bool{}, Saved: map[int]time.Duration{}, Came: w.Now}
	w.Jobs[s.ID] = job
	var try func()
	try = func() {
		w.send(w.anyNode(), s.ID, body, func(status int) {
			switch status {
			case 400, 422:
				w.Users.Bad++
				job.Refused = true
			case 200, 201: // the referee has seen it
			default:
				w.After(time.Second, try)
			}
		})
	}
	try()
	return job
}
