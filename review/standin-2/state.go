package main

import (
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// State is a stand-in for the state service, by the protocol page.
type State struct {
	bed      *Bed
	mu       sync.Mutex
	rev      uint64
	keys     map[string]*item
	leases   map[uint64]*holdLease
	lastHold uint64
	log      []change
	bell     chan struct{} // closed and replaced at each change

	outage  bool            // 503 to every node
	refused map[string]bool // 503 to these nodes alone
	hold    map[string]bool // calls of these nodes get no answer and are not executed
	latency time.Duration   // of each answer
	// lostAnswers is the share of transactions that are executed at once and not answered.
	lostAnswers float64
	// lateShare is the share of transactions that get no answer and are executed late.
	lateShare        float64
	lateMin, lateMax time.Duration
	// slow is how much longer a request takes before it is carried out, after is called when a
	// request was answered. Both may be nil.
	slow               func(node string, r *http.Request, body []byte) time.Duration
	after              func(node string, r *http.Request)
	onCommit           func(node string, t *txn, ok bool)
	maxBody            int
	rejected, tooLarge int
}

type item struct {
	value    json.RawMessage
	revision uint64
	hold     uint64
}

type holdLease struct {
	ttl time.Duration
	end time.Time
}

type change struct {
	Set      string          `json:"Set,omitempty"`
	Value    json.RawMessage `json:"Value,omitempty"`
	Revision uint64          `json:"Stamp"`
	Drop     string          `json:"Drop,omitempty"`
}

type guard struct {
	Key      string
	Revision uint64 `json:"Stamp"`
}

type mutation struct {
	Set   string
	Value json.RawMessage
	Lease uint64 `json:"Tenure"`
	Drop  string
}

type txn struct {
	Guards []guard
	Apply  []mutation
}

func newState(b *Bed) *State {
	s := &State{bed: b, rev: 100, keys: map[string]*item{}, leases: map[uint64]*holdLease{}, bell: make(chan struct{}),
		refused: map[string]bool{}, hold: map[string]bool{}, latency: 3 * time.Millisecond}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

func (s *State) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.dropLease(id)
		}
	}
}

func (s *State) dropLease(id uint64) {
	delete(s.leases, id)
	var removed []string
	for k, it := range s.keys {
		if it.hold == id {
			removed = append(removed, k)
		}
	}
	if len(removed) == 0 {
		return
	}
	sort.Strings(removed)
	s.rev++
	for _, k := range removed {
		delete(s.keys, k)
		s.log = append(s.log, change{Drop: k, Revision: s.rev})
		s.bed.note("state: lease %d ended, key %s removed", id, k)
	}
	s.ring()
}

func (s *State) ring() {
	close(s.bell)
	s.bell = make(chan struct{})
	if len(s.log) > 10000 {
		s.log = append([]change(nil), s.log[len(s.log)-10000:]...)
	}
}

// SetOutage begins or ends an outage. At its end every lease has its full time again.
func (s *State) SetOutage(on bool) {
	s.mu.Lock()
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.end = time.Now().Add(l.ttl)
		}
		s.ring()
	}
	s.mu.Unlock()
	s.bed.note("state: outage=%v", on)
}

// Set changes faults under the lock.
func (s *State) Set(f func()) {
	s.mu.Lock()
	f()
	s.mu.Unlock()
}

func (s *State) down(node string) (refuse, hold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage || s.refused[node], s.hold[node]
}

func reply(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}

// never waits until the caller has given up, and answers nothing.
func never(_ http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(30 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func (s *State) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		refuse, hold := s.down(node)
		if hold {
			never(w, r)
		}
		if refuse {
			reply(w, 503, map[string]any{"error": "trouble"})
			return
		}
		s.mu.Lock()
		latency, slow, after := s.latency, s.slow, s.after
		s.mu.Unlock()
		if slow != nil {
			latency += slow(node, r, body)
		}
		time.Sleep(latency)
		if after != nil {
			defer after(node, r)
		}
		switch {
		case r.URL.Path == "/commit":
			s.commit(w, r, node, body)
		case strings.HasPrefix(r.URL.Path, "/store/"):
			s.read(w, strings.TrimPrefix(r.URL.Path, "/store/"))
		case r.URL.Path == "/store":
			s.list(w, r)
		case r.URL.Path == "/follow":
			s.follow(w, r, node)
		case strings.HasPrefix(r.URL.Path, "/holds"):
			s.holds(w, r, body)
		default:
			reply(w, 400, map[string]any{"error": "malformed"})
		}
	})
}

func (s *State) commit(w http.ResponseWriter, r *http.Request, node string, body []byte) {
	var t txn
	limits := s.bed.site
	if json.Unmarshal(body, &t) != nil || len(body) > 64<<10 || len(t.Apply) > limits.TxnOps || len(t.Guards) > 4*limits.TxnOps {
		s.bed.note("state: 400 to a transaction of %s: %d bytes, %d changes, %d conditions", node, len(body), len(t.Apply), len(t.Guards))
		s.Set(func() { s.tooLarge++ })
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	for _, m := range t.Apply {
		if len(m.Value) > int(limits.ValueKB*1024) {
			s.bed.note("state: 400 to a transaction of %s: value of %s has %d bytes", node, m.Set, len(m.Value))
			s.Set(func() { s.tooLarge++ })
			reply(w, 400, map[string]any{"error": "malformed"})
			return
		}
	}
	s.mu.Lock()
	lost, late := false, false
	if len(t.Apply) > 0 {
		x := rand.Float64()
		lost = x < s.lostAnswers
		late = !lost && x < s.lostAnswers+s.lateShare
	}
	lateBy := s.lateMin
	if s.lateMax > s.lateMin {
		lateBy += time.Duration(rand.Int63n(int64(s.lateMax - s.lateMin)))
	}
	s.mu.Unlock()
	if late {
		go func() {
			time.Sleep(lateBy)
			for {
				refuse, _ := s.down("")
				if !refuse {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			status, _ := s.apply(node, &t)
			s.bed.note("state: late transaction of %s carried out after %v: %d %s", node, lateBy.Round(time.Millisecond), status, describe(&t))
		}()
		never(w, r)
	}
	status, out := s.apply(node, &t)
	if lost {
		never(w, r)
	}
	reply(w, status, out)
}

func describe(t *txn) string {
	var fields []string
	for _, m := range t.Apply {
		fields = append(fields, m.Set+m.Drop)
	}
	return strings.Join(fields, ",")
}

func (s *State) apply(node string, t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, g := range t.Guards {
		revision := uint64(0)
		if it := s.keys[g.Key]; it != nil {
			revision = it.revision
		}
		if revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	for _, m := range t.Apply {
		if m.Set != "" && m.Lease != 0 && s.leases[m.Lease] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	if s.onCommit != nil {
		s.onCommit(node, t, len(failed) == 0)
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "Ledger": s.rev}
	}
	if len(t.Apply) > 0 {
		s.rev++
		for _, m := range t.Apply {
			if m.Drop != "" {
				if s.keys[m.Drop] != nil {
					delete(s.keys, m.Drop)
					s.log = append(s.log, change{Drop: m.Drop, Revision: s.rev})
				}
				continue
			}
			s.keys[m.Set] = &item{value: m.Value, revision: s.rev, hold: m.Lease}
			s.log = append(s.log, change{Set: m.Set, Value: m.Value, Revision: s.rev})
			if strings.HasPrefix(m.Set, "part/") {
				s.bed.note("state: %s claimed by %s: %s, token %d", m.Set, node, m.Value, s.rev)
			}
		}
		s.ring()
	}
	return 200, map[string]any{"Ledger": s.rev}
}
