package core

// nameIndex maps names to dense indices at the door.
type nameIndex struct {
	byName map[string]int
	names  []string
}

func (n *nameIndex) indexOf(s string) int {
	if i, ok := n.byName[s]; ok {
		return i
	}
	if n.byName == nil {
		n.byName = map[string]int{}
	}
	i := len(n.names)
	n.byName[s] = i
	n.names = append(n.names, s)
	return i
}

// lookup returns the index of a name met before, or -1.
func (n *nameIndex) lookup(s string) int {
	if i, ok := n.byName[s]; ok {
		return i
	}
	return -1
}
