package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Cloud is a stand-in for the cloud, by the protocol page.
type Cloud struct {
	bed     *Bed
	mu      sync.Mutex
	seq     int
	rentals map[string][]string
	vms     map[string]*Machine
	outage  bool
	// lateShare is the share of rentals and returns that are carried out late, without an answer.
	lateShare float64
	// capacity is what the cloud still has, by type, zone and kind; a missing entry is 0.
	capacity map[kind]int
	bootS    func(typ string) float64
}

type kind struct {
	typ, zone string
	spot      bool
}

func newCloud(b *Bed) *Cloud {
	return &Cloud{bed: b, rentals: map[string][]string{}, vms: map[string]*Machine{}, capacity: map[kind]int{},
		bootS: func(typ string) float64 {
			for _, t := range b.site.Types {
				if t.Name == typ {
					return t.BootS * (0.6 + 0.9*rand.Float64())
				}
			}
			return 20
		}}
}

// Machine is one rented machine.
type Machine struct {
	name, typ, zone        string
	spot                   bool
	created, upAt, removed time.Time
	worker                 *Worker
}

// rent creates a machine; the caller holds the lock.
func (c *Cloud) rent(k kind, boot time.Duration) *Machine {
	c.seq++
	m := &Machine{name: fmt.Sprintf("vm-%06d", c.seq), typ: k.typ, zone: k.zone, spot: k.spot, created: time.Now()}
	m.upAt = m.created.Add(boot)
	c.vms[m.name] = m
	m.worker = newWorker(c.bed, m)
	time.AfterFunc(boot, func() {
		c.mu.Lock()
		alive := m.removed.IsZero()
		c.mu.Unlock()
		if alive {
			m.worker.start()
		}
	})
	return m
}

// Take ends a machine at once.
func (c *Cloud) Take(m *Machine) {
	c.mu.Lock()
	if m.removed.IsZero() {
		m.removed = time.Now()
		c.capacity[kind{m.typ, m.zone, m.spot}]++
	}
	c.mu.Unlock()
	m.worker.stop()
}

// Machines returns the machines that exist, by name.
func (c *Cloud) Machines() []*Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Machine
	for _, m := range c.vms {
		if m.removed.IsZero() {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

func (c *Cloud) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(60 * time.Millisecond)
		c.mu.Lock()
		outage := c.outage
		late := r.Method == "POST" && rand.Float64() < c.lateShare
		c.mu.Unlock()
		if late {
			go func() {
				time.Sleep(time.Duration((2 + 10*rand.Float64()) * float64(time.Second)))
				c.bed.note("cloud: late request of %s: %s %s", node, r.URL.Path, body)
				drop := &discard{header: http.Header{}}
				if r.URL.Path == "/hosts" {
					c.answerRental(drop, node, body)
				} else {
					c.giveBack(drop, node, body)
				}
			}()
			never(w, r)
		}
		if outage {
			reply(w, 503, map[string]any{"error": "trouble"})
			return
		}
		switch {
		case r.URL.Path == "/catalog":
			c.catalog(w)
		case r.URL.Path == "/hosts" && r.Method == "POST":
			c.answerRental(w, node, body)
		case r.URL.Path == "/hosts/return":
			c.giveBack(w, node, body)
		case r.URL.Path == "/hosts":
			c.list(w, r)
		default:
			reply(w, 400, map[string]any{"error": "malformed"})
		}
	})
}

func (c *Cloud) catalog(w http.ResponseWriter) {
	var types []map[string]any
	for _, t := range c.bed.site.Types {
		types = append(types, map[string]any{"Name": t.Name, "Cores": t.Cores, "Cards": t.GPUs, "MemGb": t.MemGB, "CacheGb": t.CacheGB,
			"PullGbPerS": t.PullGBPerS, "Rate": t.Rate, "MarketPrice": t.Market, "BootS": t.BootS, "Yards": t.Zones})
	}
	reply(w, 200, map[string]any{"Breeds": types})
}

func (c *Cloud) answerRental(w http.ResponseWriter, node string, body []byte) {
	var q struct {
		Name   string `json:"Hire"`
		Type   string `json:"Breed"`
		Zone   string `json:"Yard"`
		Spot   bool   `json:"Loaners"`
		Number int
	}
	if json.Unmarshal(body, &q) != nil || q.Number < 1 || q.Number > 50 || q.Name == "" {
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.rentals[q.Name]; ok {
		reply(w, 200, map[string]any{"Hosts": names})
		return
	}
	k := kind{q.Type, q.Zone, q.Spot}
	n := min(q.Number, c.capacity[k])
	if n <= 0 {
		reply(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	c.capacity[k] -= n
	var names []string
	for range n {
		m := c.rent(k, time.Duration(c.bootS(q.Type)*float64(time.Second)))
		names = append(names, m.name)
	}
	c.rentals[q.Name] = names
	c.bed.note("cloud: %s rents %v %s spot=%v for %s", node, names, q.Type, q.Spot, q.Zone)
	reply(w, 200, map[string]any{"Hosts": names})
}

func (c *Cloud) giveBack(w http.ResponseWriter, node string, body []byte) {
	var q struct{ Hosts []string }
	if json.Unmarshal(body, &q) != nil || len(q.Hosts) > 100 {
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	for _, name := range q.Hosts {
		c.mu.Lock()
		m := c.vms[name]
		c.mu.Unlock()
		if m != nil {
			c.Take(m)
		}
	}
	c.bed.note("cloud: %s returns %v", node, q.Hosts)
	reply(w, 200, map[string]any{})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("Page"))
	if page <= 0 || page > 500 {
		page = 500
	}
	lag := c.bed.site.ListLagS * (0.5 + 0.5*rand.Float64())
	at := time.Now().Add(-time.Duration(lag * float64(time.Second)))
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for n, m := range c.vms {
		if n > q.Get("After") && m.created.Before(at) && (m.removed.IsZero() || m.removed.After(at)) {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > page
	if more {
		names = names[:page]
	}
	hosts := []map[string]any{}
	for _, n := range names {
		m := c.vms[n]
		state := "running"
		if m.upAt.After(at) {
			state = "booting"
		}
		hosts = append(hosts, map[string]any{"Ref": n, "Endpoint": m.worker.addr, "Breed": m.typ, "Yard": m.zone, "Loaners": m.spot,
			"Standing": state, "HeldS": at.Sub(m.created).Seconds()})
	}
	reply(w, 200, map[string]any{"Hosts": hosts, "Truncated": more})
}

// discard is where the answer to a late request goes.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
