package records

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
)

// Assignment is a shard's share of a job as the state service holds it: every task of it is
// waiting, done or placed.
type Assignment struct {
	Waiting     TaskRanges `json:"w,omitempty"`
	Done        TaskRanges `json:"d,omitempty"`
	Placed      Placements `json:"p,omitempty"`
	LastAttempt uint64     `json:"n,omitempty"`
	// Job is the job as it was when the assignment was written, and JobRevision its
	// revision; 0 if both keys were written by the same transaction. A new owner then only
	// has to compare revisions, many at a time, where it would have to read every job.
	Job         *Job   `json:"j,omitempty"`
	JobRevision uint64 `json:"k,omitempty"`
	// FailedTrials says for how long the job has been failing on every machine: a new owner
	// need not find that out by starting all of it once more.
	FailedTrials int `json:"f,omitempty"`
}

// Format is a form of an assignment's value. Controllers read both; they write the newer
// one only while all others say in gossip that they read it, since a version that knows the
// older form alone finds an object where it wants a list.
type Format int

// Formats of an assignment's value.
const (
	FormatListed  Format = iota // each placed task is an entry of its own
	FormatGrouped               // placed tasks are grouped by machine, as runs
)

// Placement is a task on a machine, or on the way there, as the state service has it.
type Placement struct {
	Index   int    `json:"i"`
	Host    string `json:"h"`
	Attempt uint64 `json:"a"`
}

// Placements are an assignment's placed tasks, by number.
type Placements []Placement

// placementRun is tasks on one machine: the first, how many follow one another, and the
// attempt of the first; those of the others follow it.
type placementRun [3]uint64

// grouped gives the tasks by machine.
func (p Placements) grouped() map[string][]placementRun {
	out := map[string][]placementRun{}
	for _, t := range p {
		runs := out[t.Host]
		if n := len(runs); n > 0 {
			if r := &runs[n-1]; uint64(t.Index) == r[0]+r[1] && t.Attempt == r[2]+r[1] {
				r[1]++
				continue
			}
		}
		out[t.Host] = append(runs, placementRun{uint64(t.Index), 1, t.Attempt})
	}
	return out
}

// UnmarshalJSON reads either format.
func (p *Placements) UnmarshalJSON(b []byte) error {
	if bytes.HasPrefix(b, []byte("[")) {
		return json.Unmarshal(b, (*[]Placement)(p))
	}
	var byHost map[string][]placementRun
	if err := json.Unmarshal(b, &byHost); err != nil {
		return err
	}
	*p = nil
	for host, runs := range byHost {
		for _, r := range runs {
			for k := range r[1] {
				*p = append(*p, Placement{Index: int(r[0] + k), Host: host, Attempt: r[2] + k})
			}
		}
	}
	slices.SortFunc(*p, func(a, b Placement) int { return cmp.Compare(a.Index, b.Index) })
	return nil
}

// Encode is the assignment's value in the format given. One that outgrew maxBytes in the
// listed format, written while all controllers read grouped ones, stays grouped.
func (a *Assignment) Encode(format Format, maxBytes int) []byte {
	if len(a.Placed) == 0 || format == FormatListed {
		if value, _ := json.Marshal(a); len(a.Placed) == 0 || len(value) <= maxBytes {
			return value
		}
	}
	value, _ := json.Marshal(struct { // numbers and strings cannot fail
		*Assignment
		Placed map[string][]placementRun `json:"p"`
	}{a, a.Placed.grouped()})
	return value
}

// DecodeAssignment reads an assignment's value in either format.
func DecodeAssignment(value []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(value, &a); err != nil {
		return Assignment{}, &UnreadableError{Record: "assignment", Err: err}
	}
	return a, nil
}
