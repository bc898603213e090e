package standinset

import (
	"context"
	"fmt"
	"io"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/logging"
)

// Exit codes of the command.
const (
	// ExitOK means that the command was stopped by a signal.
	ExitOK = 0
	// ExitFailure means that the command could not listen or serve.
	ExitFailure = 1
	// ExitUsage means invalid flags or settings.
	ExitUsage = 2
)

// Main runs the command with its arguments until ctx is done and returns the
// exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newCommand(stdout, stderr)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	if errorx.IsOfType(err, InvalidSettings) {
		fmt.Fprintln(stderr, errorx.Cast(err).Message())
		return ExitUsage
	}
	fmt.Fprintln(stderr, err)
	if errorx.Cast(err) != nil {
		return ExitFailure
	}
	return ExitUsage
}

func newCommand(stdout, stderr io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "tarragonhollow-standin",
		Short:         "Run a stand-in for the platform or a target, for tests and trials",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetOut(stdout)
	root.SetErr(stderr)
	for _, kind := range Kinds {
		root.AddCommand(newKindCommand(kind, stdout, stderr))
	}
	return root
}

// summaries holds the one-line help of each sub-command.
var summaries = map[Kind]string{
	KindLog:        "Run the platform's append-only log",
	KindHosts:      "Run the platform's host list",
	KindWeights:    "Run the platform's weight store",
	KindEngine:     "Run a model engine",
	KindService:    "Run a plain service",
	KindFaultProxy: "Run a TCP proxy that injects faults",
}

func newKindCommand(kind Kind, stdout, stderr io.Writer) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   string(kind) + " --settings FILE",
		Short: summaries[kind],
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := Load(path, kind)
			if err != nil {
				return err
			}
			log, _ := logging.New(stderr, "info")
			return Run(cmd.Context(), kind, settings, stdout, log)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "INI file with a section ["+string(kind)+"]")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err) // only if the flag name differs from the line above
	}
	return cmd
}
