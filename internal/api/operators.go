package api

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"roadcleat/internal/core"
)

// operatorTimeout is how long an operator's question may wait for the owner goroutine.
const operatorTimeout = 2 * time.Second

// ask runs f on the owner goroutine, or answers that this is not possible now.
func (s *Server) ask(w http.ResponseWriter, r *http.Request, f func(*core.Core)) bool {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	if err := s.rt.Inspect(ctx, f); err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Server) json(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.log.Debug("answer not written", "err", err)
	}
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	answer := make(chan core.Status, 1)
	if s.ask(w, r, func(c *core.Core) { answer <- c.Status() }) {
		s.json(w, <-answer)
	}
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	type result struct {
		e     core.Explanation
		known bool
	}
	answer := make(chan result, 1)
	id := chi.URLParam(r, "id")
	if !s.ask(w, r, func(c *core.Core) {
		e, known := c.Explain(id)
		answer <- result{e, known}
	}) {
		return
	}
	if res := <-answer; res.known {
		s.json(w, res.e)
	} else {
		http.Error(w, "no such job known here", http.StatusNotFound)
	}
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	answer := make(chan core.Gauges, 1)
	if s.ask(w, r, func(c *core.Core) { answer <- c.Gauges() }) {
		s.collector.Handler(<-answer).ServeHTTP(w, r)
	}
}
