package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"roadcleat/internal/fake"
)

// Exit statuses.
const (
	exitSuccess     = 0
	exitViolation   = 1 // an invariant was violated
	exitUsage       = 2
	exitInterrupted = 130 // interrupted before any violation was found
)

var (
	errViolation   = errors.New("an invariant was violated")
	errInterrupted = errors.New("interrupted")
)

// execute runs the command line and returns the exit status.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, errViolation):
		return exitViolation
	case errors.Is(err, errInterrupted):
		return exitInterrupted
	}
	fmt.Fprintln(stderr, "search:", err)
	return exitUsage
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "search",
		Short:         "Look for scenarios that violate an invariant",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(*cobra.Command, []string) error { return errors.New("expected a command: walk, random or replay") },
	}
	s := &searcher{runScenario: func(s fake.Scenario) fake.Result { return s.Run(nil) }}
	root.AddCommand(newWalkCommand(s), newRandomCommand(s), newReplayCommand())
	return root
}

func newWalkCommand(s *searcher) *cobra.Command {
	var occurrences int
	var stepNames []string
	walk := &cobra.Command{
		Use:   "walk",
		Short: "Run every fault at every phase of every step, with and without a restart of the controller",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if occurrences < 1 {
				return errors.New("--occurrences must be at least 1")
			}
			steps, err := parseSteps(stepNames)
			if err != nil {
				return err
			}
			total := fake.WalkSize(occurrences) / len(fake.Steps) * len(steps)
			return s.run(cmd, total, walkScenarios(steps, occurrences))
		},
	}
	walk.Flags().StringSliceVar(&stepNames, "step", nil, "only these steps (default: all)")
	walk.Flags().IntVar(&occurrences, "occurrences", 1, "occurrences of each step to test, spread over the scenario")
	s.addFlags(walk)
	return walk
}

func newRandomCommand(s *searcher) *cobra.Command {
	var firstSeed uint64
	var count int
	random := &cobra.Command{
		Use:   "random",
		Short: "Run random scenarios",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if count < 1 {
				return errors.New("--days must be at least 1")
			}
			return s.run(cmd, count, randomScenarios(firstSeed, count))
		},
	}
	random.Flags().Uint64Var(&firstSeed, "seed", 1, "seed of the first scenario")
	random.Flags().IntVar(&count, "days", 1000, "number of scenarios")
	s.addFlags(random)
	return random
}

// addFlags adds the flags of the commands that run many scenarios.
func (s *searcher) addFlags(c *cobra.Command) {
	c.Flags().IntVar(&s.parallelRuns, "workers", 2, "scenarios run in parallel")
	c.Flags().IntVar(&s.maxShrinkRuns, "shrink", 300, "maximum runs to shrink a scenario with a violation")
	c.Flags().IntVar(&s.maxShrunkPerRule, "shrink-most", 3, "maximum scenarios to shrink for each violated rule")
	c.Flags().BoolVar(&s.stopAtFirstViolation, "first", false, "stop at the first violation")
	c.Flags().StringVar(&s.outputDir, "out", os.TempDir(), "directory for the scenarios with a violation")
	c.Flags().BoolVarP(&s.verbose, "verbose", "v", false, "list the scenarios in which not all faults were injected")
}

func newReplayCommand() *cobra.Command {
	var log bool
	command := &cobra.Command{
		Use:   "replay FILE",
		Short: "Run a scenario from a file",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return replay(cmd, args[0], log) },
	}
	command.Flags().BoolVar(&log, "log", false, "print all log events")
	return command
}

// parseSteps returns the steps with the given names, or all steps if there are no names.
func parseSteps(names []string) ([]fake.Step, error) {
	if len(names) == 0 {
		return fake.Steps, nil
	}
	var steps []fake.Step
	for _, name := range names {
		if !slices.Contains(fake.Steps, fake.Step(name)) {
			return nil, fmt.Errorf("--step: unknown step %q", name)
		}
		steps = append(steps, fake.Step(name))
	}
	return steps, nil
}

// walkScenarios returns the scenarios of the walk over some steps, grouped by step.
func walkScenarios(steps []fake.Step, occurrences int) iter.Seq[namedScenario] {
	return func(yield func(namedScenario) bool) {
		for walkCase := range fake.Walk(occurrences) {
			if !slices.Contains(steps, walkCase.Step) {
				continue
			}
			if !yield(namedScenario{name: walkCase.String(), group: string(walkCase.Step), build: walkCase.Scenario}) {
				return
			}
		}
	}
}

// randomScenarios returns the random scenarios of consecutive seeds.
func randomScenarios(firstSeed uint64, count int) iter.Seq[namedScenario] {
	return func(yield func(namedScenario) bool) {
		for i := range uint64(count) {
			seed := firstSeed + i
			scenario := namedScenario{
				name:  fmt.Sprintf("seed %d", seed),
				group: "random",
				build: func() fake.Scenario { return fake.RandomScenario(seed) },
			}
			if !yield(scenario) {
				return
			}
		}
	}
}

// replay runs the scenario in a file and prints its result.
func replay(cmd *cobra.Command, path string, log bool) error {
	s, err := readScenario(path)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	var logf func(string, ...any)
	if log {
		logf = func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	}
	result := s.Run(logf)
	for _, violation := range result.Violations {
		fmt.Fprintln(out, "violation:", violation)
	}
	injected := 0
	for _, wasInjected := range result.Injected {
		if wasInjected {
			injected++
		}
	}
	fmt.Fprintf(out, "%d of %d faults injected; %d starts, %d of them after a confirmed cancellation; ended at %v\n",
		injected, len(result.Injected), result.Starts, result.StartsAfterCancel, result.EndedAt.Round(time.Millisecond))
	if len(result.Violations) > 0 {
		return errViolation
	}
	return nil
}

func readScenario(path string) (fake.Scenario, error) {
	f, err := os.Open(path)
	if err != nil {
		return fake.Scenario{}, err
	}
	defer f.Close() // the file is only read, so an error loses no data
	s, err := fake.ReadScenario(f)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
