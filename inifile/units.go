package inifile

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// sizeUnits maps the suffixes of sizes to bytes, largest first.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// ParseSize parses a size in bytes: an integer with an optional suffix B, KiB, MiB or
// GiB.
func ParseSize(text string) (int64, error) {
	unit := int64(1)
	digits := text
	for _, u := range sizeUnits {
		if head, ok := strings.CutSuffix(text, u.suffix); ok {
			digits, unit = head, u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a size", text)
	}
	if n > math.MaxInt64/unit || n < math.MinInt64/unit {
		return 0, fmt.Errorf("%q is too large", text)
	}
	return n * unit, nil
}

// FormatSize formats a size in bytes with the largest suffix that divides it.
func FormatSize(n int64) string {
	for _, u := range sizeUnits {
		if n != 0 && u.bytes > 1 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// FormatDuration formats a duration without the zero parts that Duration.String prints:
// 1h instead of 1h0m0s.
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
