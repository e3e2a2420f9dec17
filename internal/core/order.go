package core

import (
	"cmp"
	"maps"
	"slices"

	"roadcleat/internal/model"
)

// sorted lists a map's keys in order: what the core does must depend on its events alone, so
// that any run can be replayed.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func sortedTasks[V any](m map[model.TaskID]V) []model.TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b model.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// hostList lists a shard's machines by name. The list is kept in order as machines come and go:
// it is read far more often than it changes.
func (s *Shard) hostList() []*Host { return s.hostsByName }

func (s *Shard) addHost(host *Host) {
	s.hosts[host.name] = host
	i, _ := slices.BinarySearchFunc(s.hostsByName, host.name, compareHostName)
	s.hostsByName = slices.Insert(s.hostsByName, i, host)
}

func (s *Shard) dropHost(host *Host) {
	if s.hosts[host.name] != host {
		return
	}
	delete(s.hosts, host.name)
	if i, found := slices.BinarySearchFunc(s.hostsByName, host.name, compareHostName); found {
		s.hostsByName = slices.Delete(s.hostsByName, i, i+1)
	}
}

func compareHostName(h *Host, name string) int { return cmp.Compare(h.name, name) }
