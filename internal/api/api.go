// Package api serves users, workers and health checks.
package api

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"roadcleat/internal/core"
	"roadcleat/internal/metrics"
	"roadcleat/internal/runtime"
	"roadcleat/internal/wire"
)

// Server answers requests with the help of a runtime.
type Server struct {
	rt        *runtime.Runtime
	collector *metrics.Set
	log       *slog.Logger
	listener  *limitedListener
}

// New makes a server.
func New(rt *runtime.Runtime, seen *metrics.Set, log *slog.Logger) *Server {
	return &Server{rt: rt, collector: seen, log: log}
}

// userWait is how long a user's request may take: less than its sender waits.
const (
	submitTimeout    = 4500 * time.Millisecond
	queryTimeout     = 1800 * time.Millisecond
	heartbeatTimeout = 3500 * time.Millisecond
)

// Handler routes the protocol's paths.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v2/runs", s.submit)
	r.Get("/v2/runs/{id}", s.query)
	r.Post("/v2/runs/{id}/withdraw", s.cancel)
	r.Get("/healthz", s.health)
	r.Post("/agent/beat", s.heartbeat)
	r.Get("/status", s.status)
	r.Get("/explain/{id}", s.explain)
	r.Get("/metrics", s.metrics)
	return r
}

// Serve answers on the listener until the context ends, on at most conns
// connections at a time. One on which nothing comes for several times the workers'
// report interval is closed: a cut may have left it half open, and hundreds of
// those would leave no room when the cut ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener, conns int, report time.Duration) error {
	s.listener = &limitedListener{Listener: ln, slots: make(chan struct{}, conns), onRefused: s.rt.RecordRejection}
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 20 * time.Second,
		IdleTimeout: max(5*report, 20*time.Second), MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(s.listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// limitedListener closes connections beyond a number at once, so that the load
// balancer turns to another controller.
type limitedListener struct {
	net.Listener
	slots     chan struct{}
	onRefused func() // told of each connection that finds no slot
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: c, slots: l.slots}, nil
		default:
			l.onRefused()
			c.Close()
		}
	}
}

// nearLimit says whether workers should not keep their connections: one controller may
// have to hear more workers than it has sockets, and users and health checks need
// theirs whatever the workers do.
func (l *limitedListener) nearLimit() bool { return l != nil && len(l.slots) > cap(l.slots)*2/3 }

type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close gives the slot back, once.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// body reads a request's body, or answers that this is not possible.
func body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		http.Error(w, "body unreadable or larger than 64 KiB", http.StatusBadRequest)
	}
	return b, err == nil
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r)
	if !ok {
		return
	}
	spec, err := wire.DecodeSubmission(b)
	ev := core.JobSubmission{Spec: spec}
	if err != nil {
		ev.Malformed = err.Error()
	}
	s.user(w, r, submitTimeout, ev)
}

func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !wire.ValidJobID(id) {
		http.Error(w, "no such job", http.StatusNotFound)
		return
	}
	s.user(w, r, queryTimeout, core.JobQuery{ID: id})
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !wire.ValidJobID(id) {
		http.Error(w, "no such job", http.StatusNotFound)
		return
	}
	s.user(w, r, submitTimeout, core.JobCancellation{ID: id})
}

// user hands a user's request to the core and writes its answer.
func (s *Server) user(w http.ResponseWriter, r *http.Request, wait time.Duration, ev core.Event) {
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	v, err := s.rt.Submit(ctx, ev)
	rep, ok := v.(core.UserReply)
	if err != nil || !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if rep.Status == http.StatusOK || rep.Status == http.StatusCreated {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(rep.Status)
		s.write(w, wire.EncodeJobStatus(rep.Job))
		return
	}
	if rep.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(rep.RetryAfter))
	}
	http.Error(w, rep.Text, rep.Status)
}

func (s *Server) write(w io.Writer, b []byte) {
	if _, err := w.Write(b); err != nil {
		s.log.Debug("answer not written", "err", err)
	}
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), 800*time.Millisecond)
	defer cancel()
	well := make(chan bool, 1)
	if s.rt.Inspect(ctx, func(c *core.Core) { well <- c.Healthy() }) != nil || !<-well {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	s.write(w, []byte("ok\n"))
}

func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r)
	if !ok {
		return
	}
	status, err := wire.DecodeWorkerStatus(b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	v, err := s.rt.Submit(ctx, core.Heartbeat{Status: *status})
	ans, ok := v.(core.HeartbeatReply)
	if err != nil || !ok {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if s.listener.nearLimit() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/json")
	switch ans.Status {
	case http.StatusOK:
		s.write(w, wire.EncodeHeartbeatReply(ans.Token, ans.Commands))
	case http.StatusMisdirectedRequest:
		w.WriteHeader(ans.Status)
		s.write(w, wire.EncodeRedirect(ans.Owner))
	default:
		w.WriteHeader(ans.Status)
	}
}
