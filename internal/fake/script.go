package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// Script is a day as a value: a world, what users want of it, and what goes wrong when.
// The same script always gives the same verdict. Times are in seconds from the day's
// start. As text it is JSON.
type Script struct {
	Seed  uint64          `json:"seed,omitempty"`
	World Setting         `json:"world"`
	Jobs  []Request       `json:"jobs"`
	Steps []InjectedFault `json:"steps,omitempty"`
}

// Setting is what a script's world is like; what is left out is as in Settings.
type Setting struct {
	Zones       []string            `json:"zones,omitempty"`
	Controllers []string            `json:"controllers,omitempty"` // their zones; none: one in each
	Teams       []core.Team         `json:"teams,omitempty"`
	Types       []model.MachineType `json:"types,omitempty"`
	Room        int                 `json:"room,omitempty"`        // machines of each type, zone and kind
	ValueBytes  int                 `json:"value_bytes,omitempty"` // limit of a value in the store
	Boot        [2]float64          `json:"boot,omitempty"`        // fastest and slowest; none: by type
	Keep        int                 `json:"keep,omitempty"`        // changes that the store keeps
	// Until when the following goes on, and for which share of calls or machines.
	Noise      float64 `json:"noise,omitempty"`
	Lost       float64 `json:"lost,omitempty"`      // transactions without answer, carried out up to 8 s later
	Slow       float64 `json:"slow,omitempty"`      // seconds that a transaction takes
	Copies     float64 `json:"copies,omitempty"`    // reports of which a copy comes up to 40 s later
	Repeated   float64 `json:"again,omitempty"`     // requests carried out again up to 20 s later
	LateRental float64 `json:"late_hire,omitempty"` // rentals without answer, carried out up to 20 s later
	NeverUp    float64 `json:"never_up,omitempty"`  // machines that never come up
}

// Request is a job that a user submits, and perhaps cancels.
type Request struct {
	At     float64       `json:"at"`
	ID     string        `json:"id"`
	Spec   model.JobSpec `json:"spec"`
	Run    float64       `json:"run"`              // true run time of each task
	Cancel float64       `json:"cancel,omitempty"` // seconds after the submission; 0: never
	Broken bool          `json:"broken,omitempty"`
}

// InjectedFault is a trouble, and when and whom it strikes: at a time, or at a phase of the Nth
// occurrence of a step.
type InjectedFault struct {
	At      float64 `json:"at,omitempty"`
	Step    Step    `json:"step,omitempty"`
	Phase   Phase   `json:"phase,omitempty"`
	N       int     `json:"n,omitempty"`
	Fault   string  `json:"trouble"`
	Delay   float64 `json:"delay,omitempty"` // after the moment
	For     float64 `json:"for,omitempty"`
	Node    string  `json:"node,omitempty"`    // a name, "other", or none for whom the moment concerns
	Machine int     `json:"machine,omitempty"` // which of those alive, or 0 for the one the moment concerns
}

// String is the script as one line of JSON.
func (s Script) String() string {
	b, err := json.Marshal(s)
	if err != nil {
		return err.Error() // a number that is none
	}
	return string(b)
}

// ReadScript reads a script. It refuses what the script can't be played with: unknown
// fields, troubles, steps and phases, and jobs that are named twice.
func ReadScript(r io.Reader) (Script, error) {
	var s Script
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("script: %w", err)
	}
	return s, s.check()
}

func (s Script) check() error {
	seen := map[string]bool{}
	for _, j := range s.Jobs {
		if j.ID == "" || seen[j.ID] {
			return fmt.Errorf("script: job %q is named twice or not at all", j.ID)
		}
		seen[j.ID] = true
	}
	for i, x := range s.Steps {
		if _, ok := FaultNamed(x.Fault); !ok {
			return fmt.Errorf("script: step %d: unknown trouble %q", i, x.Fault)
		}
		if x.Step != "" && (!slices.Contains(Steps, x.Step) || !slices.Contains(Phases, x.Phase) || x.N < 1) {
			return fmt.Errorf("script: step %d: no such moment: %s %q, occurrence %d", i, x.Phase, x.Step, x.N)
		}
	}
	return nil
}

func (s Setting) config() core.Config {
	cfg := Settings()
	if len(s.Zones) > 0 {
		cfg.Zones = s.Zones
	}
	if len(s.Teams) > 0 {
		cfg.Teams = s.Teams
	}
	if s.ValueBytes > 0 {
		cfg.MaxValueBytes = s.ValueBytes
	}
	return cfg
}

// build makes the script's world.
func (s Script) build() *World {
	cfg, set := s.World.config(), s.World
	controllers := cfg.Zones
	if len(set.Controllers) > 0 {
		controllers = set.Controllers
	}
	w := NewWith(s.Seed, cfg, controllers...)
	noise := seconds(set.Noise)
	happens := func(share float64) bool { return w.Now < noise && share > 0 && w.Rng.Float64() < share }
	upTo := func(d time.Duration) time.Duration { return time.Duration(w.Rng.Float64() * float64(d)) }
	if noise > 0 {
		w.extendFaults(noise)
		w.Store.slowFor(seconds(set.Slow), noise)
	}
	w.Store.Keep = set.Keep
	w.Store.Lose = func(string, core.Txn) (bool, time.Duration) { return happens(set.Lost), upTo(8 * time.Second) }
	w.Copies = func(*Worker) []time.Duration {
		if !happens(set.Copies) {
			return nil
		}
		return []time.Duration{time.Second + upTo(40*time.Second)}
	}
	w.RepeatRequest = func(string, core.Operation) time.Duration {
		if !happens(set.Repeated) {
			return 0
		}
		return time.Millisecond + upTo(20*time.Second)
	}
	w.Cloud.LateRental = func(core.RentHosts) time.Duration {
		if !happens(set.LateRental) {
			return 0
		}
		return time.Second + upTo(20*time.Second)
	}
	if len(set.Types) > 0 {
		w.Cloud.offer(set.Types)
	}
	if set.Room > 0 {
		for k := range w.Cloud.Room {
			w.Cloud.Room[k] = set.Room
		}
	}
	if b := set.Boot; b[1] > 0 {
		w.Cloud.BootS = func(string) float64 {
			if happens(set.NeverUp) {
				return -1
			}
			return b[0] + (b[1]-b[0])*w.Rng.Float64()
		}
	}
	return w
}

// offer has the cloud rent machines of these types, two of each in each zone and of each
// kind.
func (c *Cloud) offer(types []model.MachineType) {
	c.Types, c.Room = nil, map[string]int{}
	for _, t := range types {
		if len(t.Zones) == 0 {
			t.Zones = c.w.Cfg.Zones
		}
		c.Types = append(c.Types, t)
		for _, z := range t.Zones {
			c.Room[roomKey(t.Name, z, true)], c.Room[roomKey(t.Name, z, false)] = 2, 2
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
