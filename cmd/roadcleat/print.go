package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"roadcleat/internal/core"
)

// newTable makes a writer that aligns tab-separated columns when it is flushed. Its errors
// show then.
func newTable(out io.Writer) *tabwriter.Writer {
	const minWidth, tabWidth, padding = 0, 4, 2
	return tabwriter.NewWriter(out, minWidth, tabWidth, padding, ' ', 0)
}

// row prints a row of cells, each in its default format.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// ago says how long ago something was; a negative age means never.
func ago(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs ago", seconds)
}

// wholeSeconds prints a duration without a fraction.
func wholeSeconds(seconds float64) string { return fmt.Sprintf("%.0fs", seconds) }

// orNone prints a guarantee or limit, of which 0 means that there is none.
func orNone(amount float64) string {
	if amount == 0 {
		return "none"
	}
	return fmt.Sprintf("%g", amount)
}

// joinReasons prints why replicas wait, shard by shard.
func joinReasons(reasons []core.ShardReason) string {
	var texts []string
	for _, r := range reasons {
		text := r.Detail
		if text == "" {
			text = r.Reason.String()
		}
		texts = append(texts, r.Shard+": "+text)
	}
	return strings.Join(texts, "; ")
}
