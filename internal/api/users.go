package api

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"roadcleat/internal/core"
	"roadcleat/internal/wire"
)

// submit takes a job. A malformed submission goes to the core too, since it may repeat one
// that was accepted.
func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	spec, err := wire.DecodeSubmission(body)
	event := core.JobSubmission{Spec: spec}
	if err != nil {
		event.MalformedReason = err.Error()
	}
	s.serveUser(w, r, submitTimeout, event)
}

// query replies with a job's state.
func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	if id, ok := jobID(w, r); ok {
		s.serveUser(w, r, queryTimeout, core.JobQuery{ID: id})
	}
}

// cancel cancels a job.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	if id, ok := jobID(w, r); ok {
		s.serveUser(w, r, submitTimeout, core.JobCancellation{ID: id})
	}
}

// jobID is the id in a request's path. It replies itself if that can be no job's.
func jobID(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
	id = chi.URLParam(r, "id")
	if !wire.ValidJobID(id) {
		http.Error(w, "no such job", http.StatusNotFound)
		return "", false
	}
	return id, true
}

// serveUser hands a user's request to the core and writes its reply.
func (s *Server) serveUser(w http.ResponseWriter, r *http.Request, timeout time.Duration, event core.Event) {
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	effect, err := s.rt.Submit(ctx, event)
	reply, ok := effect.(core.UserReply)
	if err != nil || !ok {
		replyBusy(w)
		return
	}
	if reply.HTTPStatus == http.StatusOK || reply.HTTPStatus == http.StatusCreated {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(reply.HTTPStatus)
		s.write(w, wire.EncodeJobStatus(reply.Job))
		return
	}
	if reply.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(reply.RetryAfterSeconds))
	}
	http.Error(w, reply.ErrorText, reply.HTTPStatus)
}
