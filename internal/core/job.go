package core

import (
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// Job is what this controller knows of an unfinished job.
type Job struct {
	id              string
	spec            model.JobSpec
	state           model.JobState // JobPending while unfinished
	revision        uint64
	arrivalRevision uint64 // the first revision seen, the order of arrival
	split           map[string]records.TaskRanges
	moves           int
	maxRecordBytes  int           // the most it takes in an assignment's record, 0: not computed yet
	knownSince      time.Duration // when it became known here

	// Dense indices of what the spec names; -1 for an unknown team or no image.
	team, class, image int

	fittingTypes   uint64 // machine types that hold a task, a bit each
	fittingTypesOf int    // the number of machine types when that was computed

	holdUntil      time.Duration // no launches before, after a worker refused one
	succeeded      bool          // a task of it has completed
	runTimes       runTimes      // of its completed tasks
	runTimesByHost map[string]runTimes

	failures     int // of its tasks, since it became known here
	failedOn     []failedHost
	failedTrials int           // trials that failed since it became suspect, 0: not suspect
	nextTrialAt  time.Duration // when the next trial may start
}

func (j *Job) key() string { return records.JobKey(j.id) }

// record is the job's record with the state given: empty, or a final one.
func (j *Job) record(state string) *records.Job {
	return &records.Job{Spec: j.spec, State: state, Split: j.split, Moves: j.moves}
}

func (j *Job) encode(state string) []byte { return j.record(state).Encode() }

func (c *Core) newJob(id string, spec model.JobSpec, revision uint64) *Job {
	spec.ID = id
	job := &Job{
		id:              id,
		spec:            spec,
		arrivalRevision: revision,
		knownSince:      c.now,
		team:            c.teams.lookup(spec.Team),
		class:           c.classes.indexOf(spec.Class),
		image:           -1,
	}
	if spec.Image != "" {
		job.image = c.imageIndex(&spec)
	}
	return job
}

// imageIndex is the dense index of a job's image. Its size is the largest that jobs state.
func (c *Core) imageIndex(spec *model.JobSpec) int {
	i := c.images.indexOf(spec.Image)
	for len(c.imageGB) <= i {
		c.imageGB = append(c.imageGB, 0)
	}
	c.imageGB[i] = max(c.imageGB[i], spec.ImageGB)
	return i
}

// allowedOn reports whether a machine of the kind may run the job's tasks.
func (c *Core) allowedOn(job *Job, kind int) bool {
	spot, rest := kind&1 == 1, kind/2
	typ, zone := rest%len(c.types), rest/len(c.types)
	if spot && !job.spec.Spot {
		return false
	}
	if job.spec.Zone != "" && c.zones.names[zone] != job.spec.Zone {
		return false
	}
	if len(job.spec.Types) == 0 {
		return true
	}
	for _, t := range job.spec.Types {
		if c.types[typ].Name == t {
			return true
		}
	}
	return false
}
