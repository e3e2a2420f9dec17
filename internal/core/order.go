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

// hostList lists a part's machines by name. The list is kept in order as
// machines come and go: it is gone through far more often than it changes.
func (p *part) hostList() []*host { return p.order }

func (p *part) addHost(h *host) {
	p.hosts[h.name] = h
	i, _ := slices.BinarySearchFunc(p.order, h.name, byName)
	p.order = slices.Insert(p.order, i, h)
}

func (p *part) dropHost(h *host) {
	if p.hosts[h.name] != h {
		return
	}
	delete(p.hosts, h.name)
	if i, found := slices.BinarySearchFunc(p.order, h.name, byName); found {
		p.order = slices.Delete(p.order, i, i+1)
	}
}

func byName(h *host, name string) int { return cmp.Compare(h.name, name) }
