package relay

import (
	"testing"

	"tarragonhollow.example/tarragonhollow/target/sse"
)

// Guards against streams that are joined with a hole or with repeated events. Each run is a
// list of event IDs, -1 for an event without one; the last run has the placements wanted.
func TestPlacesEventsOfARun(t *testing.T) {
	const next, repeated, gap, unknown = placeNext, placeRepeated, placeAfterGap, placeUnknown
	for name, c := range map[string]struct {
		before [][]int64
		run    []int64
		want   []placement
	}{
		"first run":                        {nil, []int64{7, 9}, []placement{next, next}},
		"goes on":                          {[][]int64{{0, 1}}, []int64{2, 3}, []placement{next, next}},
		"begins after a gap":               {[][]int64{{0, 1}}, []int64{3}, []placement{gap}},
		"repeats, then goes on":            {[][]int64{{0, 1}}, []int64{0, 1, 2}, []placement{repeated, repeated, next}},
		"repeats, then skips":              {[][]int64{{0, 1}}, []int64{1, 3}, []placement{repeated, gap}},
		"gap after a third run":            {[][]int64{{0}, {1}}, []int64{3}, []placement{gap}},
		"gap behind the first event":       {[][]int64{{1}}, []int64{3}, []placement{gap}},
		"steps of ten":                     {[][]int64{{10, 20}}, []int64{30}, []placement{next}},
		"steps of ten after one event":     {[][]int64{{10}}, []int64{20}, []placement{next}},
		"consecutive from a high ID":       {[][]int64{{10, 11}}, []int64{13}, []placement{gap}},
		"without ID among repeated events": {[][]int64{{0, -1, 1}}, []int64{0, -1, 1, -1, 2}, []placement{repeated, repeated, repeated, next, next}},
		"without ID first, starts over":    {[][]int64{{-1, 0, 1}}, []int64{-1, 0, 1, 2}, []placement{unknown, repeated, repeated, next}},
		"without ID first, goes on":        {[][]int64{{-1, 0, 1}}, []int64{-1, 2}, []placement{unknown, next}},
		"without ID after an ID":           {[][]int64{{0, 1}}, []int64{-1, 2}, []placement{next, next}},
		"own order within a run":           {[][]int64{{0}}, []int64{1, 5}, []placement{next, next}},
	} {
		p := newPosition()
		play := func(ids []int64) (placed []placement) {
			p.beginRun()
			for _, id := range ids {
				e := sse.Event{ID: id, HasData: true}
				place := p.place(e)
				if placed = append(placed, place); place == placeNext {
					p.forwarded(e)
				}
			}
			return placed
		}
		for _, run := range c.before {
			play(run)
		}
		got := play(c.run)
		if len(got) != len(c.want) {
			t.Fatalf("%s: %v", name, got)
		}
		for i := range got {
			if got[i] != c.want[i] {
				t.Errorf("%s: event %d of %v was placed %d, want %d", name, i, c.run, got[i], c.want[i])
			}
		}
	}
}
