package cli

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/spf13/cobra"
)

// jobCommand returns `job submit|status|results|cancel`.
func (a *app) jobCommand() *cobra.Command {
	status := a.jobSubcommand("status NAME", "Show a job's counts, due time and forecast", func(cmd *cobra.Command, name string) error {
		return a.showJob(cmd, call{method: http.MethodGet, path: jobPath(name)})
	})
	results := a.jobSubcommand("results NAME", "Print the results so far, one JSON line for each ended item", a.results)
	cancel := a.jobSubcommand("cancel NAME", "Cancel a job; returns once no new item will start", func(cmd *cobra.Command, name string) error {
		return a.showJob(cmd, call{method: http.MethodDelete, path: jobPath(name), mutates: true})
	})
	return a.addClientFlags(parentCommand("job", "Work with batch jobs", a.submitCommand(), status, results, cancel))
}

// jobSubcommand returns a command that has a job's name as its only argument.
func (a *app) jobSubcommand(use, short string, run func(cmd *cobra.Command, name string) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return run(cmd, args[0]) },
	}
}

// submitCommand returns `job submit`.
func (a *app) submitCommand() *cobra.Command {
	var profile string
	cmd := &cobra.Command{
		Use:   "submit NAME FILE --profile P",
		Short: "Submit a job of JSON lines; FILE may be - for the standard input",
		Long: "Submit a job of JSON lines {\"custom_id\",\"url\",\"body\"}. It returns once the job is durable.\n" +
			"Submitting the same job again is the same job; another content under its name is refused.\n\n" + exitHelp,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error { return a.submit(cmd, args[0], args[1], profile) },
	}
	cmd.Flags().StringVar(&profile, "profile", "", "batch profile of the job")
	_ = cmd.MarkFlagRequired("profile")
	return cmd
}

// submit streams the file to the daemon.
func (a *app) submit(cmd *cobra.Command, name, path, profile string) error {
	body := io.NopCloser(a.In)
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		body = file
	}
	defer body.Close()
	a.disableDefaultTimeout(cmd)
	return a.showJob(cmd, call{
		method:  http.MethodPut,
		path:    jobPath(name),
		header:  map[string]string{"Tarragon-Profile": profile, "Content-Type": "application/jsonl"},
		body:    body,
		mutates: true,
	})
}

// disableDefaultTimeout removes the timeout unless --timeout was given, for transfers
// whose duration depends on the job's size.
func (a *app) disableDefaultTimeout(cmd *cobra.Command) {
	if !cmd.Flags().Changed("timeout") {
		a.flags.timeout = 0
	}
}

// results copies the result lines to the output. It returns an error with
// ExitUnreachable if the stream is interrupted or ends with an error line.
func (a *app) results(cmd *cobra.Command, name string) error {
	a.disableDefaultTimeout(cmd)
	resp, cancel, err := a.do(cmd, call{method: http.MethodGet, path: jobPath(name) + "/results"})
	if err != nil {
		return err
	}
	defer cancel()
	defer resp.Body.Close()
	if err := copyResults(a.Out, resp.Body); err != nil {
		return exitWith(ExitUnreachable, fmt.Errorf("the result stream was interrupted, run the command again: %w", err))
	}
	return nil
}

// copyResults copies result lines. A line that is an error ends results that the daemon
// could not continue; it is copied too, and returned as an error.
func copyResults(out io.Writer, body io.Reader) error {
	lines := bufio.NewReader(body)
	for {
		line, readErr := lines.ReadBytes('\n')
		if _, err := out.Write(line); err != nil {
			return err
		}
		if bytes.HasPrefix(line, []byte(`{"error"`)) {
			return fmt.Errorf("the daemon ended it: %s", bytes.TrimSpace(line))
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// jobPath returns the path of a job.
func jobPath(name string) string { return "/v1/jobs/" + url.PathEscape(name) }

// jobStatus is the daemon's JSON of a job; times are Unix milliseconds.
type jobStatus struct {
	Job        string  `json:"job"`
	Profile    string  `json:"profile"`
	State      string  `json:"state"`
	Counts     *counts `json:"counts"`
	AcceptedMs int64   `json:"accepted_ms"`
	DueMs      int64   `json:"due_ms"`
	EndedMs    int64   `json:"ended_ms"`
	ForecastMs int64   `json:"forecast_ms"`
}

// counts are a job's items by state.
type counts struct {
	Items     int `json:"items"`
	Waiting   int `json:"waiting"`
	Running   int `json:"running"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// showJob sends a call whose response is a job's status, and prints the status.
func (a *app) showJob(cmd *cobra.Command, c call) error {
	body, resp, err := a.fetch(cmd, c)
	if err != nil {
		return err
	}
	var flat struct {
		jobStatus
		counts
	}
	if done, err := a.printOrDecode(body, &flat); done || err != nil {
		return err
	}
	if flat.Counts != nil {
		flat.counts = *flat.Counts
	}
	if resp.Request.Method == http.MethodPut && resp.StatusCode == http.StatusOK {
		fmt.Fprintln(a.Out, "the same job was already accepted")
	}
	a.printJob(flat.jobStatus, flat.counts)
	return nil
}

// printJob prints a job's status as a table.
func (a *app) printJob(s jobStatus, n counts) {
	rows := [][]string{
		{"job", s.Job},
		{"profile", s.Profile},
		{"state", s.State},
		{"items", fmt.Sprint(n.Items)},
		{"  completed", fmt.Sprint(n.Completed)},
		{"  failed", fmt.Sprint(n.Failed)},
		{"  cancelled", fmt.Sprint(n.Cancelled)},
		{"  running", fmt.Sprint(n.Running)},
		{"  waiting", fmt.Sprint(n.Waiting)},
		{"accepted", a.timeWithAge(s.AcceptedMs)},
		{"due", a.timeWithAge(s.DueMs)},
	}
	switch {
	case s.EndedMs > 0:
		rows = append(rows, []string{"ended", a.timeWithAge(s.EndedMs)})
	case n.Waiting+n.Running > 0:
		rows = append(rows, []string{"forecast", a.forecast(s)})
	}
	writeTable(a.Out, rows)
}

// forecast returns when the job is expected to finish and how late that is.
func (a *app) forecast(s jobStatus) string {
	if s.ForecastMs == 0 {
		return "unknown"
	}
	text := a.timeWithAge(s.ForecastMs)
	if late := s.ForecastMs - s.DueMs; s.DueMs > 0 && late > 0 {
		text += ", LATE by " + formatDuration(milliseconds(late))
	}
	return text
}
