// Package plan schedules a pipeline of dependent steps on a set of machines so that its last task
// finishes as early as possible. It implements the dynamic programme of section 5 of "DyOrc:
// Efficient Serving of Dynamic Machine Learning Workflows" ("the paper"), with the changes listed
// in docs/design.md. The package performs no I/O and reads no clock: the caller passes the state
// of the machines and gets a schedule.
//
//   - Solve schedules a whole pipeline by algorithm 1: partial schedules are extended step by
//     step, and dominated ones are pruned.
//   - PlaceTasks schedules a single step of many tasks: each task goes to the machine on which it
//     finishes earliest.
//   - Device.earliestFit is equation 1: finish = max(avail, ready) + comp. avail is the time from
//     which the machine can run the task, given its running and planned tasks and the image
//     fetches queued before that of the task's own image. ready is when the inputs are available,
//     and comp is the run time.
//
// All times are in seconds on a clock chosen by the caller.
package plan
