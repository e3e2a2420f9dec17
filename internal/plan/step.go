package plan

import "roadcleat/internal/model"

// Step is one node of a pipeline: equal tasks that start when all inputs have ended.
type Step struct {
	Inputs  []int // indices of the steps that this one depends on
	Tasks   int
	Need    model.Resources // of each task
	RunTime float64         // estimated for an ordinary machine; the paper's comp
	Image   int             // dense index, or -1 for none
	ImageGB float64
	Allowed func(kind int) bool    // machine kinds that may run it; nil: all
	Cost    func(kind int) float64 // seconds added when machines of a kind are compared; nil: none
	Gang    bool                   // all tasks start at the same moment
	StartBy float64                // Spread: tasks start by then or not at all; 0: whenever
}

// allows reports whether a machine may run the step's tasks.
func (s *Step) allows(d *Device) bool { return s.Allowed == nil || s.Allowed(d.Kind) }

// Placement is one task on one device.
type Placement struct {
	Step, Task, Device int
	Start              float64 // when it takes its room, and its image's fetch begins
	Finish             float64
}

// Schedule is a complete placement of a pipeline.
type Schedule struct {
	Placements []Placement
	Finish     float64 // when the last task ends
	Complete   bool    // false if a step fits no machine
}
