package main

import (
	"fmt"
	"io"
	"net/url"

	"github.com/spf13/cobra"

	"roadcleat/internal/core"
)

// explainCommand returns the command that prints where a job's tasks run and why its others wait.
func explainCommand() *cobra.Command {
	var flags queryFlags
	cmd := &cobra.Command{
		Use:   "explain JOB",
		Short: "Say where a job's tasks are and why the others wait",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var explanation core.Explanation
			if err := getJSON(flags.addr, "/explain/"+url.PathEscape(args[0]), &explanation); err != nil {
				return err
			}
			if flags.asJSON {
				return printJSON(cmd.OutOrStdout(), &explanation)
			}
			return printExplanation(cmd.OutOrStdout(), &explanation)
		},
	}
	flags.register(cmd)
	return cmd
}

// printExplanation prints the state of a job, the replicas if it is a service, and its tasks by
// shard.
func printExplanation(out io.Writer, e *core.Explanation) error {
	w := newTable(out)
	fmt.Fprintf(w, "%s: %s\n", e.Job, e.State)
	if s := e.Service; s != nil {
		fmt.Fprintf(w, "service\twanted %d, up %d, starting %d, fetching %d, waiting %d, unknown %d\n",
			s.Wanted, s.Running, s.Starting, s.Fetching, s.Waiting, s.Unaccounted)
		if s.MissingSeconds > 0 {
			fmt.Fprintf(w, "\treplicas missing for %.0fs\n", s.MissingSeconds)
		}
	}
	for _, shard := range e.Shards {
		printShardExplanation(w, &shard)
	}
	return w.Flush()
}

// printShardExplanation prints a job's tasks in a shard. If another controller owns the shard,
// only the counts in that controller's last gossip are available; if the shard has no owner,
// nothing is.
func printShardExplanation(w io.Writer, s *core.ShardExplanation) {
	switch {
	case s.OwnedHere:
		fmt.Fprintf(w, "%s\t%d done, %d waiting, %d on machines, %d of them running\n",
			s.Shard, s.Done, s.Waiting, len(s.PlacedTasks), s.RunningCount)
	case s.Owner == "":
		fmt.Fprintf(w, "%s\thas no owner\n", s.Shard)
		return
	default:
		fmt.Fprintf(w, "%s\tis looked after by %s: ask there for more\n", s.Shard, s.Owner)
		if s.Done+s.Waiting+s.RunningCount > 0 {
			fmt.Fprintf(w, "\tit said: %d done, %d running\n", s.Done, s.RunningCount)
		}
	}
	if s.Text != "" {
		fmt.Fprintf(w, "\twaiting: %s\n", s.Text)
	}
	for _, task := range s.PlacedTasks {
		fmt.Fprintf(w, "\ttask %s\n", task)
	}
}
