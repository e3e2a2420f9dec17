package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"roadcleat/internal/core"
)

// statusFlags holds the values of the flags of the status command.
type statusFlags struct {
	queryFlags
	showAll           bool
	stuckAfterSeconds float64
}

// statusCommand returns the command that prints a controller's view of the cluster.
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
	flags.queryFlags.register(cmd)
	cmd.Flags().BoolVar(&flags.showAll, "all", false,
		"list queues part by part, and also services all of whose replicas are up")
	cmd.Flags().Float64Var(&flags.stuckAfterSeconds, "stuck-after", 0,
		"end with status 3 if a queue or a service's replicas have waited for more seconds than this; 0: never")
	return cmd
}

// runStatus queries a controller and prints its status. It returns a stuckError if a queue or
// service is stuck.
func runStatus(out io.Writer, flags statusFlags) error {
	var status core.Status
	if err := getJSON(flags.addr, "/status", &status); err != nil {
		return err
	}
	var err error
	if flags.asJSON {
		err = printJSON(out, &status)
	} else {
		err = printStatus(out, &status, flags.showAll)
	}
	if err != nil {
		return err
	}
	return checkStuck(&status, flags.stuckAfterSeconds)
}

// stuckError reports queues and services that have waited for longer than a limit. It leads to
// the exit status exitStuck.
type stuckError struct {
	count          int // queues, and services once per shard, that have waited for longer than limitSeconds
	limitSeconds   float64
	longestSeconds float64 // longest wait of any queue or service
	longestWaiting string  // queue or service with the longest wait, and its reason
}

func (e *stuckError) Error() string {
	return fmt.Sprintf("%d waited for more than %gs, the longest %.0fs, %s",
		e.count, e.limitSeconds, e.longestSeconds, e.longestWaiting)
}

// checkStuck returns a stuckError if a queue or a service has waited for longer than
// limitSeconds. A limit of 0 disables the check.
func checkStuck(s *core.Status, limitSeconds float64) error {
	if limitSeconds <= 0 {
		return nil
	}
	found := stuckError{limitSeconds: limitSeconds}
	addWait := func(waitedSeconds float64, name string, reason core.Reason) {
		if waitedSeconds > limitSeconds {
			found.count++
		}
		if waitedSeconds > found.longestSeconds {
			found.longestSeconds, found.longestWaiting = waitedSeconds, fmt.Sprintf("%s: %v", name, reason)
		}
	}
	for _, q := range s.Queues {
		addWait(q.WaitSeconds, fmt.Sprintf("%s of %s in %s", q.Class, q.Team, q.Shard), q.Reason)
	}
	for _, service := range s.Services {
		for _, r := range service.Reasons {
			addWait(service.MissingSeconds, fmt.Sprintf("service %s in %s", service.Job, r.Shard), r.Reason)
		}
	}
	if found.count == 0 {
		return nil
	}
	return &found
}

// printStatus prints the status as tables. The tables that show problems come first.
func printStatus(out io.Writer, s *core.Status, showAll bool) error {
	w := newTable(out)
	fmt.Fprintf(w, "%s in %s\thealthy: %t\tstore seen: %s\tcloud seen: %s\n",
		s.Label, s.Zone, s.Healthy, formatAge(s.StateService.AgeSeconds), formatAge(s.Cloud.AgeSeconds))
	for _, d := range s.Degraded {
		fmt.Fprintf(w, "DEGRADED\t%s\tfor %.1fs\n", d.Mode, d.SinceSeconds)
	}
	printQueues(w, s.Queues, showAll)
	printServices(w, s.Services, showAll)
	printShards(w, s.Shards)
	printTeams(w, s.Teams)
	printClasses(w, s.Classes)
	printSuspectJobs(w, s.SuspectJobs)
	printPeers(w, s.Peers)
	return w.Flush()
}

// printQueues prints the queues of waiting tasks, merged over all shards unless showAll is set.
func printQueues(w io.Writer, queues []core.Queue, showAll bool) {
	if !showAll {
		queues = mergeByClassAndTeam(queues)
	}
	if len(queues) == 0 {
		fmt.Fprintln(w, "\nnothing waits")
		return
	}
	fmt.Fprintln(w, "\nQUEUE\tTEAM\tPART\tLONGEST WAIT\tWAITING\tFETCHING\tSTARTING\tUP\tWAITS LONGEST\tWHY")
	for _, q := range queues {
		printRow(w, q.Class, q.Team, q.Shard, formatSeconds(q.WaitSeconds),
			q.Waiting, q.Fetching, q.Starting, q.Running, q.Job, q.Reason)
	}
}

// mergeByClassAndTeam merges the queues of the same class and team in all shards. The task counts
// are added up; all other fields are those of the shard with the longest wait, whose queue
// precedes the others in the input.
func mergeByClassAndTeam(queues []core.Queue) []core.Queue {
	type key struct{ class, team string }
	var merged []core.Queue
	indexes := map[key]int{}
	otherShards := map[int]int{}
	for _, q := range queues {
		k := key{q.Class, q.Team}
		i, seen := indexes[k]
		if !seen {
			indexes[k] = len(merged)
			merged = append(merged, q)
			continue
		}
		otherShards[i]++
		merged[i].Add(q.TaskCounts)
	}
	for i, n := range otherShards {
		merged[i].Shard += fmt.Sprintf(" (+%d)", n)
	}
	return merged
}

// printServices prints the services with missing replicas, or all services if showAll is set, and
// the number of complete ones.
func printServices(w io.Writer, services []core.ServiceStatus, showAll bool) {
	complete, replicas, headerPrinted := 0, 0, false
	for _, s := range services {
		if s.Running == s.Wanted {
			complete++
			replicas += s.Running
			if !showAll {
				continue
			}
		}
		if !headerPrinted {
			headerPrinted = true
			fmt.Fprintln(w, "\nSERVICE\tCLASS\tTEAM\tWANTED\tUP\tSTARTING\tFETCHING\tWAITING\tUNKNOWN\tMISSING FOR\tWHY")
		}
		printRow(w, s.Job, s.Class, s.Team, s.Wanted, s.Running, s.Starting, s.Fetching, s.Waiting, s.Unaccounted,
			formatSeconds(s.MissingSeconds), formatReasons(s.Reasons))
	}
	if len(services) > 0 {
		fmt.Fprintf(w, "\n%d of %d services whole, with %d replicas\n", complete, len(services), replicas)
	}
}

// printShards prints the shards with their machines. The numbers of jobs and tasks are printed
// only for the shards that the queried controller owns.
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
			jobs, waiting, running = fmt.Sprint(s.Jobs), fmt.Sprint(s.Waiting), fmt.Sprint(s.Placed)
		}
		printRow(w, s.Zone, s.Owner, s.Token, jobs, waiting, running, strings.Join(hosts, ", "))
	}
}

// printTeams prints each team's usage, guarantees and limits.
func printTeams(w io.Writer, teams []core.TeamStatus) {
	fmt.Fprintln(w, "\nTEAM\tCORES\tGUARANTEE\tLIMIT\tCARDS\tGUARANTEE\tLIMIT")
	for _, t := range teams {
		printRow(w, t.Team, t.Cores, formatAmount(t.CoresGuarantee), formatAmount(t.CoresLimit),
			t.GPUs, formatAmount(t.GPUsGuarantee), formatAmount(t.GPUsLimit))
	}
}

// printClasses prints the numbers of waiting and running tasks by class of job.
func printClasses(w io.Writer, classes []core.ClassCount) {
	fmt.Fprintln(w, "\nCLASS (parts owned here)\tWAITING\tON MACHINES")
	for _, c := range classes {
		printRow(w, c.Class, c.Waiting, c.Placed)
	}
}

// printSuspectJobs prints the suspect jobs, whose tasks have failed on several machines.
func printSuspectJobs(w io.Writer, jobs []core.SuspectJob) {
	if len(jobs) == 0 {
		return
	}
	fmt.Fprintln(w, "\nFAILS EVERYWHERE\tTEAM\tCLASS\tFAILURES\tNEXT TRY\tMACHINES")
	for _, j := range jobs {
		printRow(w, j.Job, j.Team, j.Class, j.Failures, "in "+formatSeconds(j.NextTrialSeconds), strings.Join(j.Hosts, ", "))
	}
}

// printPeers prints the other controllers, the age of their last gossip, and whether they reach
// the state service.
func printPeers(w io.Writer, peers []core.PeerStatus) {
	fmt.Fprintln(w, "\nOTHER CONTROLLER\tHEARD\tREACHES THE STATE SERVICE")
	for _, p := range peers {
		printRow(w, p.Label, formatAge(p.AgeSeconds), p.StateServiceOK)
	}
}
