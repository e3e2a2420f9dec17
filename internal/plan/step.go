package plan

import "roadcleat/internal/model"

// Step is one node of a pipeline: a number of equal tasks that start when all inputs have
// finished.
type Step struct {
	Inputs      []int                  // indices of the steps that must finish first
	Tasks       int                    // number of equal tasks
	Need        model.Resources        // resources of each task
	RunSeconds  float64                // estimated run time on a machine of normal speed; comp in equation 1
	Image       int                    // dense index of the container image, or -1 for none
	ImageGB     float64                // size of the image
	Allowed     func(kind int) bool    // whether machines of a kind (Device.Kind) may run the tasks; nil: all may
	CostSeconds func(kind int) float64 // seconds added to the finish time when machines are compared; nil: none
	Gang        bool                   // all tasks start at the same time
	LatestStart float64                // PlaceTasks places no task that would start later; 0: no limit
}

// isAllowedOn reports whether a machine may run the step's tasks.
func (s *Step) isAllowedOn(d *Device) bool { return s.Allowed == nil || s.Allowed(d.Kind) }

// Placement is one task of a step scheduled on one device; all three are given by index.
type Placement struct {
	Step, Task, Device int
	Start              float64 // when its resources are allocated and the fetch of its image may begin
	Finish             float64 // when the task ends
}

// Schedule is the result of Solve.
type Schedule struct {
	Placements []Placement
	Finish     float64 // when the last task finishes
	Complete   bool    // false if there is no schedule, as when a step fits on no machine
}
