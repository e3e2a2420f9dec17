package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"roadcleat/internal/core"
)

// newTable returns a writer that aligns tab-separated columns when it is flushed. Errors of
// earlier writes are returned by Flush.
func newTable(out io.Writer) *tabwriter.Writer {
	const minWidth, tabWidth, padding = 0, 4, 2
	return tabwriter.NewWriter(out, minWidth, tabWidth, padding, ' ', 0)
}

// printRow prints a table row of tab-separated cells, each in its default format.
func printRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// formatAge formats the age of an event in seconds. A negative age means that the event has
// never happened.
func formatAge(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs ago", seconds)
}

// formatSeconds formats a duration rounded to whole seconds.
func formatSeconds(seconds float64) string { return fmt.Sprintf("%.0fs", seconds) }

// formatAmount formats a guarantee or limit. 0 means that there is none.
func formatAmount(amount float64) string {
	if amount == 0 {
		return "none"
	}
	return fmt.Sprintf("%g", amount)
}

// formatReasons formats, shard by shard, the reasons why replicas wait.
func formatReasons(reasons []core.ShardReason) string {
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
