package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"roadcleat/internal/fake"
)

// progressBarInterval is the shortest time between two updates of the progress bar.
const progressBarInterval = 200 * time.Millisecond

// searcher runs many scenarios and reports violations.
type searcher struct {
	runScenario func(fake.Scenario) fake.Result
	// parallelRuns is how many scenarios are run at the same time, maxShrinkRuns how many runs
	// shrinking a scenario may take, and maxShrunkPerRule how many scenarios are shrunk for each
	// violated rule.
	parallelRuns, maxShrinkRuns, maxShrunkPerRule int
	// outputDir is where scenarios with a violation are written.
	outputDir                     string
	verbose, stopAtFirstViolation bool
}

// namedScenario is a scenario with its name and the group that it is counted with. The scenario is
// made only when it is run, because a search has many.
type namedScenario struct {
	name, group string
	build       func() fake.Scenario
}

// outcome is a scenario with the result of its run.
type outcome struct {
	scenario namedScenario
	result   fake.Result
}

// coverage is how many scenarios of a group were run, and in how many of them all faults were
// injected.
type coverage struct{ runs, covered int }

// tally sums up the outcomes so far.
type tally struct {
	coverageByGroup map[string]*coverage
	groups          []string // the keys of coverageByGroup
	notCovered      []string // names of the scenarios in which not all faults were injected
	violating       []outcome
	taskStarts      int
}

func (t *tally) add(r outcome) {
	c := t.coverageByGroup[r.scenario.group]
	if c == nil {
		c = &coverage{}
		t.coverageByGroup[r.scenario.group] = c
		t.groups = append(t.groups, r.scenario.group)
	}
	c.runs++
	t.taskStarts += r.result.Starts
	if slices.Contains(r.result.Injected, false) {
		t.notCovered = append(t.notCovered, r.scenario.name)
	} else {
		c.covered++
	}
	if len(r.result.Violations) > 0 {
		t.violating = append(t.violating, r)
	}
}

// run runs the scenarios and prints the outcome: each violation at once, the shrunk scenarios and
// the counts at the end. It returns errViolation or errInterrupted if either occurred.
func (s *searcher) run(cmd *cobra.Command, total int, scenarios iter.Seq[namedScenario]) error {
	if s.parallelRuns < 1 {
		return errors.New("--workers must be at least 1")
	}
	ctx, out := cmd.Context(), cmd.OutOrStdout()
	startedAt := time.Now()
	t := s.runAll(ctx, cmd.ErrOrStderr(), total, scenarios)
	if err := s.reportViolations(ctx, out, t); err != nil {
		return err
	}
	t.printSummary(out, total, time.Since(startedAt), s.verbose)
	switch {
	case len(t.violating) > 0:
		return errViolation
	case ctx.Err() != nil:
		return errInterrupted
	}
	return nil
}

// runAll runs the scenarios and shows the progress.
func (s *searcher) runAll(ctx context.Context, errs io.Writer, total int, scenarios iter.Seq[namedScenario]) *tally {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bar := newProgressBar(errs, total)
	t := &tally{coverageByGroup: map[string]*coverage{}}
	for r := range s.results(ctx, scenarios) {
		t.add(r)
		if len(r.result.Violations) > 0 {
			if s.stopAtFirstViolation {
				cancel()
			}
			_ = bar.Clear()
			fmt.Fprintf(errs, "%s: %s\n", r.scenario.name, r.result.Violations[0])
			bar.Describe(fmt.Sprintf("%d violations", len(t.violating)))
		}
		_ = bar.Add(1) // the search goes on if the progress can't be shown
	}
	_ = bar.Clear()
	return t
}

func newProgressBar(w io.Writer, total int) *progressbar.ProgressBar {
	return progressbar.NewOptions(total,
		progressbar.OptionSetWriter(w),
		progressbar.OptionSetDescription("0 violations"),
		progressbar.OptionShowCount(),
		progressbar.OptionShowIts(),
		progressbar.OptionSetItsString("scenarios"),
		progressbar.OptionThrottle(progressBarInterval),
		progressbar.OptionClearOnFinish())
}

// results runs the scenarios, several at a time, until all have been run or ctx is done.
func (s *searcher) results(ctx context.Context, scenarios iter.Seq[namedScenario]) <-chan outcome {
	todo, done := make(chan namedScenario), make(chan outcome)
	go func() {
		defer close(todo)
		for scenario := range scenarios {
			select {
			case todo <- scenario:
			case <-ctx.Done():
				return
			}
		}
	}()
	var wg sync.WaitGroup
	for range s.parallelRuns {
		wg.Go(func() {
			for scenario := range todo {
				done <- outcome{scenario, s.runScenario(scenario.build())}
			}
		})
	}
	go func() {
		wg.Wait()
		close(done)
	}()
	return done
}

// reportViolations prints the scenarios with a violation, writes them to files, and prints how to
// replay them. The first maxShrunkPerRule scenarios of each violated rule are shrunk first.
func (s *searcher) reportViolations(ctx context.Context, out io.Writer, t *tally) error {
	sort.Slice(t.violating, func(i, j int) bool { return t.violating[i].scenario.name < t.violating[j].scenario.name })
	reported := map[string]int{} // by rule
	for _, r := range t.violating {
		rule, scenario := r.result.FirstRule(), r.scenario.build()
		fmt.Fprintf(out, "%s: %s\n", r.scenario.name, strings.Join(r.result.Violations, "; "))
		reported[rule]++
		if reported[rule] <= s.maxShrunkPerRule {
			scenario = s.shrink(ctx, scenario)
			fmt.Fprintf(out, "  %s\n", scenario)
		}
		path := filepath.Join(s.outputDir, "search-"+rule+"-"+fileName(r.scenario.name)+".json")
		if err := os.WriteFile(path, []byte(scenario.String()+"\n"), 0o644); err != nil {
			return err
		}
		fmt.Fprintf(out, "  replay with: go run ./cmd/search replay %s\n", path)
	}
	return nil
}

// shrink returns a shrunk scenario with the same violation. When ctx is done, it returns the
// smallest one found so far.
func (s *searcher) shrink(ctx context.Context, scenario fake.Scenario) fake.Scenario {
	shrunk, _ := scenario.Shrink(s.maxShrinkRuns, func(candidate fake.Scenario) fake.Result {
		if ctx.Err() != nil {
			return fake.Result{} // reports no violation, so Shrink keeps no further candidate
		}
		return s.runScenario(candidate)
	})
	return shrunk
}

// fileName returns a name with all but lower-case letters and digits replaced by hyphens.
func fileName(name string) string {
	return strings.Trim(strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, name), "-")
}

// printSummary prints how many scenarios were run, and how many of them were covered: all of their
// faults were injected.
func (t *tally) printSummary(out io.Writer, total int, elapsed time.Duration, verbose bool) {
	sort.Strings(t.groups)
	sort.Strings(t.notCovered)
	var all coverage
	for _, g := range t.groups {
		c := t.coverageByGroup[g]
		all.runs += c.runs
		all.covered += c.covered
		fmt.Fprintf(out, "%-12s %6d scenarios run, %6d covered, %5d not covered\n", g, c.runs, c.covered, c.runs-c.covered)
	}
	if verbose {
		for _, name := range t.notCovered {
			fmt.Fprintln(out, "not covered:", name)
		}
	}
	fmt.Fprintf(out, "%d of %d scenarios run in %v: %d covered, %d not covered "+
		"(a fault was not injected, as its step event did not occur), "+
		"%d violated an invariant, %d tasks started\n",
		all.runs, total, elapsed.Round(time.Second), all.covered, all.runs-all.covered, len(t.violating), t.taskStarts)
}
