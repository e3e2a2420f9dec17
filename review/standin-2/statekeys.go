package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

func (s *State) read(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.keys[key]
	if it == nil {
		reply(w, 404, map[string]any{"Ledger": s.rev})
		return
	}
	reply(w, 200, map[string]any{"Key": key, "Value": it.value, "Stamp": it.revision, "Tenure": it.hold})
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("Page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("Starts")) && k > q.Get("After") {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	rows, size, more := []map[string]any{}, 0, false
	for _, k := range names {
		it := s.keys[k]
		if len(rows) >= page || size+len(it.value) > 500<<10 {
			more = true
			break
		}
		size += len(it.value) + 100
		rows = append(rows, map[string]any{"Key": k, "Value": it.value, "Stamp": it.revision})
	}
	reply(w, 200, map[string]any{"Rows": rows, "Truncated": more, "Ledger": s.rev})
}

func (s *State) follow(w http.ResponseWriter, r *http.Request, node string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		bell := s.bell
		closed := s.outage || s.refused[node] || s.hold[node]
		if !closed {
			if len(s.log) > 0 && len(s.log) >= 10000 && after < s.log[0].Revision {
				s.mu.Unlock()
				reply(w, 410, map[string]any{"error": "too old"})
				return
			}
			changes := []change{}
			for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > after }); i < len(s.log); i++ {
				if c := s.log[i]; strings.HasPrefix(c.Set+c.Drop, q.Get("Starts")) {
					changes = append(changes, c)
				}
			}
			if len(changes) > 0 || !time.Now().Before(end) {
				rev := s.rev
				s.mu.Unlock()
				reply(w, 200, map[string]any{"Ledger": rev, "News": changes})
				return
			}
		}
		s.mu.Unlock()
		d := time.Until(end)
		if closed || d > 200*time.Millisecond {
			d = 200 * time.Millisecond
		}
		if d < time.Millisecond {
			d = time.Millisecond
		}
		select {
		case <-bell:
			if closed {
				time.Sleep(10 * time.Millisecond)
			}
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *State) holds(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/holds" {
		var q struct{ LifeMs int }
		if json.Unmarshal(body, &q) != nil || q.LifeMs < 100 || q.LifeMs > 600000 {
			reply(w, 400, map[string]any{"error": "malformed"})
			return
		}
		s.lastHold++
		ttl := time.Duration(q.LifeMs) * time.Millisecond
		s.leases[s.lastHold] = &holdLease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"Tenure": s.lastHold})
		return
	}
	fields := strings.Split(strings.TrimPrefix(r.URL.Path, "/holds/"), "/")
	id, _ := strconv.ParseUint(fields[0], 10, 64)
	l := s.leases[id]
	if l == nil {
		reply(w, 404, map[string]any{"error": "no such lease"})
		return
	}
	if r.Method == "DELETE" {
		s.dropLease(id)
	} else {
		l.end = time.Now().Add(l.ttl)
	}
	reply(w, 200, map[string]any{"Tenure": id})
}

// Value returns the value of a key, or nil.
func (s *State) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.keys[key]; it != nil {
		return it.value
	}
	return nil
}
