package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sort"
	"time"
)

// report returns the worker's report; the caller holds the lock.
func (w *Worker) report() []byte {
	w.tally++
	list := make([]*wtask, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].order < list[j].order })
	type task struct {
		Task    string `json:"Sheet"`
		Attempt uint64 `json:"Try"`
		State   string `json:"Standing"`
		Cause   string `json:",omitempty"`
	}
	taskList := []task{}
	for _, t := range list {
		taskList = append(taskList, task{t.task, t.try, t.state, t.cause})
	}
	b, _ := json.Marshal(struct {
		Host        string
		Address     string `json:"Endpoint"`
		Type        string `json:"Breed"`
		Zone        string `json:"Yard"`
		Spot        bool   `json:"Loaners"`
		Incarnation uint64 `json:"Shift"`
		Tally       uint64
		Token       uint64   `json:"Baton"`
		SpotNotice  *float64 `json:"RecallS"`
		Tasks       []task   `json:"Sheets"`
	}{w.m.name, w.addr, w.m.typ, w.m.zone, w.m.spot, w.incarnation, w.tally, w.token, nil, taskList})
	if len(b) > w.biggest {
		w.biggest = len(b)
	}
	return b
}

func (w *Worker) reports() {
	for !w.isDead() {
		w.waitHung()
		pause := w.sendReport()
		began := time.Now()
		wait := time.Duration(w.bed.site.ReportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
		if pause > 0 {
			time.Sleep(pause)
			continue
		}
		time.Sleep(500 * time.Millisecond)
		select {
		case <-w.changed:
		case <-time.After(wait - time.Since(began)):
		}
	}
}

// sendReport sends one report. It returns a pause after which the next node is tried, or 0.
func (w *Worker) sendReport() time.Duration {
	w.mu.Lock()
	body, sent, incarnation, node, cannotReport := w.report(), time.Now(), w.incarnation, w.node, w.cannotReport
	w.mu.Unlock()
	next := func() time.Duration {
		w.mu.Lock()
		w.node = (node + 1) % len(w.bed.nodes)
		w.mu.Unlock()
		return time.Second
	}
	if cannotReport || !w.bed.linked(w.m.zone, node) {
		time.Sleep(1500 * time.Millisecond)
		return next()
	}
	if rand.Float64() < w.bed.lateReports() {
		go w.copyLate(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+w.bed.nodes[node].api+"/agent/beat", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return next()
	}
	answer, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	w.waitHung()
	w.mu.Lock()
	losesAnswers := w.losesAnswers
	w.mu.Unlock()
	if err != nil || losesAnswers || time.Since(sent) > 4*time.Second {
		return next()
	}
	if resp.StatusCode == 421 {
		return w.redirected(node, answer, next)
	}
	if resp.StatusCode != 200 {
		w.bed.refusedReport(w, node, resp.StatusCode, len(body), string(answer))
		return next()
	}
	w.accept(node, answer, sent, incarnation)
	return 0
}

// redirected goes to the node that a 421 names, or to the next one.
func (w *Worker) redirected(node int, answer []byte, next func() time.Duration) time.Duration {
	var q struct {
		Owner string `json:"Foreman"`
	}
	json.Unmarshal(answer, &q)
	w.client.CloseIdleConnections()
	for i, n := range w.bed.nodes {
		if n.label == q.Owner && i != node {
			w.mu.Lock()
			w.node = i
			w.mu.Unlock()
			return 50 * time.Millisecond
		}
	}
	return next()
}

// accept carries out a 200 to a report, unless it has to be dropped.
func (w *Worker) accept(node int, answer []byte, sent time.Time, incarnation uint64) {
	var q struct {
		Token  *uint64 `json:"Baton"`
		Orders []order
	}
	json.Unmarshal(answer, &q)
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.Token == nil || *q.Token < w.token || incarnation != w.incarnation {
		return
	}
	w.renewed = sent
	w.sawToken(*q.Token)
	w.execute(q.Orders, fmt.Sprintf("answer of %s", w.bed.nodes[node].label))
}

// copyLate sends a copy of a report again, from 2 s to well over a lease later, to every node.
func (w *Worker) copyLate(body []byte) {
	time.Sleep(2*time.Second + time.Duration(rand.Float64()*1.5*float64(w.bed.lease())))
	for _, n := range w.bed.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+n.api+"/agent/beat", bytes.NewReader(body))
		if resp, err := w.client.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		cancel()
	}
}

func (w *Worker) sawToken(t uint64) {
	if t > w.token {
		w.token = t
		if time.Since(w.tokenSeen) > w.bed.lease()/2 {
			w.tokenSeen = time.Now()
			w.poke()
		}
	}
}
