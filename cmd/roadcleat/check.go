package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"roadcleat/internal/config"
)

// checkCommand returns the command that checks both settings files and prints a summary.
func checkCommand(paths *settingsPaths) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings and print what is in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, o, err := paths.load()
			if err != nil {
				return err
			}
			return printSettings(cmd.OutOrStdout(), s, o)
		},
	}
}

// printSettings prints a summary of the platform's settings, the warnings, and each of the
// operators' settings, with its effective value if the core limits it to another one.
func printSettings(out io.Writer, s *config.Settings, o *config.OperatorConfig) error {
	w := &firstErrorWriter{out: out}
	d := s.Deployment
	w.printf("controller %s in %s, %d others, %d zones, %d teams\n",
		s.Label, s.Zone, len(s.Peers), len(d.Zones), len(d.Teams))
	w.printf("state service %s: %g requests, %g changes a second\n", s.External.StateServiceAddr, d.StateService.RequestsPerSecond, d.StateService.WritesPerSecond)
	w.printf("cloud %s: %g calls a second\n", s.External.CloudAddr, d.Cloud.RequestsPerSecond)
	w.printf("workers: report %gs, lease %gs, cancel %gs\n",
		d.Workers.HeartbeatSeconds, d.Workers.LeaseSeconds, d.Workers.CancelSeconds)
	for _, warning := range s.Warnings(o) {
		w.printf("warning: %s\n", warning)
	}
	effective := o.Effective(&d.Workers)
	for _, setting := range config.OperatorSettingTable() {
		configured, inEffect := setting.Value(o), setting.Value(effective)
		w.printf("[%s] %s = %s", setting.Section, setting.Key, configured)
		if inEffect != configured {
			w.printf(" (%s in force)", inEffect)
		}
		w.printf("\n")
	}
	return w.err
}

// firstErrorWriter records the first error of several writes and skips all later writes.
type firstErrorWriter struct {
	out io.Writer
	err error
}

func (w *firstErrorWriter) printf(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format, args...)
	}
}
