package core

import (
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// Job is an unfinished job as this controller has observed it.
type Job struct {
	id              string
	spec            model.JobSpec
	state           model.JobState                // JobPending while unfinished
	revision        uint64                        // of the job's record in the state service
	arrivalRevision uint64                        // the first revision observed; orders jobs by arrival
	rangesByZone    map[string]records.TaskRanges // first distribution of the tasks, by zone
	moveCount       int                           // number of times that tasks have moved between shards
	maxRecordBytes  int                           // maximum size of the job in an assignment's record, 0: not computed yet
	firstSeenAt     time.Duration                 // when this controller first observed it

	// Dense indices of the names in the specification. The team is -1 if the settings do not name
	// it, the image -1 if there is none.
	team, class, image int

	fittingTypes      uint64 // set of the machine types that can run a task, 0: not computed
	fittingTypesCount int    // number of machine types when fittingTypes was computed

	launchesHeldUntil time.Duration            // no task is launched before this time; set after a refused launch or a failed task
	hasCompletedTask  bool                     // at least one of its tasks has completed
	runTimes          runTimeLogSum            // run times of its completed tasks
	runTimesByHost    map[string]runTimeLogSum // run times of its completed tasks by host name

	failures     int           // number of failed tasks since this controller first observed the job
	failedHosts  []failedHost  // machines on which tasks failed, for suspect jobs and placement
	failedTrials int           // failed trials since it became a suspect job, 0: not suspect
	nextTrialAt  time.Duration // when the next trial of a suspect job may start
}

func (j *Job) key() string { return records.JobKey(j.id) }

// record returns the job's record with the given state: empty while the job is unfinished, or a
// final state.
func (j *Job) record(state string) *records.Job {
	return &records.Job{Spec: j.spec, State: state, Split: j.rangesByZone, Moves: j.moveCount}
}

func (j *Job) encode(state string) []byte { return j.record(state).Encode() }

// newJob returns an unfinished job that was first observed at the given revision.
func (c *Core) newJob(id string, spec model.JobSpec, revision uint64) *Job {
	spec.ID = id
	job := &Job{
		id:              id,
		spec:            spec,
		arrivalRevision: revision,
		firstSeenAt:     c.now,
		team:            c.teams.lookup(spec.Team),
		class:           c.classes.indexOrAdd(spec.Class),
		image:           -1,
	}
	if spec.Image != "" {
		job.image = c.imageIndexOrAdd(&spec)
	}
	return job
}

// imageIndexOrAdd returns the dense index of a job's image, which it adds if it is new. The image's
// size is the largest that any job has stated.
func (c *Core) imageIndexOrAdd(spec *model.JobSpec) int {
	index := c.images.indexOrAdd(spec.Image)
	for len(c.imageGB) <= index {
		c.imageGB = append(c.imageGB, 0)
	}
	c.imageGB[index] = max(c.imageGB[index], spec.ImageGB)
	return index
}

// mayRunOn reports whether the job's specification allows its tasks on a kind of machine, see
// zoneKindIndex. It does not check whether a task fits.
func (c *Core) mayRunOn(job *Job, kindIndex int) bool {
	spot, rest := kindIndex&1 == 1, kindIndex/2
	typeIndex, zoneIndex := rest%len(c.machineTypes), rest/len(c.machineTypes)
	if spot && !job.spec.Spot {
		return false
	}
	if job.spec.Zone != "" && c.zones.names[zoneIndex] != job.spec.Zone {
		return false
	}
	if len(job.spec.Types) == 0 {
		return true
	}
	for _, name := range job.spec.Types {
		if c.machineTypes[typeIndex].Name == name {
			return true
		}
	}
	return false
}
