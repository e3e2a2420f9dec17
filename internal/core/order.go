package core

import (
	"cmp"
	"maps"
	"slices"
)

// sorted lists a map's keys in order: what the core does must depend on its
// events alone, so that any run can be played again.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func sortedTasks[V any](m map[TaskID]V) []TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// hostList lists a part's machines by name.
func (p *part) hostList() []*host {
	out := make([]*host, 0, len(p.hosts))
	for _, name := range sorted(p.hosts) {
		out = append(out, p.hosts[name])
	}
	return out
}
