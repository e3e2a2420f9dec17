package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"roadcleat/internal/config"
	"roadcleat/internal/service"
)

// version is the release this binary belongs to.
const version = "0.1.0"

// Exit statuses beside 0 and 1: wrong settings ended the start; status found something
// that has waited too long.
const (
	exitSettings = 2
	exitStuck    = 3
)

// settingsError marks errors of the settings.
type settingsError struct{ error }

func (e settingsError) Unwrap() error { return e.error }

// execute runs the command line and returns the exit status.
func execute(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "roadcleat:", err)
	if errors.As(err, new(settingsError)) {
		return exitSettings
	}
	if errors.As(err, new(stuckError)) {
		return exitStuck
	}
	return 1
}

func newRoot() *cobra.Command {
	var configPath, operatorPath string
	load := func() (*config.Settings, *config.Operator, error) {
		if configPath == "" {
			return nil, nil, settingsError{errors.New("--config: a settings file is needed")}
		}
		s, err := config.Load(configPath)
		if err != nil {
			return nil, nil, settingsError{err}
		}
		o, err := config.LoadOperator(operatorPath)
		if err != nil {
			return nil, nil, settingsError{err}
		}
		return s, o, nil
	}
	root := &cobra.Command{
		Use: "roadcleat", Short: "A cluster scheduler's controller",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, o, err := load()
			if err != nil {
				return err
			}
			return service.Run(cmd.Context(), s, o, cmd.ErrOrStderr())
		},
	}
	root.PersistentFlags().StringVar(&configPath, "config", "", "the platform's settings file (JSON)")
	root.PersistentFlags().StringVar(&operatorPath, "operator", "", "the operators' settings file (INI); default: $"+config.OperatorEnv)
	root.AddCommand(statusCommand(), explainCommand(), &cobra.Command{
		Use: "check", Short: "Check the settings and print what is in force", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, o, err := load()
			if err != nil {
				return err
			}
			return printSettings(cmd.OutOrStdout(), s, o)
		},
	}, &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "roadcleat", version)
			return err
		},
	})
	return root
}

func printSettings(w io.Writer, s *config.Settings, o *config.Operator) error {
	d := s.Deployment
	if _, err := fmt.Fprintf(w, "controller %s in %s, %d others, %d zones, %d teams\nstate service %s: %g requests, %g changes a second\ncloud %s: %g calls a second\nworkers: report %gs, lease %gs, cancel %gs\n",
		s.Label, s.Location, len(s.Others), len(d.Zones), len(d.Teams), s.External.State, d.State.RPS, d.State.WriteRPS,
		s.External.Cloud, d.Cloud.RPS, d.Workers.HeartbeatSeconds, d.Workers.LeaseSeconds, d.Workers.CancelSeconds); err != nil {
		return err
	}
	for _, warning := range s.Warnings(o) {
		if _, err := fmt.Fprintln(w, "warning:", warning); err != nil {
			return err
		}
	}
	inForce := o.Effective(&d.Workers)
	for _, k := range config.OperatorSettings() {
		note := ""
		if v := k.Value(inForce); v != k.Value(o) {
			note = " (" + v + " in force)"
		}
		if _, err := fmt.Fprintf(w, "[%s] %s = %s%s\n", k.Section, k.Key, k.Value(o), note); err != nil {
			return err
		}
	}
	return nil
}
