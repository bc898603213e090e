package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/logging"
)

// statusCommand returns `status`.
func (a *app) statusCommand() *cobra.Command {
	return a.addClientFlags(&cobra.Command{
		Use:   "status",
		Short: "Show the daemon's view of the fleet",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return a.show(cmd, "/admin/status") },
	})
}

// show fetches a JSON document and prints it as tables, or unchanged in JSON mode.
func (a *app) show(cmd *cobra.Command, path string) error {
	body, _, err := a.fetch(cmd, call{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	var doc document
	if done, err := a.printOrDecode(body, &doc); done || err != nil {
		return err
	}
	a.printBlocks(a.blocks("", doc.root))
	return nil
}

// logLevelCommand returns `log-level`.
func (a *app) logLevelCommand() *cobra.Command {
	return a.addClientFlags(&cobra.Command{
		Use:       "log-level debug|info|warn|error",
		Short:     "Change the level of the daemon's log until it restarts",
		ValidArgs: logging.Levels,
		Args:      cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !slices.Contains(logging.Levels, args[0]) {
				return usageError("invalid argument %q; allowed: %s", args[0], strings.Join(logging.Levels, ", "))
			}
			body, err := json.Marshal(map[string]string{"level": args[0]})
			if err != nil {
				return failed(err)
			}
			return a.sendChange(cmd, call{method: http.MethodPut, path: "/admin/log-level", body: bytes.NewReader(body),
				header: map[string]string{"Content-Type": "application/json"}, mutates: true}, "log level is "+args[0])
		},
	})
}

// drainCommand returns `drain`.
func (a *app) drainCommand() *cobra.Command {
	return a.addClientFlags(&cobra.Command{
		Use:   "drain",
		Short: "Begin a graceful stop of the daemon",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.sendChange(cmd, call{method: http.MethodPost, path: "/admin/drain", mutates: true}, "the daemon is draining")
		},
	})
}

// sendChange sends a call that changes the daemon's state. It prints message on success,
// or the daemon's JSON in JSON mode.
func (a *app) sendChange(cmd *cobra.Command, c call, message string) error {
	body, _, err := a.fetch(cmd, c)
	if err != nil {
		return err
	}
	if a.flags.json {
		_, err = a.Out.Write(body)
		return failed(err)
	}
	fmt.Fprintln(a.Out, message)
	return nil
}
