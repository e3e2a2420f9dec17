package core

import (
	"maps"
	"slices"

	"roadcleat/internal/model"
)

// maxJobShareOfValue bounds a job's record: an assignment's value holds the job beside its
// tasks.
const maxJobShareOfValue = 4

// whyNeverRuns says why a job can never run, or nothing. The texts name PROTOCOL's fields,
// since users read them.
func (c *Core) whyNeverRuns(spec *model.JobSpec) string {
	team := c.teams.lookup(spec.Team)
	if team < 0 {
		return "unknown team"
	}
	if c.exceedsLimit(spec, c.teamConfigs[team].Limit) {
		return "needs more than the team's limit"
	}
	if spec.OneZone && spec.SpreadZones && spec.Tasks > 1 {
		return "OneZone and Apart: tasks can't be both in one zone and apart"
	}
	value := (&Job{spec: *spec}).encode("")
	if c.cfg.MaxValueBytes > 0 && len(value) > c.cfg.MaxValueBytes/maxJobShareOfValue {
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

// exceedsLimit reports whether what of the job must run at once needs more than the team's
// limit: one task of an array, all tasks of a service or gang.
func (c *Core) exceedsLimit(spec *model.JobSpec, limit model.Resources) bool {
	times := 1.0
	if spec.Service || spec.Gang {
		times = float64(spec.Tasks)
	}
	return limit.Cores > 0 && spec.Need.Cores*times > limit.Cores+1e-6 ||
		limit.GPUs > 0 && spec.Need.GPUs*times > limit.GPUs+1e-6
}

// possibleZones counts the allowed zones with an allowed machine type that holds a task.
func (c *Core) possibleZones(spec *model.JobSpec) int {
	zones := map[string]bool{}
	for i := range c.types {
		t := &c.types[i]
		if !spec.Need.FitsIn(t.Capacity) || len(spec.Types) > 0 && !slices.Contains(spec.Types, t.Name) {
			continue
		}
		for _, zone := range t.Zones {
			zones[zone] = zones[zone] || spec.Zone == "" || spec.Zone == zone
		}
	}
	maps.DeleteFunc(zones, func(_ string, allowed bool) bool { return !allowed })
	return len(zones)
}
