package config

import (
	"fmt"
	"math"
	"net"
)

// FieldError says which field of the platform's settings is wrong, and why.
type FieldError struct {
	Field   string // its path in the file
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// field is a field with its path, for checks that many fields share.
type field[T any] struct {
	path  string
	value T
}

// minTxnOps is how many changes the transaction has that moves a task to another shard.
const minTxnOps = 3

// check finds the first field that is wrong.
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

func (s *Settings) checkControllers() error {
	if s.Label == "" {
		return fieldErrorf("label", "must not be empty")
	}
	seen := map[string]bool{s.Label: true}
	for i, other := range s.Others {
		if other.Label == "" || seen[other.Label] {
			return fieldErrorf(fmt.Sprintf("others[%d].label", i), "missing or not unique")
		}
		seen[other.Label] = true
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	addresses := []field[string]{
		{"api_addr", s.APIAddr},
		{"peer_listen", s.PeerListen},
		{"external.cloud", s.External.Cloud},
		{"external.state", s.External.State},
	}
	for i, other := range s.Others {
		addresses = append(addresses, field[string]{fmt.Sprintf("others[%d].peer_addr", i), other.PeerAddr})
	}
	for _, addr := range addresses {
		if _, _, err := net.SplitHostPort(addr.value); err != nil {
			return fieldErrorf(addr.path, "%q is not HOST:PORT", addr.value)
		}
	}
	return nil
}

func (d *Deployment) checkZones() error {
	if len(d.Zones) == 0 {
		return fieldErrorf("deployment.zones", "at least one zone is needed")
	}
	seen := map[string]bool{}
	for i, zone := range d.Zones {
		if zone == "" || seen[zone] {
			return fieldErrorf(fmt.Sprintf("deployment.zones[%d]", i), "missing or not unique")
		}
		seen[zone] = true
	}
	return nil
}

func (d *Deployment) checkTeams() error {
	seen := map[string]bool{}
	for i, team := range d.Teams {
		path := fmt.Sprintf("deployment.teams[%d]", i)
		if team.Name == "" || seen[team.Name] {
			return fieldErrorf(path+".name", "missing or not unique")
		}
		if err := team.check(path); err != nil {
			return err
		}
		seen[team.Name] = true
	}
	return nil
}

func (t *Team) check(path string) error {
	for _, amount := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
		if badAmount(amount) {
			return fieldErrorf(path, "amounts must not be negative")
		}
	}
	if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
		return fieldErrorf(path+".cpus", "guarantee %g is above cpus_max %g", t.CPUs, t.CPUsMax)
	}
	if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
		return fieldErrorf(path+".gpus", "guarantee %g is above gpus_max %g", t.GPUs, t.GPUsMax)
	}
	return nil
}

func (d *Deployment) checkAmounts() error {
	for _, amount := range []field[float64]{
		{"deployment.workers.report_s", d.Workers.HeartbeatSeconds},
		{"deployment.workers.lease_s", d.Workers.LeaseSeconds},
		{"deployment.workers.cancel_s", d.Workers.CancelSeconds},
		{"deployment.state.rps", d.State.RPS},
		{"deployment.state.write_rps", d.State.WriteRPS},
		{"deployment.state.value_kb", d.State.ValueKB},
		{"deployment.state.txn_ops", float64(d.State.TxnOps)},
		{"deployment.cloud.rps", d.Cloud.RPS},
	} {
		if badAmount(amount.value) || amount.value == 0 {
			return fieldErrorf(amount.path, "must be above zero")
		}
	}
	if d.State.TxnOps < minTxnOps {
		return fieldErrorf("deployment.state.txn_ops", "%d is too few, at least %d are needed", d.State.TxnOps, minTxnOps)
	}
	if d.Workers.CancelSeconds <= d.Workers.LeaseSeconds {
		return fieldErrorf("deployment.workers.cancel_s", "must be above lease_s")
	}
	for _, amount := range []field[float64]{
		{"deployment.cloud.list_lag_s", d.Cloud.ListLagSeconds},
		{"deployment.resources.core_share", d.Resources.CoreShare},
		{"deployment.resources.memory_mb", d.Resources.MemoryMB},
		{"deployment.resources.fd_limit", float64(d.Resources.FDLimit)},
		{"deployment.clock_off_ms", d.ClockOffsetMillis},
	} {
		if badAmount(amount.value) {
			return fieldErrorf(amount.path, "must not be negative")
		}
	}
	return nil
}

func badAmount(v float64) bool { return v < 0 || math.IsNaN(v) || math.IsInf(v, 0) }
