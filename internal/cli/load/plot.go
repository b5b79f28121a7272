package load

import (
	"errors"
	"math"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"citronrock.example/citronrock/internal/bench/load"
)

// Size of a plot.
const (
	width  = 20 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// minMillis is the left end of the logarithmic axis, in milliseconds. Shorter times are
// drawn there, as the axis has no zero.
const minMillis = 0.1

// plotFirstToken writes a PNG with, for each class, the cumulative distribution of the
// time to the first token or, for plain services, to the answer.
func plotFirstToken(file string, r *load.Result) error {
	p := plot.New()
	p.Title.Text = "Time to the first token or answer"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of answers"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	for i, name := range r.ClassNames() {
		points := cumulative(r.Classes[name].FirstBins)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.StepStyle = plotter.PostStep
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	if p.X.Min >= p.X.Max {
		p.X.Min, p.X.Max = minMillis, max(1, p.X.Max)
	}
	c, err := p.WriterTo(width, height, "png")
	if err != nil {
		return err
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	_, err = c.WriteTo(f)
	return errors.Join(err, f.Close())
}

// cumulative returns the cumulative distribution of a histogram, whose bins are pairs of
// a value in milliseconds and a count, in ascending order.
func cumulative(bins [][2]float64) plotter.XYs {
	total, sum := 0.0, 0.0
	for _, b := range bins {
		total += b[1]
	}
	var out plotter.XYs
	for _, b := range bins {
		sum += b[1]
		out = append(out, plotter.XY{X: math.Max(minMillis, b[0]), Y: sum / total})
	}
	return out
}
