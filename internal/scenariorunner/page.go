package scenariorunner

import (
	"bytes"
	"html/template"
	"image/color"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// colours are the line colours of the variants, in order.
var colours = []color.Color{color.RGBA{0x1f, 0x5a, 0xa6, 255}, color.RGBA{0xc4, 0x4e, 0x1c, 255}, color.RGBA{0x2c, 0x7d, 0x4f, 255}, color.RGBA{0x7a, 0x3e, 0x8e, 255}}

// WritePage writes an HTML page with the table, the plots and the timeline of all results.
func WritePage(path, about string, all []*Result) error {
	var table bytes.Buffer
	WriteTable(&table, all)
	data := struct {
		About, Table string
		Plots        []template.HTML
		Steps        []FaultStep
	}{About: about, Table: table.String()}
	if len(all) > 0 {
		data.Steps = all[0].Faults
	}
	for _, p := range []struct {
		title, unit string
		values      func(*Result) []float64
		withDemand  bool
	}{
		{"Connections well served", "connections", func(r *Result) []float64 { return r.Served }, true},
		{"Share of the wanted connections that are well served", "%", func(r *Result) []float64 {
			out := make([]float64, len(r.Served))
			for i := range out {
				if out[i] = 100; r.Demand[i] > 0 {
					out[i] = 100 * r.Served[i] / r.Demand[i]
				}
			}
			return out
		}, false},
	} {
		svg, err := plotOverTime(p.title, p.unit, all, p.values, p.withDemand)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, data); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// plotOverTime plots a quantity over time as SVG, with a curve for each run and a vertical line for
// each step of the timeline. With withDemand it also plots the demand as a dashed curve.
func plotOverTime(title, unit string, all []*Result, valuesOf func(*Result) []float64, withDemand bool) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, false, true
	add := func(values []float64, c color.Color, name string, dashed bool) error {
		points := make(plotter.XYs, len(values))
		for i, v := range values {
			points[i] = plotter.XY{X: float64(i) + 0.5, Y: v}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		l.Color, l.Width = c, vg.Points(1.2)
		if dashed {
			l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(l)
		if name != "" {
			p.Legend.Add(name, l)
		}
		return nil
	}
	colourIndex := map[string]int{}
	for i, r := range all {
		if i == 0 && withDemand {
			if err := add(r.Demand, color.Gray{0x88}, "wanted", true); err != nil {
				return "", err
			}
		}
		name := ""
		if _, ok := colourIndex[r.Variant]; !ok {
			colourIndex[r.Variant], name = len(colourIndex), r.Variant
		}
		if err := add(valuesOf(r), colours[colourIndex[r.Variant]%len(colours)], name, false); err != nil {
			return "", err
		}
	}
	if len(all) > 0 {
		top := p.Y.Max
		for _, s := range all[0].Faults {
			l, err := plotter.NewLine(plotter.XYs{{X: s.At, Y: 0}, {X: s.At, Y: top}})
			if err != nil {
				return "", err
			}
			l.Color, l.Width = color.NRGBA{0xb0, 0x30, 0x30, 0x90}, vg.Points(0.6)
			p.Add(l)
		}
	}
	canvas := vgsvg.New(26*vg.Centimeter, 9*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if i := strings.Index(text, "<svg"); i > 0 { // skip the XML declaration
		text = text[i:]
	}
	return template.HTML(text), nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8">
<title>Scenario</title>
<style>body{font:15px/1.5 sans-serif;margin:2em auto;max-width:70em;padding:0 1em;color:#222}pre{overflow:auto;background:#f5f5f3;padding:1em}svg{max-width:100%;height:auto}li{font-variant-numeric:tabular-nums}</style>
<h1>Scenario</h1>
<p>{{.About}}</p>
{{range .Plots}}{{.}}
{{end}}
<h2>Figures</h2>
<pre>{{.Table}}</pre>
<h2>Timeline</h2>
<ul>{{range .Steps}}<li>{{printf "%.1f" .At}} s: {{.What}}</li>{{end}}</ul>
`))
