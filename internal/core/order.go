package core

import (
	"cmp"
	"maps"
	"slices"

	"roadcleat/internal/model"
)

// sortedKeys returns a map's keys in ascending order. The core iterates over maps in this order
// because its effects must depend on its events alone, so that any run can be replayed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// sortedTaskIDs returns a map's task IDs in ascending order, by job and then by index.
func sortedTaskIDs[V any](m map[model.TaskID]V) []model.TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b model.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// sortedHosts returns the shard's hosts in order of their names. The slice is kept sorted as hosts are
// added and removed, because it is read far more often than it changes. The caller must not modify
// it.
func (s *Shard) sortedHosts() []*Host { return s.hostsByName }

// addHost adds a host to the shard.
func (s *Shard) addHost(host *Host) {
	s.hosts[host.name] = host
	i, _ := slices.BinarySearchFunc(s.hostsByName, host.name, compareHostName)
	s.hostsByName = slices.Insert(s.hostsByName, i, host)
}

// removeHost removes a host from the shard. It does nothing if the shard has another host, or none,
// of that name.
func (s *Shard) removeHost(host *Host) {
	if s.hosts[host.name] != host {
		return
	}
	delete(s.hosts, host.name)
	if i, found := slices.BinarySearchFunc(s.hostsByName, host.name, compareHostName); found {
		s.hostsByName = slices.Delete(s.hostsByName, i, i+1)
	}
}

func compareHostName(h *Host, name string) int { return cmp.Compare(h.name, name) }
