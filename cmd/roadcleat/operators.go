package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"roadcleat/internal/core"
)

// get asks a controller and decodes its answer.
func get(addr, path string, into any) error {
	if addr == "" {
		return errors.New("--addr: HOST:PORT of a controller is needed")
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("--addr: %q is not HOST:PORT", addr)
	}
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return fmt.Errorf("%s can't be reached: %w", addr, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %d: %s", addr, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s: not an answer of roadcleat: %w", addr, err)
	}
	return nil
}

// statusFlags are how status is asked and printed.
type statusFlags struct {
	addr       string
	json, all  bool
	stuckAfter float64
}

func statusCommand() *cobra.Command {
	var f statusFlags
	cmd := &cobra.Command{Use: "status", Short: "Print a controller's view of the cluster", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s core.Status
			if err := get(f.addr, "/status", &s); err != nil {
				return err
			}
			printIt := func() error { return printStatus(cmd.OutOrStdout(), &s, f.all) }
			if f.json {
				printIt = func() error { return printJSON(cmd.OutOrStdout(), &s) }
			}
			if err := printIt(); err != nil {
				return err
			}
			return stuck(&s, f.stuckAfter)
		}}
	addFlags(cmd, &f.addr, &f.json)
	cmd.Flags().BoolVar(&f.all, "all", false, "list queues part by part, and also services all of whose replicas are up")
	cmd.Flags().Float64Var(&f.stuckAfter, "stuck-after", 0, "end with status 3 if a queue or a service's replicas have waited for more seconds than this; 0: never")
	return cmd
}

func explainCommand() *cobra.Command {
	var addr string
	var asJSON bool
	cmd := &cobra.Command{Use: "explain JOB", Short: "Say where a job's tasks are and why the others wait", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var e core.Explanation
			if err := get(addr, "/explain/"+url.PathEscape(args[0]), &e); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), &e)
			}
			return printExplanation(cmd.OutOrStdout(), &e)
		}}
	addFlags(cmd, &addr, &asJSON)
	return cmd
}

func addFlags(cmd *cobra.Command, addr *string, asJSON *bool) {
	cmd.Flags().StringVar(addr, "addr", "", "the controller's api_addr, HOST:PORT")
	cmd.Flags().BoolVar(asJSON, "json", false, "print JSON")
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// stuckError says that something has waited too long; status ends with exitStuck then.
type stuckError struct{ error }

// stuck is an error if anything has waited for longer than limit seconds, unless that is 0.
func stuck(s *core.Status, limit float64) error {
	if limit <= 0 {
		return nil
	}
	count, longest, what := 0, 0.0, ""
	see := func(waited float64, name string, why fmt.Stringer) {
		if waited > limit {
			count++
		}
		if waited > longest {
			longest, what = waited, fmt.Sprintf("%s: %v", name, why)
		}
	}
	for _, q := range s.Queues {
		see(q.WaitSeconds, fmt.Sprintf("%s of %s in %s", q.Class, q.Team, q.Shard), q.Reason)
	}
	for _, v := range s.Services {
		for _, w := range v.Reasons {
			see(v.MissingSeconds, fmt.Sprintf("service %s in %s", v.Job, w.Shard), w.Reason)
		}
	}
	if count == 0 {
		return nil
	}
	return stuckError{fmt.Errorf("%d waited for more than %gs, the longest %.0fs, %s", count, limit, longest, what)}
}

// ago says how long ago something was; a negative age means never.
func ago(s float64) string {
	if s < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs ago", s)
}

// orNone prints a guarantee or limit, of which 0 means that there is none.
func orNone(v float64) string {
	if v == 0 {
		return "none"
	}
	return fmt.Sprintf("%g", v)
}

// printStatus prints tables: what needs a look first comes first.
func printStatus(out io.Writer, s *core.Status, all bool) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s in %s\thealthy: %t\tstore seen: %s\tcloud seen: %s\n", s.Label, s.Zone, s.Healthy, ago(s.StateService.AgeSeconds), ago(s.Cloud.AgeSeconds))
	for _, d := range s.Degraded {
		fmt.Fprintf(w, "DEGRADED\t%s\tfor %.1fs\n", d.Mode, d.SinceSeconds)
	}
	printQueues(w, s.Queues, all)
	printServices(w, s.Services, all)
	fmt.Fprintln(w, "\nPART\tOWNER\tTOKEN\tJOBS\tWAITING\tON MACHINES\tMACHINES")
	for _, p := range s.Shards {
		var hosts []string
		for _, h := range p.Hosts {
			kind := ""
			if h.Spot {
				kind = " spot"
			}
			hosts = append(hosts, fmt.Sprintf("%d %s%s %s", h.Count, h.Type, kind, h.State))
		}
		jobs, waiting, running := "-", "-", "-"
		if p.OwnedHere {
			jobs, waiting, running = fmt.Sprint(p.Jobs), fmt.Sprint(p.Waiting), fmt.Sprint(p.Running)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", p.Zone, p.Owner, p.Token, jobs, waiting, running, strings.Join(hosts, ", "))
	}
	fmt.Fprintln(w, "\nTEAM\tCORES\tGUARANTEE\tLIMIT\tCARDS\tGUARANTEE\tLIMIT")
	for _, t := range s.Teams {
		fmt.Fprintf(w, "%s\t%g\t%s\t%s\t%g\t%s\t%s\n", t.Team, t.Cores, orNone(t.Guarantee), orNone(t.Limit), t.GPUs, orNone(t.GPUsGuarantee), orNone(t.GPUsLimit))
	}
	fmt.Fprintln(w, "\nCLASS (parts owned here)\tWAITING\tON MACHINES")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\n", c.Class, c.Waiting, c.Running)
	}
	if len(s.SuspectJobs) > 0 {
		fmt.Fprintln(w, "\nFAILS EVERYWHERE\tTEAM\tCLASS\tFAILURES\tNEXT TRY\tMACHINES")
	}
	for _, d := range s.SuspectJobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\tin %.0fs\t%s\n", d.Job, d.Team, d.Class, d.Failures, d.NextTrialSeconds, strings.Join(d.Hosts, ", "))
	}
	fmt.Fprintln(w, "\nOTHER CONTROLLER\tHEARD\tREACHES THE STATE SERVICE")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%t\n", p.Label, ago(p.AgeSeconds), p.StateServiceOK)
	}
	return w.Flush()
}

// byClassAndTeam puts the parts of a queue together: their tasks, and of the part where
// the wait is longest, which comes first, the rest.
func byClassAndTeam(queues []core.Queue) []core.Queue {
	var out []core.Queue
	at, shards := map[[2]string]int{}, map[int]int{}
	for _, q := range queues {
		k, seen := at[[2]string{q.Class, q.Team}]
		if !seen {
			at[[2]string{q.Class, q.Team}] = len(out)
			out = append(out, q)
			continue
		}
		shards[k]++
		out[k].Add(q.TaskCounts)
	}
	for k, n := range shards {
		out[k].Shard += fmt.Sprintf(" (+%d)", n)
	}
	return out
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0fs\t%d\t%d\t%d\t%d\t%s\t%s\n", q.Class, q.Team, q.Shard, q.WaitSeconds, q.Waiting, q.Fetching, q.Starting, q.Running, q.Job, q.Reason)
	}
}

// printServices prints the services that miss replicas, or all.
func printServices(w io.Writer, services []core.ServiceStatus, all bool) {
	whole, replicas, head := 0, 0, false
	for _, s := range services {
		if s.Running == s.Wanted {
			whole++
			replicas += s.Running
			if !all {
				continue
			}
		}
		if !head {
			head = true
			fmt.Fprintln(w, "\nSERVICE\tCLASS\tTEAM\tWANTED\tUP\tSTARTING\tFETCHING\tWAITING\tUNKNOWN\tMISSING FOR\tWHY")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0fs\t%s\n", s.Job, s.Class, s.Team, s.Wanted, s.Running, s.Starting, s.Fetching, s.Waiting, s.Unaccounted, s.MissingSeconds, whys(s.Reasons))
	}
	if len(services) > 0 {
		fmt.Fprintf(w, "\n%d of %d services whole, with %d replicas\n", whole, len(services), replicas)
	}
}

func whys(list []core.ShardReason) string {
	var out []string
	for _, p := range list {
		text := p.Detail
		if text == "" {
			text = p.Reason.String()
		}
		out = append(out, p.Shard+": "+text)
	}
	return strings.Join(out, "; ")
}

func printExplanation(out io.Writer, e *core.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s: %s\n", e.Job, e.State)
	if s := e.Service; s != nil {
		fmt.Fprintf(w, "service\twanted %d, up %d, starting %d, fetching %d, waiting %d, unknown %d\n", s.Wanted, s.Running, s.Starting, s.Fetching, s.Waiting, s.Unaccounted)
		if s.MissingSeconds > 0 {
			fmt.Fprintf(w, "\treplicas missing for %.0fs\n", s.MissingSeconds)
		}
	}
	for _, p := range e.Shards {
		switch {
		case p.OwnedHere:
			fmt.Fprintf(w, "%s\t%d done, %d waiting, %d on machines, %d of them running\n", p.Shard, p.Done, p.Waiting, len(p.Running), p.RunningCount)
		case p.Owner == "":
			fmt.Fprintf(w, "%s\thas no owner\n", p.Shard)
			continue
		default:
			fmt.Fprintf(w, "%s\tis looked after by %s: ask there for more\n", p.Shard, p.Owner)
			if p.Done+p.Waiting+p.RunningCount > 0 {
				fmt.Fprintf(w, "\tit said: %d done, %d running\n", p.Done, p.RunningCount)
			}
		}
		if p.Text != "" {
			fmt.Fprintf(w, "\twaiting: %s\n", p.Text)
		}
		for _, r := range p.Running {
			fmt.Fprintf(w, "\ttask %s\n", r)
		}
	}
	return w.Flush()
}
