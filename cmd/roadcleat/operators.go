package main

import (
	"encoding/json"
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

func statusCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{Use: "status", Short: "Print a controller's view of the cluster", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s core.Status
			if err := get(addr, "/status", &s); err != nil {
				return err
			}
			return printStatus(cmd.OutOrStdout(), &s)
		}}
	cmd.Flags().StringVar(&addr, "addr", "", "the controller's api_addr")
	return cmd
}

func explainCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{Use: "explain JOB", Short: "Say where a job's tasks are and why the others wait", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var e core.Explanation
			if err := get(addr, "/explain/"+url.PathEscape(args[0]), &e); err != nil {
				return err
			}
			return printExplanation(cmd.OutOrStdout(), &e)
		}}
	cmd.Flags().StringVar(&addr, "addr", "", "the controller's api_addr")
	return cmd
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

func printStatus(out io.Writer, s *core.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s in %s\thealthy: %t\tstore seen: %s\tcloud seen: %s\n", s.Label, s.Zone, s.Healthy, ago(s.Store.AgeS), ago(s.Cloud.AgeS))
	for _, d := range s.Degraded {
		fmt.Fprintf(w, "DEGRADED\t%s\tfor %.1fs\n", d.Mode, d.SinceS)
	}
	fmt.Fprintln(w, "\nPART\tOWNER\tTOKEN\tJOBS\tWAITING\tON MACHINES\tMACHINES")
	for _, p := range s.Parts {
		var hosts []string
		for _, h := range p.Hosts {
			kind := ""
			if h.Spot {
				kind = " spot"
			}
			hosts = append(hosts, fmt.Sprintf("%d %s%s %s", h.Count, h.Type, kind, h.State))
		}
		jobs, waiting, running := "-", "-", "-"
		if p.Here {
			jobs, waiting, running = fmt.Sprint(p.Jobs), fmt.Sprint(p.Waiting), fmt.Sprint(p.Running)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", p.Zone, p.Owner, p.Token, jobs, waiting, running, strings.Join(hosts, ", "))
	}
	fmt.Fprintln(w, "\nTEAM\tCORES\tGUARANTEE\tLIMIT")
	for _, t := range s.Teams {
		fmt.Fprintf(w, "%s\t%g\t%s\t%s\n", t.Team, t.Cores, orNone(t.Guarantee), orNone(t.Limit))
	}
	fmt.Fprintln(w, "\nCLASS (parts owned here)\tWAITING\tON MACHINES")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\n", c.Class, c.Waiting, c.Running)
	}
	if len(s.Doubtful) > 0 {
		fmt.Fprintln(w, "\nFAILS EVERYWHERE\tTEAM\tCLASS\tFAILURES\tNEXT TRY\tMACHINES")
	}
	for _, d := range s.Doubtful {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\tin %.0fs\t%s\n", d.Job, d.Team, d.Class, d.Failures, d.NextS, strings.Join(d.Hosts, ", "))
	}
	fmt.Fprintln(w, "\nOTHER CONTROLLER\tHEARD\tREACHES THE STATE SERVICE")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%t\n", p.Label, ago(p.AgeS), p.StoreOK)
	}
	return w.Flush()
}

func printExplanation(out io.Writer, e *core.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s: %s\n", e.Job, e.Standing)
	for _, p := range e.Parts {
		if !p.Here {
			fmt.Fprintf(w, "%s\tis looked after by %s: ask there\n", p.Part, p.Owner)
			continue
		}
		fmt.Fprintf(w, "%s\t%d done, %d waiting, %d on machines\n", p.Part, p.Done, p.Waiting, len(p.Running))
		if p.Why != "" {
			fmt.Fprintf(w, "\twaiting: %s\n", p.Why)
		}
		for _, r := range p.Running {
			fmt.Fprintf(w, "\ttask %s\n", r)
		}
	}
	return w.Flush()
}
