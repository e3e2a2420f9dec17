package core

// nameIndex maps names to dense indices, so that the rest of the core compares numbers and
// keeps lists in place of maps. The zero value is empty.
type nameIndex struct {
	byName map[string]int
	names  []string
}

// indexOf is the index of a name, a new one for a new name.
func (n *nameIndex) indexOf(name string) int {
	if i, ok := n.byName[name]; ok {
		return i
	}
	if n.byName == nil {
		n.byName = map[string]int{}
	}
	i := len(n.names)
	n.byName[name] = i
	n.names = append(n.names, name)
	return i
}

// lookup is the index of a name that was seen before, or -1.
func (n *nameIndex) lookup(name string) int {
	if i, ok := n.byName[name]; ok {
		return i
	}
	return -1
}
