// Package plan places a pipeline of dependent steps on machines so that its last task ends as
// early as possible. It is the dynamic programme of section 5 of "DyOrc: Efficient Serving of
// Dynamic Machine Learning Workflows" ("the paper"), changed as docs/design.md says. It is
// pure: it gets the state of the machines and returns a schedule.
//
//   - Solve plans a whole pipeline by algorithm 1: partial schedules are extended step by step,
//     and those that another one outperforms are dropped.
//   - Spread plans a single step of many tasks: each goes to its earliest-finish machine.
//   - Device.earliestFit is equation 1: finish = max(avail, ready) + comp, where avail counts
//     what runs on a machine, what is planned there and the fetch of the image with the
//     fetches queued before it, ready is when the inputs are there, and comp is the run time.
//
// All times are in seconds on one clock of the caller's.
package plan
