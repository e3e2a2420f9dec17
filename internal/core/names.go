package core

// names maps names to dense indices at the door.
type names struct {
	index map[string]int
	list  []string
}

func (n *names) of(s string) int {
	if i, ok := n.index[s]; ok {
		return i
	}
	if n.index == nil {
		n.index = map[string]int{}
	}
	i := len(n.list)
	n.index[s] = i
	n.list = append(n.list, s)
	return i
}

// known returns the index of a name met before, or -1.
func (n *names) known(s string) int {
	if i, ok := n.index[s]; ok {
		return i
	}
	return -1
}
