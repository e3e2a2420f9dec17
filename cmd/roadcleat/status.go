package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"roadcleat/internal/core"
)

// statusFlags are the flags of status.
type statusFlags struct {
	queryFlags
	all        bool
	stuckAfter float64
}

func statusCommand() *cobra.Command {
	var flags statusFlags
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print a controller's view of the cluster",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStatus(cmd.OutOrStdout(), flags)
		},
	}
	flags.queryFlags.add(cmd)
	cmd.Flags().BoolVar(&flags.all, "all", false,
		"list queues part by part, and also services all of whose replicas are up")
	cmd.Flags().Float64Var(&flags.stuckAfter, "stuck-after", 0,
		"end with status 3 if a queue or a service's replicas have waited for more seconds than this; 0: never")
	return cmd
}

func runStatus(out io.Writer, flags statusFlags) error {
	var status core.Status
	if err := get(flags.addr, "/status", &status); err != nil {
		return err
	}
	var err error
	if flags.json {
		err = printJSON(out, &status)
	} else {
		err = printStatus(out, &status, flags.all)
	}
	if err != nil {
		return err
	}
	return findStuck(&status, flags.stuckAfter)
}

// stuckError says that something has waited too long. The exit status is exitStuck then.
type stuckError struct {
	count   int     // how many have waited for longer than limit
	limit   float64 // in seconds
	longest float64 // wait in seconds
	what    string  // has waited longest, and why
}

func (e *stuckError) Error() string {
	return fmt.Sprintf("%d waited for more than %gs, the longest %.0fs, %s", e.count, e.limit, e.longest, e.what)
}

// findStuck gives a stuckError if a queue or a service has waited for longer than limit
// seconds. Of a limit of 0 nothing is.
func findStuck(s *core.Status, limit float64) error {
	if limit <= 0 {
		return nil
	}
	found := stuckError{limit: limit}
	add := func(waited float64, name string, reason core.Reason) {
		if waited > limit {
			found.count++
		}
		if waited > found.longest {
			found.longest, found.what = waited, fmt.Sprintf("%s: %v", name, reason)
		}
	}
	for _, q := range s.Queues {
		add(q.WaitSeconds, fmt.Sprintf("%s of %s in %s", q.Class, q.Team, q.Shard), q.Reason)
	}
	for _, service := range s.Services {
		for _, r := range service.Reasons {
			add(service.MissingSeconds, fmt.Sprintf("service %s in %s", service.Job, r.Shard), r.Reason)
		}
	}
	if found.count == 0 {
		return nil
	}
	return &found
}

// printStatus prints tables; those that show what is wrong come first.
func printStatus(out io.Writer, s *core.Status, all bool) error {
	w := newTable(out)
	fmt.Fprintf(w, "%s in %s\thealthy: %t\tstore seen: %s\tcloud seen: %s\n",
		s.Label, s.Zone, s.Healthy, ago(s.StateService.AgeSeconds), ago(s.Cloud.AgeSeconds))
	for _, d := range s.Degraded {
		fmt.Fprintf(w, "DEGRADED\t%s\tfor %.1fs\n", d.Mode, d.SinceSeconds)
	}
	printQueues(w, s.Queues, all)
	printServices(w, s.Services, all)
	printShards(w, s.Shards)
	printTeams(w, s.Teams)
	printClasses(w, s.Classes)
	printSuspectJobs(w, s.SuspectJobs)
	printPeers(w, s.Peers)
	return w.Flush()
}

func printQueues(w io.Writer, queues []core.Queue, all bool) {
	if !all {
		queues = byClassAndTeam(queues)
	}
	if len(queues) == 0 {
		fmt.Fprintln(w, "\nnothing waits")
		return
	}
	fmt.Fprintln(w, "\nQUEUE\tTEAM\tPART\tLONGEST WAIT\tWAITING\tFETCHING\tSTARTING\tUP\tWAITS LONGEST\tWHY")
	for _, q := range queues {
		row(w, q.Class, q.Team, q.Shard, wholeSeconds(q.WaitSeconds),
			q.Waiting, q.Fetching, q.Starting, q.Running, q.Job, q.Reason)
	}
}

// byClassAndTeam merges the queues of a class and team in all shards: their tasks are
// summed, and the rest is that of the shard with the longest wait, which comes first.
func byClassAndTeam(queues []core.Queue) []core.Queue {
	type key struct{ class, team string }
	var merged []core.Queue
	indexes := map[key]int{}
	moreShards := map[int]int{}
	for _, q := range queues {
		k := key{q.Class, q.Team}
		i, seen := indexes[k]
		if !seen {
			indexes[k] = len(merged)
			merged = append(merged, q)
			continue
		}
		moreShards[i]++
		merged[i].Add(q.TaskCounts)
	}
	for i, n := range moreShards {
		merged[i].Shard += fmt.Sprintf(" (+%d)", n)
	}
	return merged
}

// printServices prints the services that miss replicas, or all.
func printServices(w io.Writer, services []core.ServiceStatus, all bool) {
	complete, replicas, headed := 0, 0, false
	for _, s := range services {
		if s.Running == s.Wanted {
			complete++
			replicas += s.Running
			if !all {
				continue
			}
		}
		if !headed {
			headed = true
			fmt.Fprintln(w, "\nSERVICE\tCLASS\tTEAM\tWANTED\tUP\tSTARTING\tFETCHING\tWAITING\tUNKNOWN\tMISSING FOR\tWHY")
		}
		row(w, s.Job, s.Class, s.Team, s.Wanted, s.Running, s.Starting, s.Fetching, s.Waiting, s.Unaccounted,
			wholeSeconds(s.MissingSeconds), joinReasons(s.Reasons))
	}
	if len(services) > 0 {
		fmt.Fprintf(w, "\n%d of %d services whole, with %d replicas\n", complete, len(services), replicas)
	}
}

// printShards prints the shards; their jobs and tasks are known only of those owned here.
func printShards(w io.Writer, shards []core.ShardStatus) {
	fmt.Fprintln(w, "\nPART\tOWNER\tTOKEN\tJOBS\tWAITING\tON MACHINES\tMACHINES")
	for _, s := range shards {
		var hosts []string
		for _, h := range s.Hosts {
			kind := ""
			if h.Spot {
				kind = " spot"
			}
			hosts = append(hosts, fmt.Sprintf("%d %s%s %s", h.Count, h.Type, kind, h.State))
		}
		jobs, waiting, running := "-", "-", "-"
		if s.OwnedHere {
			jobs, waiting, running = fmt.Sprint(s.Jobs), fmt.Sprint(s.Waiting), fmt.Sprint(s.Running)
		}
		row(w, s.Zone, s.Owner, s.Token, jobs, waiting, running, strings.Join(hosts, ", "))
	}
}

func printTeams(w io.Writer, teams []core.TeamStatus) {
	fmt.Fprintln(w, "\nTEAM\tCORES\tGUARANTEE\tLIMIT\tCARDS\tGUARANTEE\tLIMIT")
	for _, t := range teams {
		row(w, t.Team, t.Cores, orNone(t.Guarantee), orNone(t.Limit),
			t.GPUs, orNone(t.GPUsGuarantee), orNone(t.GPUsLimit))
	}
}

func printClasses(w io.Writer, classes []core.ClassCount) {
	fmt.Fprintln(w, "\nCLASS (parts owned here)\tWAITING\tON MACHINES")
	for _, c := range classes {
		row(w, c.Class, c.Waiting, c.Running)
	}
}

func printSuspectJobs(w io.Writer, jobs []core.SuspectJob) {
	if len(jobs) == 0 {
		return
	}
	fmt.Fprintln(w, "\nFAILS EVERYWHERE\tTEAM\tCLASS\tFAILURES\tNEXT TRY\tMACHINES")
	for _, j := range jobs {
		row(w, j.Job, j.Team, j.Class, j.Failures, "in "+wholeSeconds(j.NextTrialSeconds), strings.Join(j.Hosts, ", "))
	}
}

func printPeers(w io.Writer, peers []core.PeerStatus) {
	fmt.Fprintln(w, "\nOTHER CONTROLLER\tHEARD\tREACHES THE STATE SERVICE")
	for _, p := range peers {
		row(w, p.Label, ago(p.AgeSeconds), p.StateServiceOK)
	}
}
