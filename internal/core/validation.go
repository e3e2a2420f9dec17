package core

import (
	"maps"
	"slices"

	"roadcleat/internal/model"
)

// maxJobValueDivisor limits a job's record to this fraction of the value size limit, because an
// assignment's value holds the job as well as its tasks.
const maxJobValueDivisor = 4

// infeasibilityReason returns why a job can never run, or an empty string. The texts use
// PROTOCOL's field names because they are shown to users.
func (c *Core) infeasibilityReason(spec *model.JobSpec) string {
	team := c.teams.lookup(spec.Team)
	if team < 0 {
		return "unknown team"
	}
	if c.exceedsTeamLimit(spec, c.teamConfigs[team].Limit) {
		return "needs more than the team's limit"
	}
	if spec.OneZone && spec.SpreadZones && spec.Tasks > 1 {
		return "OneZone and Apart: tasks can't be both in one zone and apart"
	}
	value := (&Job{spec: *spec}).encode("")
	if c.cfg.MaxValueBytes > 0 && len(value) > c.cfg.MaxValueBytes/maxJobValueDivisor {
		return "names too long to be kept"
	}
	switch zones := c.possibleZones(spec); {
	case zones == 0:
		return "no allowed machine type holds a task in a zone that is allowed"
	case zones == 1 && spec.SpreadZones && spec.Tasks > 1:
		return "Apart: tasks must be apart but can run in one zone only"
	}
	return ""
}

// exceedsTeamLimit reports whether the tasks that must run at the same time need more than the
// team's limit: one task of a job array, all tasks of a service or gang.
func (c *Core) exceedsTeamLimit(spec *model.JobSpec, limit model.Resources) bool {
	times := 1.0
	if spec.Service || spec.Gang {
		times = float64(spec.Tasks)
	}
	return limit.Cores > 0 && spec.TaskResources.Cores*times > limit.Cores+amountTolerance ||
		limit.GPUs > 0 && spec.TaskResources.GPUs*times > limit.GPUs+amountTolerance
}

// possibleZones returns the number of allowed zones in which an allowed machine type can hold
// one task.
func (c *Core) possibleZones(spec *model.JobSpec) int {
	zones := map[string]bool{}
	for i := range c.machineTypes {
		t := &c.machineTypes[i]
		if !spec.TaskResources.FitsIn(t.Capacity) || len(spec.Types) > 0 && !slices.Contains(spec.Types, t.Name) {
			continue
		}
		for _, zone := range t.Zones {
			zones[zone] = zones[zone] || spec.Zone == "" || spec.Zone == zone
		}
	}
	maps.DeleteFunc(zones, func(_ string, allowed bool) bool { return !allowed })
	return len(zones)
}
