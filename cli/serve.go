package cli

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/settings"
)

// deployments are the allowed values of try --deployment.
var deployments = []string{"da-nang", "isarwerk"}

// serveCommand returns `serve`.
func (a *app) serveCommand() *cobra.Command {
	var path string
	var overrides []string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE [--set section.key=value]...",
		Short: "Run one daemon until SIGTERM or SIGINT, then stop gracefully",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(path, overrides)
			if err != nil {
				return err
			}
			if a.programs.Serve == nil {
				return exitWith(ExitFailed, fmt.Errorf("serve: no daemon is linked into this program"))
			}
			return failed(a.programs.Serve(cmd.Context(), s))
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file (INI)")
	cmd.Flags().StringArrayVar(&overrides, "set", nil, "override one setting: section.key=value (repeatable)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// tryCommand returns `try`.
func (a *app) tryCommand() *cobra.Command {
	deployment := deployments[0]
	stay := false
	cmd := &cobra.Command{
		Use:   "try [--deployment da-nang|isarwerk] [--stay]",
		Short: "Run a small fleet in this process, kill a daemon and count what was lost or doubled",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !slices.Contains(deployments, deployment) {
				return usageError("--deployment = %q; allowed: %s", deployment, strings.Join(deployments, ", "))
			}
			if a.programs.Try == nil {
				return exitWith(ExitFailed, fmt.Errorf("try: no demonstration is linked into this program"))
			}
			options := TryOptions{Deployment: deployment, Stay: stay, Out: a.Out, Err: a.Err}
			return failed(a.programs.Try(cmd.Context(), options))
		},
	}
	cmd.Flags().StringVar(&deployment, "deployment", deployment, "da-nang or isarwerk")
	cmd.Flags().BoolVar(&stay, "stay", false, "send nothing; keep the fleet running until Ctrl-C")
	return cmd
}

// settingsCommand returns `settings check`.
func (a *app) settingsCommand() *cobra.Command {
	var overrides []string
	check := &cobra.Command{
		Use:   "check FILE [--set section.key=value]...",
		Short: "Check a daemon's settings without a server",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := loadSettings(args[0], overrides)
			if err != nil {
				return err
			}
			fmt.Fprintf(a.Out, "%s: settings of host %s in zone %s are good\n", args[0], s.Host.Name, s.Host.Zone)
			return nil
		},
	}
	check.Flags().StringArrayVar(&overrides, "set", nil, "override one setting: section.key=value (repeatable)")
	return parentCommand("settings", "Work with a daemon's settings", check)
}

// loadSettings loads a settings file with overrides; its errors carry ExitUsage.
func loadSettings(path string, overrides []string) (*settings.Settings, error) {
	s, err := settings.Load(path, overrides)
	if problems := settings.Problems(err); problems != nil {
		return nil, exitWith(ExitUsage, problems)
	}
	if err != nil {
		return nil, exitWith(ExitUsage, err)
	}
	return s, nil
}

// loadConfig reads and checks a configuration file; its errors carry ExitUsage.
func loadConfig(path string) (*config.Config, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	c, err := config.ParseFile(path, string(text))
	if err != nil {
		return nil, exitWith(ExitUsage, err)
	}
	return c, nil
}

// failed returns err with ExitFailed as its exit code, or nil if err is nil.
func failed(err error) error {
	if err == nil {
		return nil
	}
	return exitWith(ExitFailed, err)
}
