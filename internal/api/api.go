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
	rt   *runtime.Runtime
	seen *metrics.Set
	log  *slog.Logger
	open *limited
}

// New makes a server.
func New(rt *runtime.Runtime, seen *metrics.Set, log *slog.Logger) *Server {
	return &Server{rt: rt, seen: seen, log: log}
}

// userWait is how long a user's request may take: less than its sender waits.
const (
	submitWait = 4500 * time.Millisecond
	pollWait   = 1800 * time.Millisecond
	beatWait   = 3500 * time.Millisecond
)

// Handler routes the protocol's paths.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v2/runs", s.submit)
	r.Get("/v2/runs/{id}", s.poll)
	r.Post("/v2/runs/{id}/withdraw", s.withdraw)
	r.Get("/healthz", s.health)
	r.Post("/agent/beat", s.beat)
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
	s.open = &limited{Listener: ln, slots: make(chan struct{}, conns), refused: s.rt.Refused}
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 20 * time.Second,
		IdleTimeout: max(5*report, 20*time.Second), MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(s.open); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// limited closes connections beyond a number at once, so that the load
// balancer turns to another controller.
type limited struct {
	net.Listener
	slots   chan struct{}
	refused func() // told of each connection that finds no slot
}

func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: c, slots: l.slots}, nil
		default:
			l.refused()
			c.Close()
		}
	}
}

// tight says whether workers should not keep their connections: one controller may
// have to hear more workers than it has sockets, and users and health checks need
// theirs whatever the workers do.
func (l *limited) tight() bool { return l != nil && len(l.slots) > cap(l.slots)*2/3 }

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
	spec, err := wire.DecodeRun(b)
	ev := core.Submit{Spec: spec}
	if err != nil {
		ev.Bad = err.Error()
	}
	s.user(w, r, submitWait, ev)
}

func (s *Server) poll(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !wire.ValidRef(id) {
		http.Error(w, "no such job", http.StatusNotFound)
		return
	}
	s.user(w, r, pollWait, core.Poll{ID: id})
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !wire.ValidRef(id) {
		http.Error(w, "no such job", http.StatusNotFound)
		return
	}
	s.user(w, r, submitWait, core.Withdraw{ID: id})
}

// user hands a user's request to the core and writes its answer.
func (s *Server) user(w http.ResponseWriter, r *http.Request, wait time.Duration, ev any) {
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	v, err := s.rt.Do(ctx, ev)
	rep, ok := v.(core.Reply)
	if err != nil || !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if rep.Status == http.StatusOK || rep.Status == http.StatusCreated {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(rep.Status)
		s.write(w, wire.EncodeRun(rep.Run))
		return
	}
	if rep.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(rep.RetryAfter))
	}
	http.Error(w, rep.Why, rep.Status)
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
	if s.rt.Ask(ctx, func(c *core.Core) { well <- c.Healthy() }) != nil || !<-well {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	s.write(w, []byte("ok\n"))
}

func (s *Server) beat(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r)
	if !ok {
		return
	}
	rep, err := wire.DecodeReport(b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), beatWait)
	defer cancel()
	v, err := s.rt.Do(ctx, core.Beat{Report: *rep})
	ans, ok := v.(core.BeatReply)
	if err != nil || !ok {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if s.open.tight() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/json")
	switch ans.Status {
	case http.StatusOK:
		s.write(w, wire.EncodeBeatReply(ans.Token, ans.Orders))
	case http.StatusMisdirectedRequest:
		w.WriteHeader(ans.Status)
		s.write(w, wire.EncodeForeman(ans.Foreman))
	default:
		w.WriteHeader(ans.Status)
	}
}
