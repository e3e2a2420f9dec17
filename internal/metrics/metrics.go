// Package metrics exposes the metrics of a controller in the Prometheus format. The names of
// metrics and labels are part of the controller's interface, since operators' graphs and alerts
// depend on them. testdata/page-b103dfb.txt records them, and a test compares against it.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"roadcleat/internal/core"
)

// Set contains the metrics that are recorded as events occur. Handler adds those that are read
// from the core at each request for the metrics page.
type Set struct {
	PlanningSeconds prometheus.Histogram // time to plan and decide after a batch of commands, in seconds
	histograms      map[core.Metric]prometheus.Histogram
	callsTotal      *prometheus.CounterVec
	registry        *prometheus.Registry
}

// New returns a set without observations.
func New() *Set {
	newHistogram := func(name, help string, buckets ...float64) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: "roadcleat_" + name, Help: help, Buckets: buckets})
	}
	s := &Set{
		PlanningSeconds: newHistogram("settle_seconds", "Time to plan and to decide after a batch of commands.", .0001, .0005, .001, .005, .01, .05, .1, .5),
		histograms: map[core.Metric]prometheus.Histogram{
			core.MetricTaskWaitSeconds:   newHistogram("task_wait_seconds", "Time from a job's coming to a task's start.", .5, 1, 2, 5, 10, 20, 40, 80, 160, 320),
			core.MetricImageFetchSeconds: newHistogram("image_fetch_seconds", "Time of image fetches.", .5, 1, 2, 5, 10, 20, 40, 80),
			core.MetricCommitBatchJobs:   newHistogram("commit_batch_jobs", "Jobs accepted by one transaction.", 1, 2, 4, 8, 16),
		},
		callsTotal: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "roadcleat_calls_total",
			Help: "Calls to the outside by kind and outcome; not_sent includes calls refused for want of tokens."}, []string{"call", "outcome"}),
		registry: prometheus.NewRegistry(),
	}
	s.registry.MustRegister(s.PlanningSeconds, s.callsTotal, s.histograms[core.MetricTaskWaitSeconds], s.histograms[core.MetricImageFetchSeconds], s.histograms[core.MetricCommitBatchJobs])
	return s
}

// Observe adds a measurement made by the core to its histogram.
func (s *Set) Observe(o core.Observation) { s.histograms[o.Metric].Observe(o.Value) }

// outcomeLabels contains the values of the label `outcome`.
var outcomeLabels = map[core.Outcome]string{core.OutcomeUnknown: "unknown", core.OutcomeOK: "ok", core.OutcomeRefused: "refused", core.OutcomeNotSent: "not_sent"}

// CountCall counts one call to the state service, the cloud or a worker, by its outcome.
func (s *Set) CountCall(op core.Operation, result core.Result) {
	s.callsTotal.WithLabelValues(callLabel(op), outcomeLabels[result.CallOutcome()]).Inc()
}

// callLabel returns the value of the label `call` for an operation. The values differ from the
// names of the operations in package core and must not change with them.
func callLabel(op core.Operation) string {
	switch op.(type) {
	case core.CommitTxn:
		return "commit"
	case core.ReadKey:
		return "read"
	case core.ListKeys:
		return "list"
	case core.WatchKeys:
		return "follow"
	case core.GrantLease:
		return "hold"
	case core.RenewLease:
		return "renew"
	case core.ReadCatalog:
		return "catalog"
	case core.ListHosts:
		return "hosts"
	case core.RentHosts:
		return "hire"
	case core.ReturnHosts:
		return "return"
	case core.SendCommands:
		return "orders"
	case core.ReadWorkerStatus:
		return "show"
	}
	return "other"
}

// Handler returns a handler for the metrics page. The page contains the metrics of the set and
// those computed from gauges, a snapshot of the core at the time of the request.
func (s *Set) Handler(gauges core.Gauges) http.Handler {
	coreRegistry, stats := prometheus.NewRegistry(), gauges.Stats
	coreRegistry.MustRegister(queueCollectors(gauges)...)
	for _, metric := range []struct {
		name, help string
		value      float64
	}{
		{"tasks_placed_total", "Tasks placed on machines.", float64(stats.Placed)},
		{"tasks_finished_total", "Tasks completed.", float64(stats.Finished)},
		{"tasks_requeued_total", "Tasks that went back to the queue.", float64(stats.Requeued)},
		{"tasks_stopped_total", "Tasks stopped to make room for more urgent ones.", float64(stats.Preempted)},
		{"tasks_failed_total", "Failures of tasks, of faulty machines and of jobs with a mistake.", float64(stats.Failed)},
		{"tasks_moved_total", "Waiting tasks moved to another part.", float64(stats.Rebalanced)},
		{"hosts_hired_total", "Machines hired.", float64(stats.Rented)},
		{"hosts_returned_total", "Machines returned.", float64(stats.Returned)},
		{"plans_total", "Runs of the planner.", float64(stats.Plans)},
		{"commit_conflicts_total", "Transactions refused because a key had changed.", float64(stats.Conflicts)},
	} {
		counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "roadcleat_" + metric.name, Help: metric.help})
		counter.Add(metric.value)
		coreRegistry.MustRegister(counter)
	}
	return promhttp.HandlerFor(prometheus.Gatherers{s.registry, coreRegistry}, promhttp.HandlerOpts{DisableCompression: true})
}

// queueCollectors returns the gauges of queues and of services' replicas. They cover only the
// shards that this controller owns, so that a sum over all controllers counts each task once.
func queueCollectors(gauges core.Gauges) []prometheus.Collector {
	newGauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "roadcleat_" + name, Help: help}, append([]string{"part", "class", "team"}, labels...))
	}
	tasks := newGauge("queue_tasks", "Tasks of unfinished jobs that do not run yet, by how far they have come.", "state")
	longestWait := newGauge("queue_longest_wait_seconds", "How long the longest-waiting job has lacked running tasks.")
	blocked := newGauge("queue_blocked_tasks", "Tasks that do not run yet, by what binds the longest-waiting job of their queue.", "reason")
	replicas := newGauge("service_replicas", "Replicas of services, by how far they have come; the sum of all states is what is wanted.", "state")
	for _, queue := range gauges.Queues {
		setTaskStates(tasks, queue, "starting", "fetching", "waiting")
		longestWait.WithLabelValues(queue.Shard, queue.Class, queue.Team).Set(queue.WaitSeconds)
		blocked.WithLabelValues(queue.Shard, queue.Class, queue.Team, queue.Reason.Name()).Set(float64(queue.Starting + queue.Fetching + queue.Waiting))
	}
	for _, queue := range gauges.Replicas {
		setTaskStates(replicas, queue, "up", "starting", "fetching", "waiting")
	}
	return []prometheus.Collector{tasks, longestWait, blocked, replicas}
}

// setTaskStates sets the gauges of a queue for the given states to its numbers of tasks.
func setTaskStates(vector *prometheus.GaugeVec, queue core.Queue, states ...string) {
	counts := map[string]int{"up": queue.Running, "starting": queue.Starting, "fetching": queue.Fetching, "waiting": queue.Waiting}
	for _, state := range states {
		vector.WithLabelValues(queue.Shard, queue.Class, queue.Team, state).Set(float64(counts[state]))
	}
}
