package scenariorunner

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"dahliarudder/internal/scenario"
)

// maxPrintedViolations is the number of violations of one run that the table prints.
const maxPrintedViolations = 8

// minCompared is the minimum number of runs of each variant for a verdict on their difference.
const minCompared = 3

// resultTable holds the results by variant.
type resultTable struct {
	variants  []string
	byVariant map[string][]*Result
}

// newResultTable groups results by variant. It omits invalid results, which say nothing about their
// variant, except for the first result.
func newResultTable(all []*Result) *resultTable {
	t := &resultTable{byVariant: map[string][]*Result{}}
	for i, r := range all {
		if r.Invalid != "" && i > 0 {
			continue
		}
		if t.byVariant[r.Variant] == nil {
			t.variants = append(t.variants, r.Variant)
		}
		t.byVariant[r.Variant] = append(t.byVariant[r.Variant], r)
	}
	return t
}

// WriteTable writes a column of figures for each variant, the broken rules, and the invalid runs.
func WriteTable(w io.Writer, all []*Result) {
	t := newResultTable(all)
	if len(t.variants) == 0 {
		return
	}
	t.writeFigures(w, slices.ContainsFunc(all, func(r *Result) bool { return r.Peers != nil }))
	for _, variant := range t.variants {
		t.writeVariantDetails(w, variant)
	}
	worstDelay := 0.0
	for _, r := range all {
		if r.Invalid != "" {
			fmt.Fprintf(w, "%s, repetition %d is INVALID: %s\n", r.Variant, r.Repetition, r.Invalid)
		}
		worstDelay = max(worstDelay, r.RunnerDelay["p99"])
	}
	fmt.Fprintf(w, "\nfirst seed %d; highest p99 delay of the runner itself %.1f ms\n", all[0].Seed, worstDelay)
}

// writeFigures writes a row for each figure: the mean of each variant and, from the second variant
// on, its difference from the first.
func (t *resultTable) writeFigures(w io.Writer, withPeerViews bool) {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(out, "\n")
	for i, variant := range t.variants {
		fmt.Fprintf(out, "\t%s", variant)
		if i > 0 {
			fmt.Fprint(out, "\tdifference\tnoise\t")
		}
	}
	fmt.Fprintln(out)
	for _, f := range figures {
		if f.needsPeerViews && !withPeerViews {
			continue
		}
		fmt.Fprint(out, f.name)
		for i, variant := range t.variants {
			t.writeCell(out, &f, variant, i > 0)
		}
		fmt.Fprintln(out)
	}
	out.Flush()
}

// values returns the values of a figure in all runs of a variant.
func (t *resultTable) values(f *figure, variant string) (out []float64) {
	for _, r := range t.byVariant[variant] {
		out = append(out, f.value(r))
	}
	return out
}

func (t *resultTable) writeCell(out io.Writer, f *figure, variant string, compare bool) {
	first, values := t.values(f, t.variants[0]), t.values(f, variant)
	c := scenario.Compare(first, values)
	fmt.Fprintf(out, "\t%s", formatFigure(c.Mean, f.unit))
	if len(values) > 1 {
		fmt.Fprintf(out, " (%s to %s)", formatFigure(c.Min, ""), formatFigure(c.Max, ""))
	}
	if !compare {
		return
	}
	verdict := "within noise"
	if c.Significant {
		verdict = "above noise"
	}
	if len(values) < minCompared || len(first) < minCompared {
		verdict = "too few runs"
	}
	fmt.Fprintf(out, "\t%s\t%s\t%s", formatFigure(c.Difference, ""), formatFigure(c.Noise, ""), verdict)
}

// writeVariantDetails writes a variant's service by tag, and the rules that its runs broke. The tags
// are those of the first run.
func (t *resultTable) writeVariantDetails(w io.Writer, variant string) {
	results := t.byVariant[variant]
	fmt.Fprintf(w, "\n%s, well served by class, zone and tenant:", variant)
	for _, tag := range slices.Sorted(maps.Keys(results[0].ByTag)) {
		fmt.Fprintf(w, "  %s %.1f%%", tag, 100*results[0].ByTag[tag])
	}
	fmt.Fprintln(w)
	for _, r := range results {
		for i, v := range r.Violations {
			if i == maxPrintedViolations {
				fmt.Fprintf(w, "  and %d more violations\n", len(r.Violations)-i)
				break
			}
			fmt.Fprintf(w, "%s, repetition %d: RULE BROKEN at %.2f s, %s: %s: %s\n",
				variant, r.Repetition, v.At.Seconds(), v.Relay, v.Rule, v.What)
		}
	}
}

// formatFigure formats a number with three significant digits, and its unit.
func formatFigure(v float64, unit string) string {
	text := fmt.Sprintf("%.2f", v)
	if v >= 100 || v <= -100 {
		text = fmt.Sprintf("%.0f", v)
	} else if v >= 10 || v <= -10 {
		text = fmt.Sprintf("%.1f", v)
	}
	if unit == "" || unit == "%" || unit[0] == '/' {
		return text + unit
	}
	return text + " " + unit
}
