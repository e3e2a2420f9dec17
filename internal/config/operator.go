package config

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"roadcleat/internal/core"
)

// OperatorEnv names the file of the operators' settings when the flag does not.
const OperatorEnv = "ROADCLEAT_OPERATOR"

// Operator holds the operators' own settings.
type Operator struct {
	FetchSecondsPerGB        float64 // seconds per GB assumed before any fetch was seen
	Frontier                 float64 // partial schedules kept while planning
	KeepIdleSeconds          float64 // idle time after which a machine may be returned
	DemandWindowSeconds      float64 // how far back demand is looked at
	SpareShare               float64 // room kept beyond the demand seen
	ReturnSilentAfterSeconds float64 // silence after which a machine is given back
	LeaseTTLSeconds          float64 // life of the lease at the state service
	TakeoverDelaySeconds     float64 // wait before taking another zone's free part
	Machines                 float64 // machines that the deployment is meant for; 0: not said
}

// OperatorSetting is one row of the operators' settings.
type OperatorSetting struct {
	Section, Key, Default, Doc string
	Min, Max                   float64
	whole                      bool
	field                      func(*Operator) *float64
}

// OperatorSettings is the one table of the operators' settings and their defaults.
func OperatorSettings() []OperatorSetting {
	return []OperatorSetting{
		{"planning", "fetch_s_per_gb", "5", "seconds to fetch one GB, until fetches were seen", 0.01, 1000, false,
			func(o *Operator) *float64 { return &o.FetchSecondsPerGB }},
		{"planning", "frontier", "64", "partial schedules kept at most while a pipeline is planned", 1, 4096, true,
			func(o *Operator) *float64 { return &o.Frontier }},
		{"hiring", "keep_idle_s", "25", "idle seconds after which a machine that is not needed is returned", 1, 86400, false,
			func(o *Operator) *float64 { return &o.KeepIdleSeconds }},
		{"hiring", "window_s", "40", "seconds of past demand that the fleet is sized for", 5, 86400, false,
			func(o *Operator) *float64 { return &o.DemandWindowSeconds }},
		{"hiring", "spare_share", "0.2", "share of the average demand that is kept free on top of it", 0, 10, false,
			func(o *Operator) *float64 { return &o.SpareShare }},
		{"hiring", "silent_return_s", "14", "seconds of a machine's silence after which it is given back, at least a late report and a lost one", 2, 86400, false,
			func(o *Operator) *float64 { return &o.ReturnSilentAfterSeconds }},
		{"parts", "hold_s", "8", "life of this controller's lease at the state service, at most 28% of a worker's", 1, 600, false,
			func(o *Operator) *float64 { return &o.LeaseTTLSeconds }},
		{"parts", "grace_s", "2", "wait before another zone's free part is taken", 0, 600, false,
			func(o *Operator) *float64 { return &o.TakeoverDelaySeconds }},
		{"fleet", "machines", "0", "machines that the deployment is meant for, which check reckons with; 0: not said", 0, 1e7, true,
			func(o *Operator) *float64 { return &o.Machines }},
	}
}

// Value prints what a knob is set to.
func (k OperatorSetting) Value(o *Operator) string {
	return strconv.FormatFloat(*k.field(o), 'g', -1, 64)
}

// Tuning are the settings in the core's terms.
func (o *Operator) Tuning() core.Tuning {
	return core.Tuning{FetchSecondsPerGB: o.FetchSecondsPerGB, Frontier: int(o.Frontier), KeepIdle: Seconds(o.KeepIdleSeconds), DemandWindow: Seconds(o.DemandWindowSeconds),
		SpareShare: o.SpareShare, ReturnSilentAfter: Seconds(o.ReturnSilentAfterSeconds), LeaseTTL: Seconds(o.LeaseTTLSeconds), TakeoverDelay: Seconds(o.TakeoverDelaySeconds)}
}

// Effective is what the settings come to with a deployment's workers.
func (o *Operator) Effective(w *Workers) *Operator {
	in, k := *o, o.Tuning().Effective(Seconds(w.HeartbeatSeconds), Seconds(w.LeaseSeconds))
	in.LeaseTTLSeconds, in.ReturnSilentAfterSeconds, in.Frontier = k.LeaseTTL.Seconds(), k.ReturnSilentAfter.Seconds(), float64(k.Frontier)
	return &in
}

// DefaultOperator is what holds when there is no operators' file.
func DefaultOperator() *Operator {
	o := new(Operator)
	for _, k := range OperatorSettings() {
		v, err := strconv.ParseFloat(k.Default, 64)
		if err != nil {
			panic("config: default of " + k.Key + " is no number")
		}
		*k.field(o) = v
	}
	return o
}

// LoadOperator reads the operators' file. An empty path means the one named
// by the environment, or none.
func LoadOperator(path string) (*Operator, error) {
	if path == "" {
		path = os.Getenv(OperatorEnv)
	}
	if path == "" {
		return DefaultOperator(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	return ParseOperator(data)
}

// ParseOperator reads the operators' settings; keys it does not know are errors.
func ParseOperator(data []byte) (*Operator, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}, data)
	if err != nil { // the library ends some of its errors with the line they are about
		return nil, fmt.Errorf("operator settings: %s", strings.Join(strings.Fields(err.Error()), " "))
	}
	known, sections := map[[2]string]OperatorSetting{}, map[string]bool{ini.DefaultSection: true}
	for _, k := range OperatorSettings() {
		known[[2]string{k.Section, k.Key}], sections[k.Section] = k, true
	}
	o := DefaultOperator()
	for _, sec := range f.Sections() {
		if !sections[sec.Name()] {
			return nil, fmt.Errorf("operator settings: [%s]: unknown section", sec.Name())
		}
		for _, key := range sec.Keys() {
			k, ok := known[[2]string{sec.Name(), key.Name()}]
			if !ok {
				return nil, fmt.Errorf("operator settings: [%s] %s: unknown key", sec.Name(), key.Name())
			}
			if len(key.ValueWithShadows()) > 1 {
				return nil, fmt.Errorf("operator settings: [%s] %s: given twice", k.Section, k.Key)
			}
			v, err := key.Float64()
			if err != nil || !(v >= k.Min && v <= k.Max) {
				return nil, fmt.Errorf("operator settings: [%s] %s: %q is not a number from %g to %g",
					k.Section, k.Key, key.Value(), k.Min, k.Max)
			}
			if k.whole && v != math.Trunc(v) {
				return nil, fmt.Errorf("operator settings: [%s] %s: %q is not a whole number", k.Section, k.Key, key.Value())
			}
			*k.field(o) = v
		}
	}
	return o, nil
}
