package records

import "sort"

// TaskRanges is a set of task numbers as sorted, disjoint, half-open ranges. A
// job of 100,000 tasks stays a few numbers long.
type TaskRanges [][2]int

// Count is how many numbers are in the set.
func (r TaskRanges) Count() int {
	n := 0
	for _, x := range r {
		n += x[1] - x[0]
	}
	return n
}

// find returns the position of the first range that ends after i.
func (r TaskRanges) find(i int) int {
	return sort.Search(len(r), func(k int) bool { return r[k][1] > i })
}

// Has reports whether a number is in the set.
func (r TaskRanges) Has(i int) bool {
	k := r.find(i)
	return k < len(r) && r[k][0] <= i
}

// Add adds a number; one that is there already changes nothing.
func (r *TaskRanges) Add(i int) {
	if r.Has(i) {
		return
	}
	k := r.find(i)
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

// Remove removes a number; one that is not there changes nothing.
func (r *TaskRanges) Remove(i int) {
	if !r.Has(i) {
		return
	}
	k := r.find(i)
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

// First lists up to n members, lowest first.
// First lists up to n numbers, lowest first.
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

// Clone copies the set.
func (r TaskRanges) Clone() TaskRanges { return append(TaskRanges(nil), r...) }
