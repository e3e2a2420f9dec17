// Package api implements the HTTP server for users, workers, operators and health checks.
//
// It decodes requests, passes them to the core through the runtime and encodes the replies.
// All decisions are made by the core. Each request has a time limit that is shorter than the
// time for which its sender waits; if the core has not replied by then, the server replies
// with status 503. The number of open connections is limited, and Serve returns when its
// context is cancelled.
package api

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"roadcleat/internal/core"
	"roadcleat/internal/metrics"
	"roadcleat/internal/runtime"
	"roadcleat/internal/wire"
)

// Time limits for replies. Each is shorter than the time for which the request's sender waits.
const (
	submitTimeout    = 4500 * time.Millisecond // submissions and cancellations of jobs
	queryTimeout     = 1800 * time.Millisecond // queries of a job's status
	heartbeatTimeout = 3500 * time.Millisecond // heartbeats of workers
	healthTimeout    = 800 * time.Millisecond  // health checks of the load balancer
)

// Time and size limits of each connection.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 20 * time.Second
	maxHeaderBytes    = 16 << 10

	// minIdleTimeout is the lower bound of the idle timeout.
	minIdleTimeout = 20 * time.Second

	// idleHeartbeatIntervals is the idle timeout as a number of heartbeat intervals.
	idleHeartbeatIntervals = 5
)

// Server is the HTTP server of a controller. It passes requests to the core through a runtime.
type Server struct {
	runtime   *runtime.Runtime
	metricSet *metrics.Set
	log       *slog.Logger
	listener  *limitedListener // nil until Serve is called
}

// New returns a server that passes requests to rt and exposes the metrics of metricSet.
func New(rt *runtime.Runtime, metricSet *metrics.Set, log *slog.Logger) *Server {
	return &Server{runtime: rt, metricSet: metricSet, log: log}
}

// Handler returns a router for the paths of users, workers, operators and health checks.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(wire.PathSubmit, s.handleSubmit)
	r.Get(wire.PathJobStatus, s.handleJobStatus)
	r.Post(wire.PathCancelJob, s.handleCancel)
	r.Post(wire.PathHeartbeat, s.handleHeartbeat)
	r.Get("/healthz", s.handleHealth)
	r.Get("/status", s.handleStatus)
	r.Get("/explain/{id}", s.handleExplain)
	r.Get("/metrics", s.handleMetrics)
	return r
}

// Serve accepts connections on the listener and replies to requests until the context is
// cancelled. At most maxConns connections are open at a time. A connection that is idle for
// several heartbeat intervals is closed: a network cut may have left it half open, and hundreds
// of half-open connections would take up the limit when the cut ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener, maxConns int, heartbeatInterval time.Duration) error {
	s.listener = &limitedListener{
		Listener:   listener,
		slots:      make(chan struct{}, maxConns),
		onRejected: s.runtime.RecordRejection,
	}
	httpServer := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       max(idleHeartbeatIntervals*heartbeatInterval, minIdleTimeout),
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { httpServer.Close() })
	defer stop()
	if err := httpServer.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// readBody reads the body of a request. If it is unreadable or too large, readBody replies with
// status 400 and returns false.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		http.Error(w, "body unreadable or larger than 64 KiB", http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

// replyBusy replies with status 503 because the core did not reply within the time limit.
func replyBusy(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

// writeBody writes the body of a reply. A write error is logged and otherwise ignored.
func (s *Server) writeBody(w io.Writer, body []byte) {
	if _, err := w.Write(body); err != nil {
		s.log.Debug("reply could not be written", "err", err)
	}
}

// handleHealth replies to the health checks of the load balancer: with status 200 if the core
// is healthy, with status 503 if it is not or does not reply within healthTimeout.
func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), healthTimeout)
	defer cancel()
	healthy := make(chan bool, 1)
	err := s.runtime.Inspect(ctx, func(c *core.Core) { healthy <- c.Healthy() })
	if err != nil || !<-healthy {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	s.writeBody(w, []byte("ok\n"))
}
