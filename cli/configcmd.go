package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

const configPath = "/admin/config"

// configCommand returns `config show|history|publish|check`.
func (a *app) configCommand() *cobra.Command {
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check an operators' configuration without a server",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := loadConfig(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(a.Out, "%s: configuration with %d profiles and %d target groups is good\n", args[0], len(c.Profiles), len(c.Groups))
			return nil
		},
	}
	show := &cobra.Command{
		Use:   "show",
		Short: "Print the configuration in force; the version is in a comment",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return a.showConfig(cmd) },
	}
	history := &cobra.Command{
		Use:   "history",
		Short: "List the accepted changes, newest first",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return a.showHistory(cmd) },
	}
	return a.addClientFlags(parentCommand("config", "Work with the operators' configuration", show, history, a.publishCommand(), check))
}

// publishCommand returns `config publish`.
func (a *app) publishCommand() *cobra.Command {
	var base uint64
	cmd := &cobra.Command{
		Use:   "publish FILE --base VERSION",
		Short: "Publish a configuration made from VERSION; refused if another change came first",
		Long: "Publish a configuration made from VERSION (0 for the first one). The file is checked\n" +
			"before anything is sent. If another change was accepted since VERSION, nothing is\n" +
			"changed and the winner is named.\n\n" + exitHelp,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return a.publish(cmd, args[0], base) },
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "version that the change was made from, as config show prints it; 0 for the first")
	_ = cmd.MarkFlagRequired("base")
	return cmd
}

// configInfo is the daemon's JSON of a configuration in force.
type configInfo struct {
	Version uint64            `json:"version"`
	Text    string            `json:"text"`
	Applied map[string]uint64 `json:"applied"`
}

// showConfig prints the configuration in a form that can be edited and published: the
// version and the hosts are in a comment.
func (a *app) showConfig(cmd *cobra.Command) error {
	body, _, err := a.fetch(cmd, call{method: http.MethodGet, path: configPath})
	if err != nil {
		return err
	}
	var info configInfo
	if done, err := a.printOrDecode(body, &info); done || err != nil {
		return err
	}
	if info.Version == 0 {
		fmt.Fprintln(a.Out, "# no configuration is published yet: publish the first one with --base 0")
		return nil
	}
	fmt.Fprintf(a.Out, "# version %d, %s\n", info.Version, appliedText(info))
	fmt.Fprintln(a.Out, strings.TrimSuffix(info.Text, "\n"))
	return nil
}

// showHistory prints the accepted changes as a table.
func (a *app) showHistory(cmd *cobra.Command) error {
	body, _, err := a.fetch(cmd, call{method: http.MethodGet, path: configPath + "/history"})
	if err != nil {
		return err
	}
	var changes []struct {
		Version uint64 `json:"version"`
		Author  string `json:"author"`
		AtMs    int64  `json:"at_ms"`
		ID      string `json:"id"`
	}
	if done, err := a.printOrDecode(body, &changes); done || err != nil {
		return err
	}
	rows := [][]string{{"VERSION", "ACCEPTED", "AUTHOR", "ID"}}
	for _, c := range changes {
		rows = append(rows, []string{strconv.FormatUint(c.Version, 10), a.timeWithAge(c.AtMs), c.Author, c.ID})
	}
	writeTable(a.Out, rows)
	return nil
}

// publish checks the file and sends it to the daemon as a change of version base.
func (a *app) publish(cmd *cobra.Command, path string, base uint64) error {
	c, err := loadConfig(path)
	if err != nil {
		return err
	}
	body, _, err := a.fetch(cmd, call{
		method:  http.MethodPut,
		path:    configPath,
		header:  map[string]string{"If-Match": strconv.FormatUint(base, 10), "Content-Type": "text/plain; charset=utf-8"},
		body:    strings.NewReader(c.Text),
		mutates: true,
	})
	if err != nil {
		return err
	}
	var info configInfo
	if done, err := a.printOrDecode(body, &info); done || err != nil {
		return err
	}
	fmt.Fprintf(a.Out, "accepted as version %d, %s\n", info.Version, appliedText(info))
	return nil
}

// appliedText returns on how many hosts a version is in force, and which hosts have an
// older one.
func appliedText(info configInfo) string {
	var lagging []string
	for host, version := range info.Applied {
		if version < info.Version {
			lagging = append(lagging, fmt.Sprintf("%s (%d)", printable(host), version))
		}
	}
	text := fmt.Sprintf("in force on %d of %d hosts", len(info.Applied)-len(lagging), len(info.Applied))
	if len(lagging) > 0 {
		sort.Strings(lagging)
		text += "; not yet on " + strings.Join(lagging, ", ")
	}
	return text
}

// printOrDecode prints the body unchanged in JSON mode and returns done = true;
// otherwise it decodes the body into into.
func (a *app) printOrDecode(body []byte, into any) (done bool, err error) {
	if a.flags.json {
		_, err := a.Out.Write(body)
		return true, failed(err)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return false, exitWith(ExitFailed, fmt.Errorf("cannot decode the daemon's response: %w", err))
	}
	return false, nil
}

// readFile reads a file named on the command line; its errors carry ExitUsage.
func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, exitWith(ExitUsage, err)
	}
	return text, nil
}
