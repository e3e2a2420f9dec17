package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keptChanges is the number of changes that the state service keeps for watches.
const keptChanges = 10000

// entry is a key's value in the state service.
type entry struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

// change is an element of the reply to a watch.
type change struct {
	Set      string          `json:"Set,omitempty"`
	Value    json.RawMessage `json:"Value,omitempty"`
	Drop     string          `json:"Drop,omitempty"`
	Revision uint64          `json:"Stamp"`
}

// grantedLease is a lease of the state service.
type grantedLease struct {
	life    time.Duration
	expires time.Time
}

// bucket limits a rate with a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

// take takes n tokens and reports whether there were as many.
func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// stateService is a stand-in of the state service. Each controller has an address of its own, so
// that faults can concern one controller.
type stateService struct {
	mu       sync.Mutex
	changed  *sync.Cond
	store    map[string]entry
	revision uint64
	leases   map[uint64]*grantedLease
	nextID   uint64
	history  []change // oldest first
	requests bucket
	writes   bucket
	site     *site
	refused  map[int]bool // controllers whose requests get 503

	// loseAnswer, if set, reports whether the answer to a request that was carried out is lost. It is
	// called before the request is carried out, without the lock.
	loseAnswer func(node int, r *http.Request, body []byte) bool
}

func newStateService(s *site) *stateService {
	st := &stateService{
		store:    map[string]entry{},
		leases:   map[uint64]*grantedLease{},
		requests: bucket{rate: s.stateRPS, tokens: s.stateRPS, at: time.Now()},
		writes:   bucket{rate: s.stateWriteRPS, tokens: s.stateWriteRPS, at: time.Now()},
		site:     s,
		refused:  map[int]bool{},
	}
	st.changed = sync.NewCond(&st.mu)
	return st
}

// serve serves one controller's requests on a listener.
func (st *stateService) serve(node int, l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { st.handle(node, w, r) })}
	go func() { _ = server.Serve(l) }()
}

// expireLeases ends leases that were not renewed, until the process ends.
func (st *stateService) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		st.mu.Lock()
		for id, lease := range st.leases {
			// A request of its holder may be under way; a lease may end up to 100 ms late.
			if time.Since(lease.expires) > 40*time.Millisecond && !st.allRefused() {
				st.endLease(id)
			}
		}
		st.changed.Broadcast() // watches check their timeouts
		st.mu.Unlock()
	}
}

func (st *stateService) allRefused() bool {
	for i := range st.site.nodes {
		if !st.refused[i] {
			return false
		}
	}
	return true
}

// endLease removes a lease and its keys.
func (st *stateService) endLease(id uint64) {
	delete(st.leases, id)
	for key, e := range st.store {
		if e.lease == id {
			st.revision++
			delete(st.store, key)
			st.note(change{Drop: key, Revision: st.revision})
		}
	}
}

func (st *stateService) note(c change) {
	st.history = append(st.history, c)
	if len(st.history) > keptChanges {
		st.history = st.history[len(st.history)-keptChanges:]
	}
	st.changed.Broadcast()
}

// setRefused lets the requests of a controller get 503, or not any more. When an outage of all
// controllers ends, every lease has its full time again.
func (st *stateService) setRefused(node int, refused bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	outage := st.allRefused()
	st.refused[node] = refused
	if outage && !refused {
		for _, lease := range st.leases {
			lease.expires = time.Now().Add(lease.life)
		}
	}
	st.changed.Broadcast()
}

type statusReply struct {
	status int
	body   any
}

func (st *stateService) handle(node int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	lost := st.isAnswerLost(node, r, body)
	st.mu.Lock()
	var reply statusReply
	switch {
	case st.refused[node]:
		reply = statusReply{503, map[string]string{"error": "trouble"}}
	case !st.requests.take(1):
		reply = statusReply{429, map[string]string{"error": "too many requests"}}
	default:
		reply = st.execute(node, r, body)
	}
	st.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reply.status)
	_ = json.NewEncoder(w).Encode(reply.body)
}

// isAnswerLost reports whether the answer to a request gets lost.
func (st *stateService) isAnswerLost(node int, r *http.Request, body []byte) bool {
	st.mu.Lock()
	loseAnswer := st.loseAnswer
	st.mu.Unlock()
	return loseAnswer != nil && loseAnswer(node, r, body)
}

// execute carries out a request. The service is locked.
func (st *stateService) execute(node int, r *http.Request, body []byte) statusReply {
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/store/"):
		key := strings.TrimPrefix(path, "/store/")
		e, ok := st.store[key]
		if !ok {
			return statusReply{404, map[string]uint64{"Ledger": st.revision}}
		}
		return statusReply{200, map[string]any{"Key": key, "Value": e.value, "Stamp": e.revision, "Tenure": e.lease}}
	case r.Method == http.MethodGet && path == "/store":
		return st.list(r)
	case r.Method == http.MethodGet && path == "/follow":
		return st.watch(node, r)
	case r.Method == http.MethodPost && path == "/commit":
		return st.commit(body)
	case r.Method == http.MethodPost && path == "/holds":
		var req struct{ LifeMs int64 }
		if json.Unmarshal(body, &req) != nil || req.LifeMs < 100 || req.LifeMs > 600000 {
			return statusReply{400, map[string]string{"error": "malformed"}}
		}
		st.nextID++
		life := time.Duration(req.LifeMs) * time.Millisecond
		st.leases[st.nextID] = &grantedLease{life, time.Now().Add(life)}
		return statusReply{200, map[string]uint64{"Tenure": st.nextID}}
	case strings.HasPrefix(path, "/holds/"):
		return st.leaseCall(r, strings.TrimPrefix(path, "/holds/"))
	}
	return statusReply{400, map[string]string{"error": "malformed"}}
}

func (st *stateService) leaseCall(r *http.Request, rest string) statusReply {
	idText, renew := strings.CutSuffix(rest, "/renew")
	id, _ := strconv.ParseUint(idText, 10, 64)
	lease := st.leases[id]
	if lease == nil {
		return statusReply{404, map[string]string{"error": "no such lease"}}
	}
	if renew && r.Method == http.MethodPost {
		lease.expires = time.Now().Add(lease.life)
	} else {
		st.endLease(id)
	}
	return statusReply{200, map[string]uint64{"Tenure": id}}
}

func (st *stateService) list(r *http.Request) statusReply {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("Page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	var keys []string
	for key := range st.store {
		if strings.HasPrefix(key, q.Get("Starts")) && key > q.Get("After") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size, truncated := []any{}, 0, false
	for _, key := range keys {
		e := st.store[key]
		if len(rows) == page || size+len(e.value) > 512<<10-4096 {
			truncated = true
			break
		}
		size += len(e.value) + len(key) + 60
		rows = append(rows, map[string]any{"Key": key, "Value": e.value, "Stamp": e.revision, "Tenure": e.lease})
	}
	return statusReply{200, map[string]any{"Rows": rows, "Truncated": truncated, "Ledger": st.revision}}
}

// watch waits for changes. While the controller is refused, the watch stays open.
func (st *stateService) watch(node int, r *http.Request) statusReply {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.Now().Add(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	for {
		if r.Context().Err() != nil {
			return statusReply{503, nil}
		}
		if !st.refused[node] {
			if len(st.history) == keptChanges && after+1 < st.history[0].Revision {
				return statusReply{410, map[string]string{"error": "too old"}}
			}
			first := sort.Search(len(st.history), func(i int) bool { return st.history[i].Revision > after })
			changes := []change{}
			for _, c := range st.history[first:] {
				if strings.HasPrefix(c.Set+c.Drop, q.Get("Starts")) {
					changes = append(changes, c)
				}
			}
			if len(changes) > 0 || time.Now().After(deadline) {
				return statusReply{200, map[string]any{"Ledger": st.revision, "News": changes}}
			}
		}
		st.changed.Wait()
	}
}

func (st *stateService) commit(body []byte) statusReply {
	var txn struct {
		Guards []struct {
			Key      string
			Revision uint64 `json:"Stamp"`
		}
		Apply []struct {
			Set   string
			Value json.RawMessage
			Lease uint64 `json:"Tenure"`
			Drop  string
		}
	}
	malformed := statusReply{400, map[string]string{"error": "malformed"}}
	if json.Unmarshal(body, &txn) != nil || len(body) > 64<<10 ||
		len(txn.Apply) > st.site.txnOps || len(txn.Guards) > 4*st.site.txnOps {
		return malformed
	}
	if !st.writes.take(float64(len(txn.Apply))) {
		return statusReply{429, map[string]string{"error": "too many changes"}}
	}
	for _, a := range txn.Apply {
		if len(a.Value) > int(st.site.valueKB*1024) || len(a.Set+a.Drop) == 0 || len(a.Set+a.Drop) > 200 {
			return malformed
		}
		if a.Lease != 0 && st.leases[a.Lease] == nil {
			return statusReply{400, map[string]string{"error": "no such lease"}}
		}
	}
	var failed []string
	for _, g := range txn.Guards {
		if st.store[g.Key].revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return statusReply{409, map[string]any{"failed": failed, "Ledger": st.revision}}
	}
	if len(txn.Apply) > 0 {
		st.revision++
	}
	for _, a := range txn.Apply {
		if a.Drop != "" {
			delete(st.store, a.Drop)
			st.note(change{Drop: a.Drop, Revision: st.revision})
			continue
		}
		st.store[a.Set] = entry{a.Value, st.revision, a.Lease}
		st.note(change{Set: a.Set, Value: a.Value, Revision: st.revision})
	}
	return statusReply{200, map[string]uint64{"Ledger": st.revision}}
}
