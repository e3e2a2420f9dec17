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

// version is the release version of this binary.
const version = "0.1.0"

// Exit statuses of the command.
const (
	exitOK              = 0
	exitError           = 1
	exitInvalidSettings = 2
	exitStuck           = 3 // `status --stuck-after` has found a stuck queue or service
)

// settingsError wraps an error of the settings, for which the command exits with exitInvalidSettings.
type settingsError struct{ err error }

func (e *settingsError) Error() string { return e.err.Error() }

func (e *settingsError) Unwrap() error { return e.err }

// errMissingConfig is returned if the command line names no settings file of the platform.
var errMissingConfig = errors.New("--config: must be the path of the platform's settings file, got nothing")

// execute runs the command that the arguments name and returns the exit status.
func execute(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err != nil {
		fmt.Fprintln(stderr, "roadcleat:", err)
	}
	return exitStatus(err)
}

// exitStatus returns the exit status for the error of a command.
func exitStatus(err error) int {
	var settingsErr *settingsError
	var stuckErr *stuckError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &settingsErr):
		return exitInvalidSettings
	case errors.As(err, &stuckErr):
		return exitStuck
	default:
		return exitError
	}
}

// settingsPaths holds the values of the flags with the paths of the settings files. An empty
// operator path means that the environment may name the file.
type settingsPaths struct{ platform, operator string }

// load reads and checks both files. All its errors are of type *settingsError.
func (p *settingsPaths) load() (*config.Settings, *config.OperatorConfig, error) {
	if p.platform == "" {
		return nil, nil, &settingsError{errMissingConfig}
	}
	s, err := config.Load(p.platform)
	if err != nil {
		return nil, nil, &settingsError{err}
	}
	o, err := config.LoadOperatorConfig(p.operator)
	if err != nil {
		return nil, nil, &settingsError{err}
	}
	return s, o, nil
}

// queryFlags holds the values of the flags of commands that query a running controller.
type queryFlags struct {
	addr   string
	asJSON bool
}

// register adds the flags to a command.
func (f *queryFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.addr, "addr", "", "the controller's api_addr, HOST:PORT")
	cmd.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
}

// newRootCommand returns the root command, which runs a controller, with its subcommands.
func newRootCommand() *cobra.Command {
	var paths settingsPaths
	root := &cobra.Command{
		Use:           "roadcleat",
		Short:         "A cluster scheduler's controller",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, o, err := paths.load()
			if err != nil {
				return err
			}
			return service.Run(cmd.Context(), s, o, cmd.ErrOrStderr())
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&paths.platform, "config", "", "the platform's settings file (JSON)")
	flags.StringVar(&paths.operator, "operator", "", "the operators' settings file (INI); default: $"+config.OperatorFileEnv)
	root.AddCommand(statusCommand(), explainCommand(), checkCommand(&paths), versionCommand())
	return root
}

// versionCommand returns the command that prints the version.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "roadcleat", version)
			return err
		},
	}
}
