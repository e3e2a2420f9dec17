package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// ask sends a user's request and returns the status, or 0 without an answer, and the state.
func (b *Bed) ask(node int, method, path string, body []byte, limit time.Duration) (status int, state string, done int) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+b.nodes[node].api+path, bytes.NewReader(body))
	resp, err := b.httpUser.Do(req)
	if err != nil {
		return 0, "", 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", 0
	}
	var v struct {
		State string `json:"Standing"`
		Done  int    `json:"done"`
	}
	json.Unmarshal(text, &v)
	return resp.StatusCode, v.State, v.Done
}

// Submit submits a job at a node, and at the next one after a second, for up to 60 s.
func (b *Bed) Submit(node int, j *JobSpec) bool {
	b.mu.Lock()
	b.jobs[j.Ref] = j
	b.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for time.Now().Before(end) {
		sent := time.Now()
		status, state, _ := b.ask(node, "POST", "/v2/runs", j.body(), 5*time.Second)
		b.note("user: submit %s (%d tasks) at paddock-%d: %d %s", j.Ref, j.Tasks, node, status, state)
		b.checker.answer(j.Ref, sent, status, state, true)
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
		time.Sleep(time.Second)
		node = (node + 1) % len(b.nodes)
	}
	return false
}

// Poll asks for a job once.
func (b *Bed) Poll(node int, id string) (status int, state string, done int) {
	sent := time.Now()
	status, state, done = b.ask(node, "GET", "/v2/runs/"+id, nil, 2*time.Second)
	if b.verbose || status != 200 {
		b.note("user: poll %s at paddock-%d: %d %s", id, node, status, state)
	}
	b.checker.answer(id, sent, status, state, false)
	return status, state, done
}

// Cancel cancels a job, at the given node first, for up to 60 s.
func (b *Bed) Cancel(node int, id string) (string, bool) {
	b.mu.Lock()
	b.jobs[id].cancelAsked = true
	b.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for time.Now().Before(end) {
		sent := time.Now()
		status, state, _ := b.ask(node, "POST", "/v2/runs/"+id+"/withdraw", nil, 5*time.Second)
		b.note("user: withdraw %s at paddock-%d: %d %s", id, node, status, state)
		b.checker.answer(id, sent, status, state, false)
		if status == 200 {
			return state, true
		}
		time.Sleep(time.Second)
		node = (node + 1) % len(b.nodes)
	}
	return "", false
}

// WaitDone polls the jobs until each is done or cancelled, or the time is over. It returns those
// that are not.
func (b *Bed) WaitDone(until time.Time, ids ...string) []string {
	open := ids
	for node := 0; len(open) > 0; node++ {
		var left []string
		for _, id := range open {
			status, state, _ := b.Poll(node%len(b.nodes), id)
			if status != 200 || state != "done" && state != "withdrawn" {
				left = append(left, id)
			} else {
				b.note("user: %s is %s", id, state)
			}
		}
		open = left
		if len(open) == 0 || time.Now().After(until) {
			return open
		}
		time.Sleep(time.Second)
	}
	return open
}
