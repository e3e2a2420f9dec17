package core

// nameIndex maps names to dense indices in the order of their first use. The rest of the core then
// compares integers, and uses slices in place of maps. The zero value is empty and ready to use.
type nameIndex struct {
	byName map[string]int
	names  []string
}

// indexOrAdd returns the index of a name, which it adds if it is new.
func (n *nameIndex) indexOrAdd(name string) int {
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

// lookup returns the index of a name, or -1 if the name was not added.
func (n *nameIndex) lookup(name string) int {
	if i, ok := n.byName[name]; ok {
		return i
	}
	return -1
}
