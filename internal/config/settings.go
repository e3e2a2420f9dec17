// Package config reads what the platform hands over (JSON) and what the
// operators set themselves (INI), and refuses what cannot work.
package config

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
)

// Settings is the platform's file. Fields it does not name are ignored.
type Settings struct {
	Label      string     `json:"label"`
	Location   string     `json:"location"`
	APIAddr    string     `json:"api_addr"`
	PeerListen string     `json:"peer_listen"`
	Others     []Other    `json:"others"`
	External   External   `json:"external"`
	Deployment Deployment `json:"deployment"`
}

// Other is another controller of the deployment.
type Other struct {
	Label    string `json:"label"`
	Location string `json:"location"`
	PeerAddr string `json:"peer_addr"`
}

// External names the services outside the controllers.
type External struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment is what all controllers of a deployment share.
type Deployment struct {
	Zones      []string    `json:"zones"`
	Teams      []Team      `json:"teams"`
	Objectives []Objective `json:"objectives"`
	Workers    Workers     `json:"workers"`
	State      State       `json:"state"`
	Cloud      Cloud       `json:"cloud"`
	Resources  Resources   `json:"resources"`
	ClockOffMs float64     `json:"clock_off_ms"`
}

// Team is a team's guarantee and limit; 0 means none, so a limit of 0 limits
// nothing. It was once read as nothing allowed, and guests were refused for ever.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective repeats one aim; those of kind "finished" and "deadline" guide the
// order of work.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Times   float64 `json:"times"`
	Share   float64 `json:"share"`
}

// Workers holds the workers' timing.
type Workers struct {
	ReportS float64 `json:"report_s"`
	LeaseS  float64 `json:"lease_s"`
	CancelS float64 `json:"cancel_s"`
}

// State holds the state service's limits.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// Cloud holds the cloud interface's limits.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Resources is what one controller may use.
type Resources struct {
	CoreShare float64 `json:"core_share"`
	MemoryMB  float64 `json:"memory_mb"`
	FDLimit   int     `json:"fd_limit"`
}

// Load reads and checks the platform's file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse reads and checks the platform's settings. Its error names the field.
func Parse(data []byte) (*Settings, error) {
	s := new(Settings)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

func (s *Settings) check() error {
	if s.Label == "" {
		return fmt.Errorf("label: must not be empty")
	}
	addrs := []struct{ field, addr string }{
		{"api_addr", s.APIAddr}, {"peer_listen", s.PeerListen},
		{"external.cloud", s.External.Cloud}, {"external.state", s.External.State},
	}
	seen := map[string]bool{s.Label: true}
	for i, o := range s.Others {
		if o.Label == "" || seen[o.Label] {
			return fmt.Errorf("others[%d].label: missing or not unique", i)
		}
		seen[o.Label] = true
		addrs = append(addrs, struct{ field, addr string }{fmt.Sprintf("others[%d].peer_addr", i), o.PeerAddr})
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is not HOST:PORT", a.field, a.addr)
		}
	}
	d := &s.Deployment
	if len(d.Zones) == 0 {
		return fmt.Errorf("deployment.zones: at least one zone is needed")
	}
	zones := map[string]bool{}
	for i, z := range d.Zones {
		if z == "" || zones[z] {
			return fmt.Errorf("deployment.zones[%d]: missing or not unique", i)
		}
		zones[z] = true
	}
	teams := map[string]bool{}
	for i, t := range d.Teams {
		f := fmt.Sprintf("deployment.teams[%d]", i)
		switch {
		case t.Name == "" || teams[t.Name]:
			return fmt.Errorf("%s.name: missing or not unique", f)
		case bad(t.CPUs) || bad(t.CPUsMax) || bad(t.GPUs) || bad(t.GPUsMax):
			return fmt.Errorf("%s: amounts must not be negative", f)
		case t.CPUsMax > 0 && t.CPUs > t.CPUsMax:
			return fmt.Errorf("%s.cpus: guarantee %g is above cpus_max %g", f, t.CPUs, t.CPUsMax)
		case t.GPUsMax > 0 && t.GPUs > t.GPUsMax:
			return fmt.Errorf("%s.gpus: guarantee %g is above gpus_max %g", f, t.GPUs, t.GPUsMax)
		}
		teams[t.Name] = true
	}
	positive := []struct {
		field string
		v     float64
	}{
		{"deployment.workers.report_s", d.Workers.ReportS},
		{"deployment.workers.lease_s", d.Workers.LeaseS},
		{"deployment.workers.cancel_s", d.Workers.CancelS},
		{"deployment.state.rps", d.State.RPS},
		{"deployment.state.write_rps", d.State.WriteRPS},
		{"deployment.state.value_kb", d.State.ValueKB},
		{"deployment.state.txn_ops", float64(d.State.TxnOps)},
		{"deployment.cloud.rps", d.Cloud.RPS},
	}
	for _, p := range positive {
		if bad(p.v) || p.v == 0 {
			return fmt.Errorf("%s: must be above zero", p.field)
		}
	}
	if d.State.TxnOps < leastOps {
		return fmt.Errorf("deployment.state.txn_ops: %d is too few, at least %d are needed", d.State.TxnOps, leastOps)
	}
	if d.Workers.CancelS <= d.Workers.LeaseS {
		return fmt.Errorf("deployment.workers.cancel_s: must be above lease_s")
	}
	for _, p := range []struct {
		field string
		v     float64
	}{
		{"deployment.cloud.list_lag_s", d.Cloud.ListLagS},
		{"deployment.resources.core_share", d.Resources.CoreShare},
		{"deployment.resources.memory_mb", d.Resources.MemoryMB},
		{"deployment.resources.fd_limit", float64(d.Resources.FDLimit)},
		{"deployment.clock_off_ms", d.ClockOffMs},
	} {
		if bad(p.v) {
			return fmt.Errorf("%s: must not be negative", p.field)
		}
	}
	return nil
}

// leastOps is how many changes a task's move to another part takes at once.
const leastOps = 3

// What every controller should have, whatever it owns: renewing its lease and
// following the store, being heard at all, the cloud's list now and then, and
// sockets for calls to the outside beside those for users and workers.
const (
	leastRequests = 3.0
	leastChanges  = 1.0
	leastCalls    = 0.1
	leastMemoryMB = 24.0
	leastSockets  = 48
)

// Warnings names what is so little that so many controllers will run poorly.
// It ends no start: what runs poorly serves somebody, and a controller that is
// refused here because of a reckoning would serve nobody. More controllers than
// zones are well: those without a part stand by.
func (s *Settings) Warnings() []string {
	n := float64(1 + len(s.Others))
	d := &s.Deployment
	var out []string
	for _, b := range []struct {
		field      string
		has, least float64
	}{
		{"deployment.state.rps", d.State.RPS, leastRequests * n},
		{"deployment.state.write_rps", d.State.WriteRPS, leastChanges * n},
		{"deployment.cloud.rps", d.Cloud.RPS, leastCalls * n},
		{"deployment.resources.memory_mb", d.Resources.MemoryMB, leastMemoryMB},
		{"deployment.resources.fd_limit", float64(d.Resources.FDLimit), leastSockets + 4*(n-1)},
	} {
		if b.has > 0 && b.has < b.least {
			out = append(out, fmt.Sprintf("%s: %g is little for %g controllers, %g would do", b.field, b.has, n, b.least))
		}
	}
	return out
}

func bad(v float64) bool { return v < 0 || math.IsNaN(v) || math.IsInf(v, 0) }
