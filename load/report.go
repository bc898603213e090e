package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// tableHead is the header of the table. A ratio is relative to the arm's base; the
// brackets after it hold the lowest and highest ratio of single rounds. share is relative
// to batch load alone, idle_share to the idle capacity.
const tableHead = "arm\tsent\tfailed\tttft_p50_ms\tttft_p99_ms\tratio\tgap_p50_ms\tgap_p99_ms\tratio\tbatch_items/s\tshare\tidle_share\t"

// WriteTable writes the results as a table. It shows each arm's online tail latency also
// as a ratio to its base, by default the first arm that sends online load only, and its
// batch throughput as a share of the first arm that sends batch load only and of the
// idle capacity.
func WriteTable(w io.Writer, results []Result) error {
	capacity := capacityOf(results)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, tableHead)
	for _, r := range results {
		f := r.Summary
		base := baseOf(results, r.Arm)
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.1f\t%.1f\t%s\t%.1f\t%.1f\t%s\t%.1f\t%s\t%s\t\n",
			r.Arm.Name, f.Sent, f.Failed,
			f.FirstTokenP50, f.FirstTokenP99, ratioWithRange(r, base, func(f Summary) float64 { return f.FirstTokenP99 }),
			f.InterTokenP50, f.InterTokenP99, ratioWithRange(r, base, func(f Summary) float64 { return f.InterTokenP99 }),
			f.BatchPerSecond, ratio(f.BatchPerSecond, capacity),
			ratio(f.BatchPerSecond, IdleCapacity(capacity, f)))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		if r.Summary.FirstError != "" {
			fmt.Fprintf(w, "arm %s: a failed request: %s\n", r.Arm.Name, r.Summary.FirstError)
		}
	}
	return nil
}

// IdleCapacity returns the batch throughput that the online load leaves available, in
// items a second. Prompts and answers of requests and items are of the same lengths, so
// each answered request uses the capacity of one item.
func IdleCapacity(batchAlone float64, f Summary) float64 {
	return max(batchAlone-f.OnlinePerSecond, 0)
}

func capacityOf(results []Result) float64 {
	for _, r := range results {
		if r.Arm.Batch && !r.Arm.Online {
			return r.Summary.BatchPerSecond
		}
	}
	return 0
}

// baseOf returns the result of the arm's base, or an empty result if there is none.
func baseOf(results []Result, arm Arm) Result {
	for _, r := range results {
		if arm.Base == r.Arm.Name || arm.Base == "" && r.Arm.Online && !r.Arm.Batch && !r.Arm.Direct {
			return r
		}
	}
	return Result{}
}

// ratioWithRange formats the ratio over all rounds and the range over single rounds.
func ratioWithRange(r, base Result, of func(Summary) float64) string {
	all := ratio(of(r.Summary), of(base.Summary))
	if all == noRatio || len(r.Rounds) < 2 || len(base.Rounds) != len(r.Rounds) {
		return all
	}
	low, high := math.Inf(1), 0.0
	for i, f := range r.Rounds {
		one := of(f) / of(base.Rounds[i])
		low, high = min(low, one), max(high, one)
	}
	return fmt.Sprintf("%s [%.2f-%.2f]", all, low, high)
}

// noRatio is printed in place of a ratio if there is nothing to compare with.
const noRatio = "-"

func ratio(v, base float64) string {
	if base <= 0 || v <= 0 {
		return noRatio
	}
	return strconv.FormatFloat(v/base, 'f', 3, 64)
}

// WriteCSV writes one line per arm.
func WriteCSV(w io.Writer, results []Result) error {
	out := csv.NewWriter(w)
	header := []string{"arm", "settings", "online", "batch", "sent", "failed",
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
	f := r.Summary
	settings := make([]string, len(r.Arm.Settings))
	for i, s := range r.Arm.Settings {
		settings[i] = s.Key + "=" + s.Value
	}
	line := []string{r.Arm.Name, strings.Join(settings, " "),
		strconv.FormatBool(r.Arm.Online), strconv.FormatBool(r.Arm.Batch),
		strconv.Itoa(f.Sent), strconv.Itoa(f.Failed)}
	for _, v := range []float64{f.FirstTokenP50, f.FirstTokenP99, f.InterTokenP50, f.InterTokenP99, f.TotalP50, f.TotalP99} {
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

// WritePlot writes a PNG with the online tail latencies of all arms side by side.
func WritePlot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "online tail by arm"
	p.Y.Label.Text = "milliseconds (p99)"
	var names []string
	first := make(plotter.Values, 0, len(results))
	interToken := make(plotter.Values, 0, len(results))
	for _, r := range results {
		if !r.Arm.Online {
			continue
		}
		names = append(names, r.Arm.Name)
		first = append(first, r.Summary.FirstTokenP99)
		interToken = append(interToken, r.Summary.InterTokenP99)
	}
	if len(names) == 0 {
		return nil
	}
	if err := addBars(p, "first token", first, -barWidth/2, 0); err != nil {
		return err
	}
	if err := addBars(p, "between tokens", interToken, barWidth/2, 2); err != nil {
		return err
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, path)
}
