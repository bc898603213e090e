package cli

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/settings"
)

// frontCommand returns `front`.
func (a *app) frontCommand() *cobra.Command {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "front --settings FILE [--check]",
		Short: "Run one daemon that serves routes on the platform until SIGTERM, then stop gracefully",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadFront(path)
			if err != nil {
				return exitWith(ExitUsage, frontSettingsError(err))
			}
			if checkOnly {
				fmt.Fprintf(a.Out, "%s: settings of host %s in zone %s are good\n", path, s.Host, s.Zone)
				return nil
			}
			if a.programs.Front == nil {
				return exitWith(ExitFailed, errors.New("front: no daemon is linked into this program"))
			}
			return failed(a.programs.Front(cmd.Context(), path))
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file (INI)")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "only check the settings")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// frontSettingsError returns err, reduced to its settings problems (file, section and
// key) if it has any.
func frontSettingsError(err error) error {
	if problems := settings.Problems(err); problems != nil {
		return problems
	}
	return err
}
