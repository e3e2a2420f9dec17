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

// OperatorFileEnv is the environment variable with the path of the operators' settings file.
// It is used if the command line names no file.
const OperatorFileEnv = "ROADCLEAT_OPERATOR"

// OperatorConfig holds the values of the operators' settings.
type OperatorConfig struct {
	FetchSecondsPerGB         float64 // seconds to fetch 1 GB of an image, until fetches have been measured
	MaxPartialSchedules       float64 // maximum number of partial schedules kept while planning
	ReturnIdleAfterSeconds    float64 // idle time after which a machine may be returned to the cloud
	DemandWindowSeconds       float64 // period of past demand from which the fleet size is computed
	SpareCapacityRatio        float64 // free capacity to keep, as a ratio of the average demand
	ReturnSilentAfterSeconds  float64 // time without heartbeats after which a machine is returned to the cloud
	ControllerLeaseTTLSeconds float64 // lifetime of the controller's lease at the state service
	TakeoverDelaySeconds      float64 // delay before a controller claims a free shard of another zone
	PlannedMachines           float64 // number of machines that the deployment is planned for; 0 if unknown
}

// OperatorSetting describes one of the operators' settings: its place in the INI file, its
// default, its meaning and its allowed range.
type OperatorSetting struct {
	Section, Key, Default, Doc string
	Min, Max                   float64
	isInteger                  bool                           // only whole numbers are allowed
	fieldOf                    func(*OperatorConfig) *float64 // returns the field that holds the value
}

// OperatorSettingTable returns the descriptions of all operators' settings, in the order in
// which they are printed.
func OperatorSettingTable() []OperatorSetting {
	return []OperatorSetting{
		{
			Section: "planning", Key: "fetch_s_per_gb", Default: "5", Min: 0.01, Max: 1000,
			Doc:     "seconds to fetch 1 GB of an image, until fetches have been measured",
			fieldOf: func(o *OperatorConfig) *float64 { return &o.FetchSecondsPerGB },
		},
		{
			Section: "planning", Key: "frontier", Default: "64", Min: 1, Max: 4096, isInteger: true,
			Doc:     "maximum number of partial schedules kept while a pipeline is planned",
			fieldOf: func(o *OperatorConfig) *float64 { return &o.MaxPartialSchedules },
		},
		{
			Section: "hiring", Key: "keep_idle_s", Default: "25", Min: 1, Max: 86400,
			Doc:     "idle seconds after which an unneeded machine is returned to the cloud",
			fieldOf: func(o *OperatorConfig) *float64 { return &o.ReturnIdleAfterSeconds },
		},
		{
			Section: "hiring", Key: "window_s", Default: "40", Min: 5, Max: 86400,
			Doc:     "seconds of past demand from which the fleet size is computed",
			fieldOf: func(o *OperatorConfig) *float64 { return &o.DemandWindowSeconds },
		},
		{
			Section: "hiring", Key: "spare_share", Default: "0.2", Min: 0, Max: 10,
			Doc:     "free capacity to keep, as a ratio of the average demand",
			fieldOf: func(o *OperatorConfig) *float64 { return &o.SpareCapacityRatio },
		},
		{
			Section: "hiring", Key: "silent_return_s", Default: "14", Min: 2, Max: 86400,
			Doc: "seconds without heartbeats after which a machine is returned to the cloud; " +
				"at least the time of one late and one lost heartbeat is used",
			fieldOf: func(o *OperatorConfig) *float64 { return &o.ReturnSilentAfterSeconds },
		},
		{
			Section: "parts", Key: "hold_s", Default: "8", Min: 1, Max: 600,
			Doc: "lifetime in seconds of this controller's lease at the state service; " +
				"at most 28% of a worker's lease is used",
			fieldOf: func(o *OperatorConfig) *float64 { return &o.ControllerLeaseTTLSeconds },
		},
		{
			Section: "parts", Key: "grace_s", Default: "2", Min: 0, Max: 600,
			Doc:     "seconds before this controller claims a free shard of another zone",
			fieldOf: func(o *OperatorConfig) *float64 { return &o.TakeoverDelaySeconds },
		},
		{
			Section: "fleet", Key: "machines", Default: "0", Min: 0, Max: 1e7, isInteger: true,
			Doc:     "number of machines that the deployment is planned for, used by the warnings of check; 0: unknown",
			fieldOf: func(o *OperatorConfig) *float64 { return &o.PlannedMachines },
		},
	}
}

// Value returns the setting's value in the operators' settings as text.
func (s OperatorSetting) Value(o *OperatorConfig) string {
	return strconv.FormatFloat(*s.fieldOf(o), 'g', -1, 64)
}

// Tuning converts the settings to the tuning parameters of the core.
func (o *OperatorConfig) Tuning() core.Tuning {
	return core.Tuning{
		FetchSecondsPerGB:   o.FetchSecondsPerGB,
		MaxPartialSchedules: int(o.MaxPartialSchedules),
		ReturnIdleAfter:     Seconds(o.ReturnIdleAfterSeconds),
		DemandWindow:        Seconds(o.DemandWindowSeconds),
		SpareCapacityRatio:  o.SpareCapacityRatio,
		ReturnSilentAfter:   Seconds(o.ReturnSilentAfterSeconds),
		LeaseTTL:            Seconds(o.ControllerLeaseTTLSeconds),
		TakeoverDelay:       Seconds(o.TakeoverDelaySeconds),
	}
}

// Effective returns the settings with the values that the core actually uses: it limits some
// of them to bounds that follow from the workers' heartbeat interval and lease.
func (o *OperatorConfig) Effective(w *Workers) *OperatorConfig {
	tuning := o.Tuning().Effective(Seconds(w.HeartbeatSeconds), Seconds(w.LeaseSeconds))
	effective := *o
	effective.ControllerLeaseTTLSeconds = tuning.LeaseTTL.Seconds()
	effective.ReturnSilentAfterSeconds = tuning.ReturnSilentAfter.Seconds()
	effective.MaxPartialSchedules = float64(tuning.MaxPartialSchedules)
	return &effective
}

// DefaultOperatorConfig returns the settings that apply without an operators' file.
func DefaultOperatorConfig() *OperatorConfig {
	o := new(OperatorConfig)
	for _, setting := range OperatorSettingTable() {
		value, err := strconv.ParseFloat(setting.Default, 64)
		if err != nil {
			panic("config: default of " + setting.Key + " must be a number, got " + setting.Default)
		}
		*setting.fieldOf(o) = value
	}
	return o
}

// LoadOperatorConfig reads the operators' settings file. If path is empty, the environment
// variable OperatorFileEnv names the file; if that is empty too, the defaults apply.
func LoadOperatorConfig(path string) (*OperatorConfig, error) {
	if path == "" {
		path = os.Getenv(OperatorFileEnv)
	}
	if path == "" {
		return DefaultOperatorConfig(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	return ParseOperatorConfig(data)
}

// OperatorError reports a section or key of the operators' settings that is rejected. Key is
// empty if the whole section is rejected.
type OperatorError struct {
	Section, Key string
	Problem      string
}

func (e *OperatorError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("operator settings: [%s]: %s", e.Section, e.Problem)
	}
	return fmt.Sprintf("operator settings: [%s] %s: %s", e.Section, e.Key, e.Problem)
}

// iniError wraps an error of the INI library and prints it on one line. Some errors of the
// library contain a newline because they quote the faulty line of the file.
type iniError struct{ err error }

func (e *iniError) Error() string {
	return "operator settings: " + strings.Join(strings.Fields(e.err.Error()), " ")
}

func (e *iniError) Unwrap() error { return e.err }

// ParseOperatorConfig parses and checks the operators' settings. Unknown sections, unknown keys
// and keys with several values are errors.
func ParseOperatorConfig(data []byte) (*OperatorConfig, error) {
	// Keeps all values of a repeated key, so that setFrom can reject it. By default the library
	// silently uses the last value.
	options := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}
	file, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, &iniError{err}
	}
	sections := map[string]map[string]OperatorSetting{ini.DefaultSection: {}}
	for _, setting := range OperatorSettingTable() {
		if sections[setting.Section] == nil {
			sections[setting.Section] = map[string]OperatorSetting{}
		}
		sections[setting.Section][setting.Key] = setting
	}
	o := DefaultOperatorConfig()
	for _, section := range file.Sections() {
		settings, known := sections[section.Name()]
		if !known {
			return nil, &OperatorError{Section: section.Name(), Problem: "unknown section"}
		}
		for _, key := range section.Keys() {
			setting, known := settings[key.Name()]
			if !known {
				return nil, &OperatorError{Section: section.Name(), Key: key.Name(), Problem: "unknown key"}
			}
			if err := setting.setFrom(key, o); err != nil {
				return nil, err
			}
		}
	}
	return o, nil
}

// setFrom checks the value of a key and stores it in the operators' settings.
func (s OperatorSetting) setFrom(key *ini.Key, o *OperatorConfig) error {
	failf := func(format string, args ...any) error {
		return &OperatorError{Section: s.Section, Key: s.Key, Problem: fmt.Sprintf(format, args...)}
	}
	if values := key.ValueWithShadows(); len(values) > 1 {
		return failf("must be given once, got %d values", len(values))
	}
	value, err := key.Float64()
	if inRange := value >= s.Min && value <= s.Max; err != nil || !inRange { // NaN fails both comparisons
		return failf("must be a number from %g to %g, got %q", s.Min, s.Max, key.Value())
	}
	if s.isInteger && value != math.Trunc(value) {
		return failf("must be a whole number, got %q", key.Value())
	}
	*s.fieldOf(o) = value
	return nil
}
