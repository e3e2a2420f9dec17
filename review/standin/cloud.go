package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// cloud is a stand-in of the cloud. The machines that it rents are workers of this process.
type cloud struct {
	mu       sync.Mutex
	lab      *lab
	machines map[string]*machine
	removed  map[string]time.Time // when machines were deleted
	rentals  map[string][]string
	next     int
	calls    bucket
	bootTime func() time.Duration
	capacity map[machineKind]int // machines that the cloud has; kinds that are missing are not limited
}

// machineKind is a kind of machine in a zone.
type machineKind struct {
	typeName, zone string
	spot           bool
}

// free returns how many machines of a kind can be rented, at most count.
func (c *cloud) free(kind machineKind, count int) int {
	limit, limited := c.capacity[kind]
	if !limited {
		return count
	}
	for _, m := range c.machines {
		if m.typeName == kind.typeName && m.zone == kind.zone && m.spot == kind.spot {
			limit--
		}
	}
	return max(min(count, limit), 0)
}

func newCloud(l *lab) *cloud {
	return &cloud{
		lab:      l,
		machines: map[string]*machine{},
		removed:  map[string]time.Time{},
		rentals:  map[string][]string{},
		calls:    bucket{rate: 2 * l.site.cloudRPS, tokens: 2 * l.site.cloudRPS, at: time.Now()},
		bootTime: func() time.Duration { return 1500 * time.Millisecond },
	}
}

func (c *cloud) serve(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(c.handle)}
	go func() { _ = server.Serve(l) }()
}

// addMachine adds a machine that is up after the boot time.
func (c *cloud) addMachine(typeName, zone string, spot bool, boot time.Duration) *machine {
	c.next++
	m := newMachine(c.lab, fmt.Sprintf("vm-%06d", c.next), typeName, zone, spot)
	c.machines[m.name] = m
	m.rentedAt, m.upAt = time.Now(), time.Now().Add(boot)
	time.AfterFunc(boot, m.boot)
	return m
}

func (c *cloud) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	reply := c.execute(r, body)
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reply.status)
	_ = json.NewEncoder(w).Encode(reply.body)
}

func (c *cloud) execute(r *http.Request, body []byte) statusReply {
	if !c.calls.take(1) {
		return statusReply{429, map[string]string{"error": "too many requests"}}
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		return statusReply{200, map[string]any{"Breeds": c.lab.site.types}}
	case "GET /hosts":
		return c.list(r)
	case "POST /hosts":
		return c.rent(body)
	case "POST /hosts/return":
		return c.takeBack(body)
	}
	return statusReply{400, map[string]string{"error": "malformed"}}
}

func (c *cloud) rent(body []byte) statusReply {
	var req struct {
		Name   string `json:"Hire"`
		Type   string `json:"Breed"`
		Zone   string `json:"Yard"`
		Spot   bool   `json:"Loaners"`
		Number int
	}
	if json.Unmarshal(body, &req) != nil || c.lab.site.machineType(req.Type) == nil || req.Number < 1 || req.Number > 50 {
		return statusReply{400, map[string]string{"error": "malformed"}}
	}
	names, known := c.rentals[req.Name]
	if !known {
		number := c.free(machineKind{req.Type, req.Zone, req.Spot}, req.Number)
		if number == 0 {
			c.lab.record("cloud has no %s in %s (spot %t)", req.Type, req.Zone, req.Spot)
			return statusReply{503, map[string]string{"error": "no capacity"}}
		}
		for range number {
			names = append(names, c.addMachine(req.Type, req.Zone, req.Spot, c.bootTime()).name)
		}
		c.rentals[req.Name] = names
		c.lab.record("cloud rents %v (%s, %s, spot %t) for %s", names, req.Type, req.Zone, req.Spot, req.Name)
	}
	return statusReply{200, map[string][]string{"Hosts": names}}
}

func (c *cloud) takeBack(body []byte) statusReply {
	var req struct{ Hosts []string }
	if json.Unmarshal(body, &req) != nil || len(req.Hosts) > 100 {
		return statusReply{400, map[string]string{"error": "malformed"}}
	}
	for _, name := range req.Hosts {
		if m := c.machines[name]; m != nil {
			delete(c.machines, name)
			c.removed[name] = time.Now()
			m.end()
			c.lab.record("cloud takes back %s", name)
		}
	}
	return statusReply{200, map[string]any{}}
}

// list returns the machines as they were list_lag_s ago.
func (c *cloud) list(r *http.Request) statusReply {
	after := r.URL.Query().Get("After")
	page, _ := strconv.Atoi(r.URL.Query().Get("Page"))
	asOf := time.Now().Add(-c.lab.site.listLag)
	var names []string
	for name, m := range c.machines {
		if name > after && m.rentedAt.Before(asOf) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	hosts, truncated := []any{}, false
	for _, name := range names {
		if page > 0 && len(hosts) == page {
			truncated = true
			break
		}
		m := c.machines[name]
		state := "running"
		if m.upAt.After(asOf) {
			state = "booting"
		}
		hosts = append(hosts, map[string]any{"Ref": name, "Endpoint": m.address, "Breed": m.typeName, "Yard": m.zone,
			"Loaners": m.spot, "Standing": state, "HeldS": asOf.Sub(m.rentedAt).Seconds()})
	}
	return statusReply{200, map[string]any{"Hosts": hosts, "Truncated": truncated}}
}
