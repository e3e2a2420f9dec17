package records

import "sort"

// TaskRanges is a set of task indices as sorted, disjoint, half-open ranges. A job of 100,000
// consecutive tasks takes one range.
type TaskRanges [][2]int

// Count returns the number of indices in the set.
func (r TaskRanges) Count() int {
	n := 0
	for _, x := range r {
		n += x[1] - x[0]
	}
	return n
}

// firstEndingAfter returns the position of the first range that ends after index i.
func (r TaskRanges) firstEndingAfter(i int) int {
	return sort.Search(len(r), func(k int) bool { return r[k][1] > i })
}

// Has reports whether the index is in the set.
func (r TaskRanges) Has(i int) bool {
	k := r.firstEndingAfter(i)
	return k < len(r) && r[k][0] <= i
}

// Add adds an index. It does nothing if the index is in the set already.
func (r *TaskRanges) Add(i int) {
	if r.Has(i) {
		return
	}
	k := r.firstEndingAfter(i)
	left := k > 0 && (*r)[k-1][1] == i
	right := k < len(*r) && (*r)[k][0] == i+1
	switch {
	case left && right:
		(*r)[k-1][1] = (*r)[k][1]
		*r = append((*r)[:k], (*r)[k+1:]...)
	case left:
		(*r)[k-1][1]++
	case right:
		(*r)[k][0]--
	default:
		*r = append(*r, [2]int{})
		copy((*r)[k+1:], (*r)[k:])
		(*r)[k] = [2]int{i, i + 1}
	}
}

// Remove removes an index. It does nothing if the index is not in the set.
func (r *TaskRanges) Remove(i int) {
	if !r.Has(i) {
		return
	}
	k := r.firstEndingAfter(i)
	x := (*r)[k]
	switch {
	case x[1]-x[0] == 1:
		*r = append((*r)[:k], (*r)[k+1:]...)
	case x[0] == i:
		(*r)[k][0]++
	case x[1] == i+1:
		(*r)[k][1]--
	default:
		*r = append(*r, [2]int{})
		copy((*r)[k+2:], (*r)[k+1:])
		(*r)[k] = [2]int{x[0], i}
		(*r)[k+1] = [2]int{i + 1, x[1]}
	}
}

// First returns up to n indices of the set, lowest first.
func (r TaskRanges) First(n int) []int {
	var out []int
	for _, x := range r {
		for i := x[0]; i < x[1]; i++ {
			if len(out) == n {
				return out
			}
			out = append(out, i)
		}
	}
	return out
}

// Clone returns a copy of the set.
func (r TaskRanges) Clone() TaskRanges { return append(TaskRanges(nil), r...) }
