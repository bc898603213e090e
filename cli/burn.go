package cli

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/core/burn"
)

// reportFileMode is the file mode of a written report.
const reportFileMode = 0o644

// reportCommand returns `report burn`.
func (a *app) reportCommand() *cobra.Command {
	var path string
	logs := burnLogs{}
	report := &cobra.Command{
		Use:   "burn [--json] [--html FILE] [--logs [FILE]...]",
		Short: "Show how fast each objective's error budget is being used up",
		Long: "Show how fast each objective's error budget is being used up. A burn of 1 would spend\n" +
			"the budget just in time. Alerts: fast (5m and 1h at 14.4 or more), slow (30m and 6h at\n" +
			"6 or more).\n\n" +
			"With --logs the figures come from the logs of front daemons, in files or on standard\n" +
			"input, as of the latest line; the shares that are promised come from the flags.\n\n" + exitHelp,
		RunE: func(cmd *cobra.Command, files []string) error {
			if logs.use {
				return a.reportBurnFromLogs(&logs, files, path)
			}
			if len(files) > 0 {
				return exitWith(ExitUsage, fmt.Errorf("files are read with --logs only"))
			}
			return a.reportBurn(cmd, path)
		},
	}
	logs.flags(report)
	report.Flags().StringVar(&path, "html", "", "also write the report as one HTML file")
	return a.addClientFlags(parentCommand("report", "Reports", report))
}

// fleetBurn is the daemon's JSON report of the burn rates of the whole fleet.
type fleetBurn struct {
	burn.Report
	// NotAnswering names the daemons that did not respond; their counts are missing.
	NotAnswering []string `json:"not_answering"`
	// LogComplete is false until the daemon has read all summaries retained on the log.
	LogComplete bool `json:"log_complete"`
}

// notes returns a note for each part of the fleet's data that the report lacks.
func (f fleetBurn) notes() []string {
	var notes []string
	if len(f.NotAnswering) > 0 {
		notes = append(notes, "not answering, figures missing: "+strings.Join(f.NotAnswering, ", "))
	}
	if !f.LogComplete {
		notes = append(notes, "the summaries kept on the log are not all read yet: figures may be low")
	}
	return notes
}

// reportBurn fetches the report from the daemon and passes it to showBurn.
func (a *app) reportBurn(cmd *cobra.Command, path string) error {
	body, _, err := a.fetch(cmd, call{method: http.MethodGet, path: "/admin/burn"})
	if err != nil {
		return err
	}
	var r fleetBurn
	if err := json.Unmarshal(body, &r); err != nil {
		return exitWith(ExitFailed, fmt.Errorf("cannot decode the daemon's response: %w", err))
	}
	return a.showBurn(r, body, path)
}

// showBurn writes the report to path as an HTML page if path is not empty, and prints
// it. In JSON mode it prints text unchanged.
func (a *app) showBurn(r fleetBurn, text []byte, path string) error {
	if path != "" {
		if err := a.writeBurnPage(path, r); err != nil {
			return failed(err)
		}
	}
	if a.flags.json {
		_, err := a.Out.Write(text)
		return failed(err)
	}
	fmt.Fprintf(a.Out, "as of %s\n", a.timeWithAge(r.AtMs))
	for _, note := range r.notes() {
		fmt.Fprintln(a.Out, note)
	}
	fmt.Fprintln(a.Out)
	a.printBlocks(burnBlocks(r.Report))
	return nil
}

// writeBurnPage writes the report as one HTML file.
func (a *app) writeBurnPage(path string, r fleetBurn) error {
	svg, err := burnPlot(r.Report)
	if err != nil {
		return err
	}
	page, err := htmlPage(pageContent{
		Title:  "Service-level burn",
		At:     formatTime(r.AtMs),
		Notes:  r.notes(),
		Plot:   svg,
		Blocks: burnBlocks(r.Report),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, page, reportFileMode)
}

// burnBlocks returns the report as tables: one row for each objective, and the failure
// reasons of the objectives that have used part of their budget.
func burnBlocks(r burn.Report) []block {
	overview := block{Title: "burn", Header: true, Rows: [][]string{burnHeader(r)}, Marked: map[int]bool{}}
	reasons := block{Title: "reasons in the last 6h", Header: true,
		Rows: [][]string{{"PROFILE", "OBJECTIVE", "TARGET GROUP", "REASON", "COUNT"}}}
	for _, p := range r.Profiles {
		for _, o := range p.Objectives {
			overview.Marked[len(overview.Rows)] = o.Alerting
			overview.Rows = append(overview.Rows, burnRow(p.Profile, o))
			for _, top := range o.TopReasons {
				reasons.Rows = append(reasons.Rows,
					[]string{p.Profile, o.Objective, top.Group, top.Reason, strconv.FormatUint(top.Count, 10)})
			}
		}
	}
	switch {
	case len(overview.Rows) == 1:
		return []block{{Rows: [][]string{{"no profile has an objective"}}}}
	case len(reasons.Rows) == 1:
		return []block{overview}
	default:
		return []block{overview, reasons}
	}
}

// burnHeader returns the column names. The windows are taken from the report's first
// objective; they are the same for all of them.
func burnHeader(r burn.Report) []string {
	header := []string{"PROFILE", "OBJECTIVE", "SHARE"}
	if len(r.Profiles) > 0 && len(r.Profiles[0].Objectives) > 0 {
		for _, w := range r.Profiles[0].Objectives[0].Windows {
			header = append(header, strings.ToUpper(w.Window))
		}
	}
	return append(header, "BUDGET LEFT", "ALERT")
}

// burnRow returns the table row of one objective.
func burnRow(profile string, o burn.ObjectiveReport) []string {
	row := []string{profile, o.Objective, percent(o.Share)}
	for _, w := range o.Windows {
		row = append(row, fmt.Sprintf("%.2f (%d/%d)", w.Burn, w.Bad, w.Total))
	}
	alert := "-"
	if o.Alerting {
		alert = strings.ToUpper(string(o.Alert))
	}
	return append(row, percent(o.BudgetLeft), alert)
}

// percent formats a share as a percentage with four significant digits, or without
// decimals from 1000% on. It never uses an exponent, which would be hard to read for a
// budget that is overspent many times.
func percent(share float64) string {
	const percentPerUnit, noDecimalsFrom = 100, 1000
	value := share * percentPerUnit
	if math.Abs(value) >= noDecimalsFrom {
		return strconv.FormatFloat(value, 'f', 0, 64) + "%"
	}
	return strconv.FormatFloat(value, 'g', 4, 64) + "%"
}
