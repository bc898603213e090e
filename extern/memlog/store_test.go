package memlog_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/extern/memlog"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// naive is the reference model. It keeps every record ever appended, and the first
// offset that has not expired.
type naive struct {
	data  []string
	atMs  []int64
	first int64
}

// read is a simple, slow implementation of the contract of Store.Read.
func (n *naive) read(from int64, maxBytes int) []string {
	var records []string
	size := 0
	for offset := max(from, n.first); offset < int64(len(n.data)); offset++ {
		size += len(n.data[offset])
		if len(records) > 0 && size > maxBytes {
			break
		}
		records = append(records, n.data[offset])
	}
	return records
}

func (n *naive) trimBefore(atMs int64) {
	for n.first < int64(len(n.data)) && n.atMs[n.first] < atMs {
		n.first++
	}
}

// TestStoreAgainstNaive compares offsets, pages and bounds with the reference model
// under any order of appends, reads and trims: offsets are never reused, and expired
// records are never returned.
func TestStoreAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, model, now := memlog.New(), &naive{}, int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				now += rapid.Int64Range(0, 5).Draw(t, "pass")
				data := rapid.StringN(0, 8, 8).Draw(t, "data")
				if got, want := store.Append("s", now, []byte(data)), int64(len(model.data)); got != want {
					t.Fatalf("offset %d, want %d", got, want)
				}
				model.data, model.atMs = append(model.data, data), append(model.atMs, now)
			},
			"trim": func(t *rapid.T) {
				first := rapid.Int64Range(0, int64(len(model.data))+2).Draw(t, "first")
				store.Trim("s", first)
				model.first = max(model.first, min(first, int64(len(model.data))))
			},
			"expire": func(t *rapid.T) {
				before := rapid.Int64Range(0, now+2).Draw(t, "before")
				store.TrimBefore(before)
				model.trimBefore(before)
			},
			"read": func(t *rapid.T) {
				from := rapid.Int64Range(0, int64(len(model.data))+2).Draw(t, "from")
				maxBytes := rapid.IntRange(0, 20).Draw(t, "max")
				page, _ := store.Read("s", from, maxBytes)
				want := model.read(from, maxBytes)
				if len(page.Records) != len(want) {
					t.Fatalf("%d records, want %d", len(page.Records), len(want))
				}
				for i, record := range page.Records {
					if string(record.Data) != want[i] || record.Offset != max(from, model.first)+int64(i) {
						t.Fatalf("record %d is %+v, want %q", i, record, want[i])
					}
				}
			},
			"": func(t *rapid.T) {
				first, next := store.Bounds("s")
				if first != model.first || next != int64(len(model.data)) {
					t.Fatalf("bounds [%d,%d), want [%d,%d)", first, next, model.first, len(model.data))
				}
			},
		})
	})
}
