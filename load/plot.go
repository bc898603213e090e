package load

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// addBars adds one series of bars to p, shifted horizontally by offset.
func addBars(p *plot.Plot, name string, values plotter.Values, offset vg.Length, color int) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Offset = offset
	bars.Color = plotutil.Color(color)
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}
