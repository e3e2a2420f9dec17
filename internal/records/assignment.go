package records

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
)

// Assignment is the record of a shard's share of a job in the state service. Every task of the
// share is waiting, done or placed.
type Assignment struct {
	Waiting     TaskRanges `json:"w,omitempty"`
	Done        TaskRanges `json:"d,omitempty"`
	Placed      Placements `json:"p,omitempty"`
	LastAttempt uint64     `json:"n,omitempty"` // highest attempt number assigned so far
	// Job is the job when the assignment was written, and JobRevision its revision, or 0 if one
	// transaction wrote both keys. With it, a new owner only compares revisions, many per
	// request, instead of reading every job.
	Job         *Job   `json:"j,omitempty"`
	JobRevision uint64 `json:"k,omitempty"`
	// FailedTrials is the job's number of failed trial runs while it is suspect. With it, a new
	// owner need not start all tasks of a suspect job again to find that they fail.
	FailedTrials int `json:"f,omitempty"`
}

// Format is the encoding of an assignment's placed tasks. All controllers read both formats.
// They write the newer one only while all peers state in gossip that they read it, since a
// version that reads only the older format cannot decode an object where it expects a list.
type Format int

// Formats of an assignment's value, oldest first.
const (
	FormatListed  Format = iota // one entry per placed task
	FormatGrouped               // placed tasks grouped by host, as runs of consecutive tasks
)

// Placement is a task that is recorded as placed on a host. The worker may not have started it
// yet.
type Placement struct {
	Index   int    `json:"i"`
	Host    string `json:"h"`
	Attempt uint64 `json:"a"`
}

// Placements are an assignment's placed tasks, in the order of their indices.
type Placements []Placement

// placementRun is a run of tasks on one host with consecutive indices and consecutive attempt
// numbers: the first index, the number of tasks, and the first attempt number.
type placementRun [3]uint64

// grouped returns the placements as runs by host.
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

// UnmarshalJSON decodes either format.
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

// Encode returns the assignment's value in the given format. If it would exceed maxBytes in the
// listed format, it is written in the grouped format: such an assignment was filled while all
// controllers read that format.
func (a *Assignment) Encode(format Format, maxBytes int) []byte {
	if len(a.Placed) == 0 || format == FormatListed {
		if value, _ := json.Marshal(a); len(a.Placed) == 0 || len(value) <= maxBytes {
			return value
		}
	}
	value, _ := json.Marshal(struct { // cannot fail: numbers and strings only
		*Assignment
		Placed map[string][]placementRun `json:"p"`
	}{a, a.Placed.grouped()})
	return value
}

// DecodeAssignment decodes an assignment's value in either format.
func DecodeAssignment(value []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(value, &a); err != nil {
		return Assignment{}, &UnreadableError{Record: "assignment", Err: err}
	}
	return a, nil
}
