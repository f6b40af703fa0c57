// Package plot draws measurements as SVG.
package plot

import (
	"bufio"
	"encoding/json"
	"image/color"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/havenrudder/havenrudder/measure/control"
	"github.com/havenrudder/havenrudder/measure/policy"
)

const (
	width  = 18 * vg.Centimeter
	height = 9 * vg.Centimeter
)

var colours = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
}

// Bundle draws, from rows of 'measure bundle', the reads of the platform against
// the number of boxes.
func Bundle(rows io.Reader, w io.Writer) error {
	points := make(map[string]plotter.XYs)
	err := lines(rows, func(data []byte) error {
		var r control.BundleRow
		if err := json.Unmarshal(data, &r); err != nil {
			return err
		}
		points[r.Variant] = append(points[r.Variant], plotter.XY{
			X: float64(r.Boxes),
			Y: r.Reads,
		})
		return nil
	})
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = "Reads of the platform, 21,000 changes a day"
	p.X.Label.Text = "boxes"
	p.Y.Label.Text = "reads a second"
	p.Legend.Top = true
	p.Legend.Left = true
	for i, v := range control.Variants() {
		if err := addLine(p, v.Name, points[v.Name], colours[i]); err != nil {
			return err
		}
	}
	return write(p, w)
}

func addLine(p *plot.Plot, name string, xys plotter.XYs, c color.Color) error {
	if len(xys) == 0 {
		return nil
	}
	slices.SortFunc(xys, func(a, b plotter.XY) int { return int(a.X - b.X) })
	line, dots, err := plotter.NewLinePoints(xys)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	line.Color = c
	dots.Color = c
	p.Add(line, dots)
	p.Legend.Add(name, line, dots)
	return nil
}

// compared holds the 99th percentile of ours and of the best baseline for each
// seed of one case.
type compared struct {
	ours map[uint64]float64
	best map[uint64]float64
}

func (c compared) add(r policy.Row) {
	if r.Policy == policy.Policies()[0].Name {
		c.ours[r.Seed] = r.P99
		return
	}
	if old, ok := c.best[r.Seed]; !ok || r.P99 < old {
		c.best[r.Seed] = r.P99
	}
}

// ratio returns the mean over seeds of ours over the mean of the best.
func (c compared) ratio() float64 {
	var ours, best float64
	for seed, v := range c.ours {
		ours += v
		best += c.best[seed]
	}
	return ours / best
}

// Policy draws, from rows of 'measure policy', the 99th percentile of the first
// token of ours over the best baseline's, for each case.
func Policy(rows io.Reader, w io.Writer) error {
	var cases []string
	all := make(map[string]compared)
	err := lines(rows, func(data []byte) error {
		var r policy.Row
		if err := json.Unmarshal(data, &r); err != nil {
			return err
		}
		if _, ok := all[r.Case]; !ok {
			cases = append(cases, r.Case)
			all[r.Case] = compared{
				ours: make(map[uint64]float64),
				best: make(map[uint64]float64),
			}
		}
		all[r.Case].add(r)
		return nil
	})
	if err != nil {
		return err
	}
	var ratios plotter.Values
	for _, c := range cases {
		ratios = append(ratios, all[c].ratio())
	}
	return drawBars(w, cases, ratios)
}

func drawBars(w io.Writer, names []string, values plotter.Values) error {
	p := plot.New()
	p.Title.Text = "First token, 99th percentile, over the best baseline's"
	p.Y.Label.Text = "ours / best baseline"
	bars, err := plotter.NewBarChart(values, vg.Points(18))
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	bars.Color = colours[0]
	p.Add(bars, plotter.NewGrid())
	p.NominalX(names...)
	p.X.Min = -0.5
	p.X.Max = float64(len(names)) - 0.5
	p.Y.Min = 0
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = -1
	return write(p, w)
}

func lines(r io.Reader, f func(data []byte) error) error {
	in := bufio.NewScanner(r)
	for in.Scan() {
		if err := f(in.Bytes()); err != nil {
			return errors.Wrap(err, "plot")
		}
	}
	return errors.Wrap(in.Err(), "plot")
}

func write(p *plot.Plot, w io.Writer) error {
	svg, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	_, err = svg.WriteTo(w)
	return errors.Wrap(err, "plot")
}
