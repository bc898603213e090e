package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// columnGap is the minimum number of spaces between columns.
const columnGap = 2

// writeTable writes rows as aligned columns.
func writeTable(w io.Writer, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = printable(cell)
		}
		fmt.Fprintln(tw, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	}
	_ = tw.Flush()
}

// printable replaces all control characters except line feeds. Names and messages contain
// text from callers, and an escape sequence in it could manipulate the operator's
// terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || !unicode.IsControl(r) {
			return r
		}
		return unicode.ReplacementChar
	}, text)
}

// trimZero removes zero seconds from the end of a formatted duration.
func trimZero(text string) string {
	if strings.HasSuffix(text, "m0s") {
		return strings.TrimSuffix(text, "0s")
	}
	return text
}
