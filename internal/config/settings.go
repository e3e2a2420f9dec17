// Package config reads what the platform hands over (JSON) and what the
// operators set themselves (INI), and refuses what cannot work.
package config

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"roadcleat/internal/leadership"
	"slices"
	"strings"
	"time"
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
	HeartbeatSeconds float64 `json:"report_s"`
	LeaseSeconds     float64 `json:"lease_s"`
	CancelSeconds    float64 `json:"cancel_s"`
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
	RPS            float64 `json:"rps"`
	ListLagSeconds float64 `json:"list_lag_s"`
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
		{"deployment.workers.report_s", d.Workers.HeartbeatSeconds},
		{"deployment.workers.lease_s", d.Workers.LeaseSeconds},
		{"deployment.workers.cancel_s", d.Workers.CancelSeconds},
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
	if d.State.TxnOps < minTxnOps {
		return fmt.Errorf("deployment.state.txn_ops: %d is too few, at least %d are needed", d.State.TxnOps, minTxnOps)
	}
	if d.Workers.CancelSeconds <= d.Workers.LeaseSeconds {
		return fmt.Errorf("deployment.workers.cancel_s: must be above lease_s")
	}
	for _, p := range []struct {
		field string
		v     float64
	}{
		{"deployment.cloud.list_lag_s", d.Cloud.ListLagSeconds},
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

// minTxnOps is how many changes a task's move to another part takes at once.
const minTxnOps = 3

// What every controller should have, whatever it owns: renewing its lease and
// following the store, being heard at all, the cloud's list now and then, and
// sockets for calls to the outside beside those for users and workers.
const (
	minRequests   = 3.0
	minWrites     = 1.0
	minCloudCalls = 0.1
	minMemoryMB   = 24.0
	minSockets    = 48
	minValueKB    = 2.0 // lists a few dozen tasks that run
)

// What the store's values hold: a job's description, and something of each zone.
const (
	specBytes      = 512.0
	zoneEntryBytes = 48.0
)

// answeredShare is for how many seconds workers should be answered when nobody can tell
// whether a withdrawal was missed.
const answeredShare = 5.0

// Warnings names the settings of the platform and the operators that make a promise
// impossible or poor: what is so little that so many controllers and zones will run badly,
// times that don't go together, zones that nobody is in. It ends no start: what runs poorly
// serves somebody, and a controller that is refused here because of a reckoning would serve
// nobody. More controllers than zones are well: those without a part stand by.
func (s *Settings) Warnings(o *Operator) []string {
	return slices.Concat(s.smallBudgets(), s.conflictingTimes(o), s.unmatchedZones(), s.tooManyHeartbeats(o))
}

// heartbeatCoreSeconds is what a worker's report costs its owner, in seconds of a whole core, with
// all that follows from it: planning, records, orders. On simulated days at about 4,000
// machines controllers used 0.5 to 1.1 ms for each, on a processor at half the usual speed.
const heartbeatCoreSeconds = 0.0005

// tooManyHeartbeats says whether the operators' number of machines reports more often than the
// controllers' shares of a core allow, all of them together and the last one alone.
func (s *Settings) tooManyHeartbeats(o *Operator) []string {
	share, controllers := s.Deployment.Resources.CoreShare, float64(1+len(s.Others))
	if o.Machines == 0 || share == 0 {
		return nil
	}
	reports, each := o.Machines/s.Deployment.Workers.HeartbeatSeconds, share/heartbeatCoreSeconds
	sums := fmt.Sprintf("[fleet] machines: %g machines report %.0f times a second; a controller with %g of a core takes about %.0f", o.Machines, reports, share, each)
	switch {
	case reports > each*controllers:
		return []string{fmt.Sprintf("%s, %g of them %.0f: more controllers or larger shares are needed", sums, controllers, each*controllers)}
	case reports > each:
		return []string{sums + ": one that is left alone can't serve them all, and leases of workers will run out"}
	}
	return nil
}

// smallBudgets names what there is too little of.
func (s *Settings) smallBudgets() []string {
	n, zones := float64(1+len(s.Others)), float64(len(s.Deployment.Zones))
	d := &s.Deployment
	perZone := 0.0
	for _, z := range d.Zones {
		perZone += float64(len(z)) + zoneEntryBytes
	}
	var out []string
	for _, b := range []struct {
		field      string
		has, least float64
		what       string
	}{
		{"deployment.state.rps", d.State.RPS, minRequests * n, "for %g controllers"},
		{"deployment.state.write_rps", d.State.WriteRPS, max(minWrites*n, 1+minWrites*zones), "for %g controllers"},
		{"deployment.state.txn_ops", float64(d.State.TxnOps), 1 + zones, "for a job that goes to all zones at once"},
		{"deployment.state.value_kb", d.State.ValueKB, max(minValueKB, math.Ceil((specBytes+perZone)/1024)), "for what is kept of a job's tasks and of each zone"},
		{"deployment.cloud.rps", d.Cloud.RPS, minCloudCalls * n, "for %g controllers"},
		{"deployment.resources.memory_mb", d.Resources.MemoryMB, minMemoryMB, "for %g controllers"},
		{"deployment.resources.fd_limit", float64(d.Resources.FDLimit), minSockets + 4*(n-1), "for %g controllers"},
	} {
		if b.has > 0 && b.has < b.least {
			what := b.what
			if strings.Contains(what, "%g") {
				what = fmt.Sprintf(what, n)
			}
			out = append(out, fmt.Sprintf("%s: %g is little %s, %g would do", b.field, b.has, what, b.least))
		}
	}
	return out
}

// conflictingTimes names times that don't go together.
func (s *Settings) conflictingTimes(o *Operator) []string {
	w := &s.Deployment.Workers
	var out []string
	warn := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	enough := math.Ceil((w.LeaseSeconds + answeredShare + 2) / 0.99)
	switch answer := leadership.AnswerWindow(Seconds(w.LeaseSeconds), Seconds(w.CancelSeconds)).Seconds(); {
	case answer <= 0:
		warn("deployment.workers.cancel_s: with %g no worker can ever be answered, since its lease of %g s must be over by then; %g would do", w.CancelSeconds, w.LeaseSeconds, enough)
	case answer < answeredShare:
		warn("deployment.workers.cancel_s: %g is so close to lease_s, %g, that a controller which loses the state service while another is down answers its workers for %.1f s only; %g would do", w.CancelSeconds, w.LeaseSeconds, answer, enough)
	}
	if w.HeartbeatSeconds > w.LeaseSeconds/3 {
		warn("deployment.workers.report_s: %g is more than a third of lease_s, %g: reports lost in a row cost a worker its lease", w.HeartbeatSeconds, w.LeaseSeconds)
	}
	report, lease, tuning := Seconds(w.HeartbeatSeconds), Seconds(w.LeaseSeconds), o.Tuning()
	if found := tuning.FailoverTime(report, lease, false); found > lease {
		warn("deployment.workers.lease_s: %g is less than the %.1f s in which workers find another controller at best when theirs ends, so its end costs running work", w.LeaseSeconds, found.Seconds())
	} else if found = tuning.FailoverTime(report, lease, true); found > lease {
		warn("[parts] grace_s: %g is too long: with it workers find another zone's controller in %.1f s at best, and lease_s is %g", o.TakeoverDelaySeconds, found.Seconds(), w.LeaseSeconds)
	}
	return out
}

// unmatchedZones names zones without a controller, and controllers that are in no zone.
func (s *Settings) unmatchedZones() []string {
	var out, alone []string
	in := map[string]bool{s.Location: true}
	at := func(field, location string) {
		if !slices.Contains(s.Deployment.Zones, location) {
			out = append(out, fmt.Sprintf("%s: %q is none of deployment.zones: that controller looks after machines only in place of others", field, location))
		}
	}
	at("location", s.Location)
	for i, other := range s.Others {
		in[other.Location] = true
		at(fmt.Sprintf("others[%d].location", i), other.Location)
	}
	for _, z := range s.Deployment.Zones {
		if !in[z] {
			alone = append(alone, z)
		}
	}
	if len(alone) > 0 {
		out = append(out, fmt.Sprintf("deployment.zones: no controller is in %s: when such a zone is cut off, nobody hears its machines, and their work starts elsewhere", strings.Join(alone, ", ")))
	}
	return out
}

// Seconds is a number of seconds, as both files have them, as a duration.
func Seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func bad(v float64) bool { return v < 0 || math.IsNaN(v) || math.IsInf(v, 0) }
