package cli

import (
	"bytes"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"tarragonhollow.example/tarragonhollow/core/burn"
)

const (
	// plotWidth and plotHeight are the size of the burn plot.
	plotWidth  = 10 * vg.Inch
	plotHeight = 4 * vg.Inch
	// burnBarWidth is the width of one bar in points.
	burnBarWidth = 9
)

// burnPlot draws the burn rate of every objective in each window as an inline SVG
// picture, so that the page loads no other file. It returns "" if the report has no
// objectives.
func burnPlot(r burn.Report) (template.HTML, error) {
	names, series := burnSeries(r)
	if len(names) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = "burn by window (1 spends the budget just in time)"
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range series {
		bars, err := plotter.NewBarChart(s.values, burnBarWidth)
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Length(i*burnBarWidth) - vg.Length((len(series)-1)*burnBarWidth)/2
		p.Add(bars)
		p.Legend.Add(s.window, bars)
	}
	p.NominalX(names...)
	return inlineSVG(p)
}

// windowSeries is the burn rates of all objectives in one window.
type windowSeries struct {
	window string
	values plotter.Values
}

func burnSeries(r burn.Report) (names []string, series []windowSeries) {
	for _, p := range r.Profiles {
		for _, o := range p.Objectives {
			names = append(names, p.Profile+"\n"+o.Objective)
			for i, w := range o.Windows {
				if i == len(series) {
					series = append(series, windowSeries{window: w.Window})
				}
				series[i].values = append(series[i].values, w.Burn)
			}
		}
	}
	return names, series
}

// inlineSVG renders the plot without the XML header, which is not allowed inside an
// HTML page. The plot library escapes the texts.
func inlineSVG(p *plot.Plot) (template.HTML, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil
}
