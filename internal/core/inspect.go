package core

import "encoding/json"

// CountPlaced says how many tasks have a machine in a slice's value, for those who watch the
// store. It is 0 for a value that can't be read.
func CountPlaced(value []byte) int {
	var v assignmentRecord
	if json.Unmarshal(value, &v) != nil {
		return 0
	}
	return len(v.Placed)
}
