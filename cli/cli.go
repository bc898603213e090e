// Package cli is the command line: it starts a daemon, checks files without a
// server, and otherwise is a thin HTTP client of one daemon. Output is for
// people by default; --json passes on what the daemon said, byte for byte.
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

// Environment variables that stand for flags.
const (
	// EnvToken stands for --token.
	EnvToken = "TARRAGONHOLLOW_TOKEN"
	// EnvDaemon stands for --daemon.
	EnvDaemon = "TARRAGONHOLLOW_DAEMON"
	// EnvCaller stands for --caller.
	EnvCaller = "TARRAGONHOLLOW_CALLER"
)

// TryOptions is what `try` is asked for.
type TryOptions struct {
	// Deployment is da-nang or isarwerk.
	Deployment string
	// Stay keeps the fleet running without load until the context is done.
	Stay bool
	// Out takes the progress and the last line, Err the logs.
	Out io.Writer
	Err io.Writer
}

// Programs are the parts that the command line starts but does not contain.
type Programs struct {
	// Serve runs a daemon until ctx is done and then stops it gracefully.
	Serve func(ctx context.Context, s *settings.Settings) error
	// Front runs a daemon that serves routes on a platform, by the settings file
	// at path, until ctx is done and then stops it gracefully.
	Front func(ctx context.Context, path string) error
	// Try runs the demonstration; an error means that an item was lost or
	// doubled, or that it could not run.
	Try func(ctx context.Context, o TryOptions) error
}

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app is what the commands share.
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

// ExecuteOn is Execute on given streams; ctx takes the place of the signals.
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

// rootCommand builds the tree of commands.
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

// group returns a command that only holds others.
func group(use, short string, children ...*cobra.Command) *cobra.Command {
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
