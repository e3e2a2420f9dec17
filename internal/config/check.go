package config

import (
	"fmt"
	"math"
	"net"
)

// FieldError reports a field of the platform's settings whose value is rejected.
type FieldError struct {
	Field   string // path of the field in the JSON file, such as deployment.state.rps
	Problem string // what was expected and what was got
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// fieldErrorf returns a FieldError with a formatted problem.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// settingValue is the value of a field together with the path of the field, which error
// messages need. Checks that apply to several fields iterate over a list of them.
type settingValue[T any] struct {
	path  string
	value T
}

// minTxnMutations is the number of mutations in the transaction that moves a task to another
// shard.
const minTxnMutations = 3

// check returns an error for the first field whose value is rejected.
func (s *Settings) check() error {
	for _, check := range []func() error{
		s.checkControllers,
		s.checkAddresses,
		s.Deployment.checkZones,
		s.Deployment.checkTeams,
		s.Deployment.checkAmounts,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkControllers checks that each controller has a unique label.
func (s *Settings) checkControllers() error {
	if s.Label == "" {
		return fieldErrorf("label", "must be a non-empty name, got %q", s.Label)
	}
	seen := map[string]bool{s.Label: true}
	for i, other := range s.Peers {
		if other.Label == "" || seen[other.Label] {
			return fieldErrorf(fmt.Sprintf("others[%d].label", i),
				"must be a non-empty name that is unique among the controllers, got %q", other.Label)
		}
		seen[other.Label] = true
	}
	return nil
}

// checkAddresses checks that each network address has the form HOST:PORT.
func (s *Settings) checkAddresses() error {
	addresses := []settingValue[string]{
		{"api_addr", s.APIAddr},
		{"peer_listen", s.PeerListenAddr},
		{"external.cloud", s.External.CloudAddr},
		{"external.state", s.External.StateServiceAddr},
	}
	for i, other := range s.Peers {
		addresses = append(addresses, settingValue[string]{fmt.Sprintf("others[%d].peer_addr", i), other.PeerAddr})
	}
	for _, addr := range addresses {
		if _, _, err := net.SplitHostPort(addr.value); err != nil {
			return fieldErrorf(addr.path, "must be HOST:PORT, got %q", addr.value)
		}
	}
	return nil
}

// checkZones checks that there is a zone and that zone names are unique.
func (d *Deployment) checkZones() error {
	if len(d.Zones) == 0 {
		return fieldErrorf("deployment.zones", "must name at least one zone, got none")
	}
	seen := map[string]bool{}
	for i, zone := range d.Zones {
		if zone == "" || seen[zone] {
			return fieldErrorf(fmt.Sprintf("deployment.zones[%d]", i),
				"must be a non-empty name that is unique among the zones, got %q", zone)
		}
		seen[zone] = true
	}
	return nil
}

// checkTeams checks that team names are unique, and each team's guarantees and limits.
func (d *Deployment) checkTeams() error {
	seen := map[string]bool{}
	for i, team := range d.Teams {
		path := fmt.Sprintf("deployment.teams[%d]", i)
		if team.Name == "" || seen[team.Name] {
			return fieldErrorf(path+".name", "must be a non-empty name that is unique among the teams, got %q", team.Name)
		}
		if err := team.check(path); err != nil {
			return err
		}
		seen[team.Name] = true
	}
	return nil
}

// check checks that the team's amounts are valid and that no guarantee exceeds its limit. The
// path is that of the team, for error messages.
func (t *Team) check(path string) error {
	for _, amount := range []float64{t.GuaranteedCores, t.MaxCores, t.GuaranteedGPUs, t.MaxGPUs} {
		if isInvalidAmount(amount) {
			return fieldErrorf(path, "cpus, cpus_max, gpus and gpus_max must be at least 0, got %g", amount)
		}
	}
	if t.MaxCores > 0 && t.GuaranteedCores > t.MaxCores {
		return fieldErrorf(path+".cpus", "must be at most cpus_max (%g), got %g", t.MaxCores, t.GuaranteedCores)
	}
	if t.MaxGPUs > 0 && t.GuaranteedGPUs > t.MaxGPUs {
		return fieldErrorf(path+".gpus", "must be at most gpus_max (%g), got %g", t.MaxGPUs, t.GuaranteedGPUs)
	}
	return nil
}

// checkAmounts checks the ranges of all numbers that apply to the whole deployment.
func (d *Deployment) checkAmounts() error {
	for _, amount := range []settingValue[float64]{
		{"deployment.workers.report_s", d.Workers.HeartbeatSeconds},
		{"deployment.workers.lease_s", d.Workers.LeaseSeconds},
		{"deployment.workers.cancel_s", d.Workers.CancelSeconds},
		{"deployment.state.rps", d.StateService.RequestsPerSecond},
		{"deployment.state.write_rps", d.StateService.WritesPerSecond},
		{"deployment.state.value_kb", d.StateService.MaxValueKB},
		{"deployment.state.txn_ops", float64(d.StateService.MaxTxnMutations)},
		{"deployment.cloud.rps", d.Cloud.RequestsPerSecond},
	} {
		if isInvalidAmount(amount.value) || amount.value == 0 {
			return fieldErrorf(amount.path, "must be above 0, got %g", amount.value)
		}
	}
	if d.StateService.MaxTxnMutations < minTxnMutations {
		return fieldErrorf("deployment.state.txn_ops", "must be at least %d, got %d", minTxnMutations, d.StateService.MaxTxnMutations)
	}
	if d.Workers.CancelSeconds <= d.Workers.LeaseSeconds {
		return fieldErrorf("deployment.workers.cancel_s", "must be above lease_s (%g), got %g",
			d.Workers.LeaseSeconds, d.Workers.CancelSeconds)
	}
	for _, amount := range []settingValue[float64]{
		{"deployment.cloud.list_lag_s", d.Cloud.ListLagSeconds},
		{"deployment.resources.core_share", d.Resources.Cores},
		{"deployment.resources.memory_mb", d.Resources.MemoryMB},
		{"deployment.resources.fd_limit", float64(d.Resources.MaxFileDescriptors)},
		{"deployment.clock_off_ms", d.ClockOffsetMillis},
	} {
		if isInvalidAmount(amount.value) {
			return fieldErrorf(amount.path, "must be at least 0, got %g", amount.value)
		}
	}
	return nil
}

// isInvalidAmount reports whether a value is negative or not a finite number.
func isInvalidAmount(v float64) bool { return v < 0 || math.IsNaN(v) || math.IsInf(v, 0) }
