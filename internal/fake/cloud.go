package fake

import (
	"fmt"
	"sort"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

const (
	// defaultMachinesPerKind is how many machines of each type, zone and kind (spot or on-demand)
	// can be rented by default.
	defaultMachinesPerKind = 2
	// failedStateDelay is how long a terminated machine is still listed as running. After
	// that it is listed as failed.
	failedStateDelay = 30 * time.Second
	// A machine's boot time is that of its type times a factor uniformly distributed from
	// minBootFactor to minBootFactor+bootFactorSpread.
	minBootFactor    = 0.6
	bootFactorSpread = 0.9
)

// Cloud is the simulated cloud, which rents machines to the controllers.
type Cloud struct {
	simulation        *Simulation
	MachineTypes      []model.MachineType // the catalog
	AvailableMachines map[string]int      // how many machines can still be rented, by machineKindKey
	outageUntil       time.Duration       // all calls are refused until then
	machinesByRental  map[string][]string // names of the machines of each rental, by its name
	nextMachineNumber int                 // the number in the name of the machine rented next
	// RentalDelay, if set, returns the delay after which a rental is executed without a
	// reply, or 0 to execute it at once and reply.
	RentalDelay func(op core.RentHosts) time.Duration
	// BootSeconds, if set, returns each machine's boot time in seconds in place of that of its
	// type. A machine with a negative boot time never starts its worker process.
	BootSeconds func(name string) float64
}

// newCloud returns a cloud with the default machine types.
func newCloud(sim *Simulation) *Cloud {
	c := &Cloud{simulation: sim, machinesByRental: map[string][]string{}}
	c.setMachineTypes(defaultMachineTypes(false))
	return c
}

// setMachineTypes replaces the machine types that the cloud rents, with the default number of
// machines of each kind. Types that name no zones are available in all.
func (c *Cloud) setMachineTypes(types []model.MachineType) {
	c.MachineTypes, c.AvailableMachines = nil, map[string]int{}
	for _, t := range types {
		if len(t.Zones) == 0 {
			t.Zones = c.simulation.Cfg.Zones
		}
		c.MachineTypes = append(c.MachineTypes, t)
		for _, zone := range t.Zones {
			c.AvailableMachines[machineKindKey(t.Name, zone, true)] = defaultMachinesPerKind
			c.AvailableMachines[machineKindKey(t.Name, zone, false)] = defaultMachinesPerKind
		}
	}
}

// machineKindKey returns the key of Cloud.AvailableMachines for a machine type, zone and kind.
func machineKindKey(typeName, zone string, spot bool) string {
	return fmt.Sprint(typeName, "/", zone, "/", spot)
}

// StartOutage makes the cloud refuse all calls for d.
func (c *Cloud) StartOutage(d time.Duration) {
	c.simulation.extendFaultPeriod(d)
	c.outageUntil = c.simulation.Now + d
}

// isUnavailable reports whether an outage is in progress.
func (c *Cloud) isUnavailable() bool { return c.simulation.Now < c.outageUntil }

// handleCatalog replies with the catalog of machine types.
func (c *Cloud) handleCatalog(reply func(core.Result)) {
	if c.isUnavailable() {
		reply(core.CatalogResult{Outcome: core.OutcomeNotSent})
		return
	}
	reply(core.CatalogResult{Outcome: core.OutcomeOK, Types: c.MachineTypes})
}

// handleRent executes a rental and replies, or executes it late without a reply.
func (c *Cloud) handleRent(op core.RentHosts, reply func(core.Result)) {
	if c.isUnavailable() {
		reply(core.RentResult{Outcome: core.OutcomeNotSent})
		return
	}
	if c.RentalDelay != nil {
		if delay := c.RentalDelay(op); delay > 0 {
			c.simulation.After(delay, func() { c.rent(op) })
			return
		}
	}
	reply(c.rent(op))
}

// rent rents at most the requested number of machines, or refuses if none is available. A
// rental is identified by its name: a repeated one returns the machines of the first.
func (c *Cloud) rent(op core.RentHosts) core.RentResult {
	if names, exists := c.machinesByRental[op.Name]; exists {
		return core.RentResult{Outcome: core.OutcomeOK, Hosts: names}
	}
	key := machineKindKey(op.Type, op.Zone, op.Spot)
	count := min(op.Count, c.AvailableMachines[key])
	if count <= 0 {
		return core.RentResult{Outcome: core.OutcomeRefused}
	}
	c.AvailableMachines[key] -= count
	var names []string
	for range count {
		names = append(names, c.addMachine(op.Type, op.Zone, op.Spot))
	}
	c.machinesByRental[op.Name] = names
	return core.RentResult{Outcome: core.OutcomeOK, Hosts: names}
}

// addMachine creates a machine, schedules the start of its worker process at the end of its
// boot time, and returns its name.
func (c *Cloud) addMachine(typeName, zone string, spot bool) string {
	name := fmt.Sprintf("vm-%06d", c.nextMachineNumber)
	c.nextMachineNumber++
	worker := newWorker(c.simulation, name, typeName, zone, spot)
	c.simulation.Workers[name] = worker
	var bootSeconds float64
	for _, t := range c.MachineTypes {
		if t.Name == typeName {
			bootSeconds = t.BootSeconds * (minBootFactor + bootFactorSpread*c.simulation.Rand.Float64())
		}
	}
	if c.BootSeconds != nil {
		bootSeconds = c.BootSeconds(name)
	}
	if bootSeconds >= 0 {
		c.simulation.After(secondsToDuration(bootSeconds), worker.startProcess)
	}
	return name
}

// handleReturn removes the named machines.
func (c *Cloud) handleReturn(names []string, reply func(core.Result)) {
	if c.isUnavailable() {
		reply(core.ReturnResult{Outcome: core.OutcomeNotSent})
		return
	}
	for _, name := range names {
		c.RemoveMachine(name)
	}
	reply(core.ReturnResult{Outcome: core.OutcomeOK})
}

// RemoveMachine terminates a machine and removes it from the cloud, which makes its capacity
// available again. It does nothing if there is no such machine or it was removed before.
func (c *Cloud) RemoveMachine(name string) {
	worker := c.simulation.Workers[name]
	if worker == nil || worker.removedFromCloud {
		return
	}
	worker.removedFromCloud = true
	worker.Terminate()
	c.AvailableMachines[machineKindKey(worker.typeName, worker.zone, worker.spot)]++
}

// handleList replies with the machines ordered by name. Rentals and removals appear in the
// list only after Config.HostListLag.
func (c *Cloud) handleList(reply func(core.Result)) {
	if c.isUnavailable() {
		reply(core.HostsResult{Outcome: core.OutcomeNotSent})
		return
	}
	res := core.HostsResult{Outcome: core.OutcomeOK}
	listedAt := c.simulation.Now - c.simulation.Cfg.HostListLag
	for _, worker := range c.simulation.Workers {
		if worker.rentedAt > listedAt || worker.removedFromCloud && worker.terminatedAt < listedAt {
			continue
		}
		res.Hosts = append(res.Hosts, c.listedHost(worker))
	}
	sort.Slice(res.Hosts, func(i, j int) bool { return res.Hosts[i].Name < res.Hosts[j].Name })
	reply(res)
}

// listedHost returns a machine's entry in the cloud's list.
func (c *Cloud) listedHost(worker *Worker) model.ListedHost {
	host := model.ListedHost{
		Name: worker.name, Type: worker.typeName, Zone: worker.zone, Spot: worker.spot, State: "running",
		RentedSeconds: (c.simulation.Now - worker.rentedAt).Seconds(),
	}
	if worker.processStarted {
		host.Address = worker.name
	}
	switch {
	case !worker.processStarted:
		host.State = "booting"
	case worker.terminated && worker.terminatedAt < c.simulation.Now-failedStateDelay:
		host.State = "failed"
	}
	return host
}
