package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// jobSpec is a submission, with how the stand-in's tasks run.
type jobSpec struct {
	Ref               string
	Class             string `json:"Docket"`
	Desk              string
	Form              string
	Urgency           string
	Tasks             int `json:"Sheets"`
	Cores             float64
	GPUs              float64 `json:"Cards"`
	MemGb             float64
	Build             string
	PullGb            float64
	Types             []string `json:"Breeds"`
	Zone              *string  `json:"Yard"`
	OneZone           bool
	Apart             bool
	Spot              bool `json:"Loaners"`
	ExpectedS         float64
	CheckpointSeconds float64 `json:"BookmarkS"`
	SaveSeconds       float64 `json:"StowS"`
	DueS              *float64

	run     time.Duration                                                     // run time of a task; 0: until it is stopped
	outcome func(task string, try uint64, m *machine) (time.Duration, string) // run time and cause of an attempt's end, if set
}

// answer is the reply to a user's request.
type answer struct {
	status  int // 0: no answer
	state   string
	done    int
	running int
}

// request sends a user's request to a controller. asked is when it was sent.
func (l *lab) request(n *node, method, path string, body []byte, limit time.Duration) answer {
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+n.apiAddr+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	var status struct {
		State   string `json:"Standing"`
		Done    int    `json:"done"`
		Running int    `json:"running"`
	}
	if resp.StatusCode < 300 {
		_ = json.Unmarshal(text, &status)
	}
	return answer{resp.StatusCode, status.State, status.Done, status.Running}
}

// submitOnce submits a job at a controller.
func (l *lab) submitOnce(n *node, spec *jobSpec) answer {
	l.addSpec(spec)
	asked := time.Now()
	body, _ := json.Marshal(spec)
	a := l.request(n, http.MethodPost, "/v2/runs", body, 5*time.Second)
	l.record("user submits %s at %s: %d %s", spec.Ref, n.cfg.label, a.status, a.state)
	l.checker.answered(spec.Ref, "submit", n, asked, a)
	return a
}

// submit submits a job until it is accepted or refused, for up to a minute, beginning at a controller.
func (l *lab) submit(first int, spec *jobSpec) bool {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		a := l.submitOnce(l.nodes[first%len(l.nodes)], spec)
		if a.status == 200 || a.status == 201 {
			return true
		}
		if a.status == 400 || a.status == 422 {
			return false
		}
		first++
	}
	return false
}

// poll asks a controller for a job's state.
func (l *lab) poll(n *node, id string) answer {
	asked := time.Now()
	a := l.request(n, http.MethodGet, "/v2/runs/"+id, nil, 2*time.Second)
	l.record("user asks for %s at %s: %d %s, %d done, %d running", id, n.cfg.label, a.status, a.state, a.done, a.running)
	l.checker.answered(id, "poll", n, asked, a)
	return a
}

// cancelOnce cancels a job at a controller.
func (l *lab) cancelOnce(n *node, id string) answer {
	asked := time.Now()
	l.checker.cancelAsked(id)
	a := l.request(n, http.MethodPost, "/v2/runs/"+id+"/withdraw", nil, 5*time.Second)
	l.record("user cancels %s at %s: %d %s", id, n.cfg.label, a.status, a.state)
	l.checker.answered(id, "cancel", n, asked, a)
	return a
}

// newArray returns a job array of tasks that run for the given time.
func newArray(number, tasks int, desk string, cores float64, run time.Duration) *jobSpec {
	return &jobSpec{
		Ref: fmt.Sprintf("job-%06d", number), Class: "seat-checkout", Desk: desk, Form: "array", Urgency: "high",
		Tasks: tasks, Cores: cores, MemGb: 1, Build: "img-01", PullGb: 0.1, Spot: true, ExpectedS: run.Seconds(), run: run,
	}
}
