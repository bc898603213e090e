package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// columnGap is the least space between columns.
const columnGap = 2

// table writes aligned columns.
func table(w io.Writer, rows [][]string) {
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

// printable replaces control characters but line ends. Names and messages hold
// what callers sent: an escape sequence in them could rewrite the operator's
// terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || !unicode.IsControl(r) {
			return r
		}
		return unicode.ReplacementChar
	}, text)
}

// trimZero drops the zero seconds of a duration's text.
func trimZero(text string) string {
	if strings.HasSuffix(text, "m0s") {
		return strings.TrimSuffix(text, "0s")
	}
	return text
}
