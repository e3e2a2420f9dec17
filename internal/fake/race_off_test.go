//go:build !race

package fake

// raceEnabled says whether the race detector is on.
const raceEnabled = false
