package core

import "sort"

// taskRanges is a set of task numbers as sorted, disjoint, half-open ranges. A
// job of 100,000 tasks stays a few numbers long.
type taskRanges [][2]int

func (r taskRanges) count() int {
	n := 0
	for _, x := range r {
		n += x[1] - x[0]
	}
	return n
}

// find returns the position of the first range that ends after i.
func (r taskRanges) find(i int) int {
	return sort.Search(len(r), func(k int) bool { return r[k][1] > i })
}

func (r taskRanges) has(i int) bool {
	k := r.find(i)
	return k < len(r) && r[k][0] <= i
}

func (r *taskRanges) add(i int) {
	if r.has(i) {
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

func (r *taskRanges) remove(i int) {
	if !r.has(i) {
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

// first lists up to n members, lowest first.
func (r taskRanges) first(n int) []int {
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

func (r taskRanges) clone() taskRanges { return append(taskRanges(nil), r...) }
