package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteTable writes the results for people, each arm's tail also as a ratio to
// the first arm that sends online load only, and its batch throughput as a
// share of the first arm that sends batch load only.
func WriteTable(w io.Writer, results []Result) error {
	base, capacity := baselines(results)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "arm\tsent\tfailed\tttft_p50_ms\tttft_p99_ms\tratio\tgap_p50_ms\tgap_p99_ms\tratio\tbatch_items/s\tshare\t")
	for _, r := range results {
		f := r.Figures
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.1f\t%.1f\t%s\t%.1f\t%.1f\t%s\t%.1f\t%s\t\n",
			r.Arm.Name, f.Sent, f.Failed,
			f.FirstTokenP50, f.FirstP99, ratio(f.FirstP99, base.FirstP99),
			f.BetweenP50, f.BetweenP99, ratio(f.BetweenP99, base.BetweenP99),
			f.BatchPerSecond, ratio(f.BatchPerSecond, capacity.BatchPerSecond))
	}
	return tw.Flush()
}

func baselines(results []Result) (online, batch Figures) {
	for _, r := range results {
		if r.Arm.Online && !r.Arm.Batch && online.Sent == 0 {
			online = r.Figures
		}
		if r.Arm.Batch && !r.Arm.Online && batch.BatchCompleted == 0 {
			batch = r.Figures
		}
	}
	return online, batch
}

func ratio(v, base float64) string {
	if base <= 0 || v <= 0 {
		return "-"
	}
	return strconv.FormatFloat(v/base, 'f', 3, 64)
}

// WriteCSV writes one line per arm.
func WriteCSV(w io.Writer, results []Result) error {
	out := csv.NewWriter(w)
	header := []string{"arm", "policy", "online", "batch", "sent", "failed",
		"ttft_p50_ms", "ttft_p99_ms", "gap_p50_ms", "gap_p99_ms", "total_p50_ms", "total_p99_ms",
		"batch_completed", "batch_items_per_second", "seconds"}
	if err := out.Write(header); err != nil {
		return err
	}
	for _, r := range results {
		if err := out.Write(csvLine(r)); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func csvLine(r Result) []string {
	f := r.Figures
	line := []string{r.Arm.Name, r.Arm.Policy,
		strconv.FormatBool(r.Arm.Online), strconv.FormatBool(r.Arm.Batch),
		strconv.Itoa(f.Sent), strconv.Itoa(f.Failed)}
	for _, v := range []float64{f.FirstTokenP50, f.FirstP99, f.BetweenP50, f.BetweenP99, f.TotalP50, f.TotalP99} {
		line = append(line, strconv.FormatFloat(v, 'f', 2, 64))
	}
	return append(line, strconv.Itoa(f.BatchCompleted),
		strconv.FormatFloat(f.BatchPerSecond, 'f', 2, 64),
		strconv.FormatFloat(f.RoundSeconds, 'f', 1, 64))
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 14
)

// WritePlot writes a PNG with the tails of all arms side by side.
func WritePlot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "online tail by arm"
	p.Y.Label.Text = "milliseconds (p99)"
	var names []string
	first := make(plotter.Values, 0, len(results))
	between := make(plotter.Values, 0, len(results))
	for _, r := range results {
		if !r.Arm.Online {
			continue
		}
		names = append(names, r.Arm.Name)
		first = append(first, r.Figures.FirstP99)
		between = append(between, r.Figures.BetweenP99)
	}
	if len(names) == 0 {
		return nil
	}
	if err := addBars(p, "first token", first, -barWidth/2, 0); err != nil {
		return err
	}
	if err := addBars(p, "between tokens", between, barWidth/2, 2); err != nil {
		return err
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, path)
}
