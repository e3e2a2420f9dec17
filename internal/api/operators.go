package api

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"roadcleat/internal/core"
)

// operatorTimeout is the time limit for the core's reply to a request of an operator.
const operatorTimeout = 2 * time.Second

// inspectCore runs f on the goroutine that owns the core. If f does not run within
// operatorTimeout, inspectCore replies with status 503 and returns false.
func (s *Server) inspectCore(w http.ResponseWriter, r *http.Request, f func(*core.Core)) bool {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	if err := s.runtime.Inspect(ctx, f); err != nil {
		replyBusy(w)
		return false
	}
	return true
}

// writeJSON writes v as a JSON reply. An error is logged and otherwise ignored.
func (s *Server) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.log.Debug("reply could not be written", "err", err)
	}
}

// handleStatus replies with this controller's view of the cluster.
func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	result := make(chan core.Status, 1)
	if s.inspectCore(w, r, func(c *core.Core) { result <- c.Status() }) {
		s.writeJSON(w, <-result)
	}
}

// handleExplain replies with the placement of a job's running tasks and the reasons why its other
// tasks wait.
func (s *Server) handleExplain(w http.ResponseWriter, r *http.Request) {
	result := make(chan *core.Explanation, 1) // receives nil if this controller has no record of the job
	id := chi.URLParam(r, "id")
	if !s.inspectCore(w, r, func(c *core.Core) {
		explanation, known := c.Explain(id)
		if !known {
			result <- nil
			return
		}
		result <- &explanation
	}) {
		return
	}
	explanation := <-result
	if explanation == nil {
		http.Error(w, "no such job known here", http.StatusNotFound)
		return
	}
	s.writeJSON(w, explanation)
}

// handleMetrics replies with the metrics in the Prometheus text format.
func (s *Server) handleMetrics(w http.ResponseWriter, r *http.Request) {
	result := make(chan core.Gauges, 1)
	if s.inspectCore(w, r, func(c *core.Core) { result <- c.Gauges() }) {
		s.metricSet.Handler(<-result).ServeHTTP(w, r)
	}
}
