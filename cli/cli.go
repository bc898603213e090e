// Package cli implements the command line. It starts a daemon, checks files without a
// server, reads daemons' logs, and otherwise is a thin HTTP client of one daemon. Output
// is human-readable by default; --json prints the daemon's response byte for byte.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/settings"
)

// Environment variables that are used in place of flags.
const (
	// EnvToken is the variable for --token.
	EnvToken = "TARRAGONHOLLOW_TOKEN"
	// EnvDaemon is the variable for --daemon.
	EnvDaemon = "TARRAGONHOLLOW_DAEMON"
	// EnvCaller is the variable for --caller.
	EnvCaller = "TARRAGONHOLLOW_CALLER"
)

// TryOptions are the options of `try`.
type TryOptions struct {
	// Deployment is da-nang or isarwerk.
	Deployment string
	// Stay keeps the fleet running without load until the context is done.
	Stay bool
	// Out receives the progress and the last line, Err the logs.
	Out io.Writer
	Err io.Writer
}

// Programs are the entry points of the programs that the command line starts. A nil
// entry is not available.
type Programs struct {
	// Serve runs a daemon until ctx is done and then stops it gracefully.
	Serve func(ctx context.Context, s *settings.Settings) error
	// Front runs a daemon that serves routes on a platform, with the settings file at
	// path, until ctx is done and then stops it gracefully.
	Front func(ctx context.Context, path string) error
	// Try runs the demonstration. It returns an error if an item was lost or doubled,
	// or if the demonstration could not run.
	Try func(ctx context.Context, o TryOptions) error
}

// Streams are the input and output streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app holds the state that all commands share.
type app struct {
	programs Programs
	Streams
	now   func() time.Time
	flags clientFlags
}

// Execute runs the command line of args (without the program's name) on the
// standard streams and returns the exit code. SIGINT and SIGTERM begin a
// graceful stop; a second one ends the process at once.
func Execute(programs Programs, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	return ExecuteOn(ctx, programs, args, Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}

// ExecuteOn is like Execute, but uses the given streams and stops when ctx is done
// instead of on a signal.
func ExecuteOn(ctx context.Context, programs Programs, args []string, streams Streams) int {
	a := &app{programs: programs, Streams: streams, now: time.Now}
	root := a.rootCommand()
	root.SetArgs(args)
	root.SetIn(streams.In)
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(streams.Err, printable(err.Error()))
	}
	return exitCode(err)
}

// rootCommand returns the root command with all subcommands.
func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "tarragonhollow",
		Short:         "Serve online requests and batch jobs on one fleet of targets",
		Long:          "Serve online requests and batch jobs on one fleet of targets.\n\n" + exitHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_ = cmd.Help()
			return usageError("a command is required")
		},
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(a.serveCommand(), a.frontCommand(), a.explainCommand(), a.tryCommand(), a.settingsCommand(), a.configCommand(), a.jobCommand(),
		a.statusCommand(), a.reportCommand(), a.logLevelCommand(), a.drainCommand())
	return root
}

// parentCommand returns a command that only groups subcommands.
func parentCommand(use, short string, children ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_ = cmd.Help()
			return usageError("%s: a command is required", use)
		},
	}
	cmd.AddCommand(children...)
	return cmd
}
