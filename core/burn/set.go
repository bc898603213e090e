package burn

import (
	"cmp"
	"slices"
)

// Summary holds all or some of the cells that one host incarnation counted.
type Summary struct {
	// Source is the id of the host incarnation; no other one counts under it.
	Source string   `json:"source" msgpack:"h"`
	Series []Series `json:"series" msgpack:"s"`
}

// Series holds the cells of one profile and target group.
type Series struct {
	Profile string `json:"profile" msgpack:"p"`
	Group   string `json:"group" msgpack:"g"`
	Cells   []Cell `json:"cells" msgpack:"c"`
}

// Coarse returns the summary without its fine cells, for the log.
func (s Summary) Coarse() Summary {
	out := Summary{Source: s.Source}
	for _, series := range s.Series {
		cells := slices.DeleteFunc(slices.Clone(series.Cells), func(c Cell) bool { return c.Scale == Fine })
		if len(cells) > 0 {
			out.Series = append(out.Series, Series{Profile: series.Profile, Group: series.Group, Cells: cells})
		}
	}
	return out
}

// seriesKey identifies a series across sources.
type seriesKey struct{ source, profile, group string }

// cellKey identifies a cell in its series.
type cellKey struct {
	scale Scale
	index int64
}

// Set holds merged summaries. It is not safe for concurrent use.
type Set struct {
	series map[seriesKey]map[cellKey]*Cell
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{series: make(map[seriesKey]map[cellKey]*Cell)} }

// Merge merges a summary into the set. Merging is commutative and idempotent. Cells of an
// unknown scale are ignored.
func (s *Set) Merge(summary Summary) {
	for _, series := range summary.Series {
		key := seriesKey{source: summary.Source, profile: series.Profile, group: series.Group}
		for _, cell := range series.Cells {
			if cell.Scale < 0 || cell.Scale >= scales {
				continue
			}
			s.cell(key, cellKey{scale: cell.Scale, index: cell.Index}).merge(cell)
		}
	}
}

// cell returns the cell with the key and creates it if necessary.
func (s *Set) cell(key seriesKey, at cellKey) *Cell {
	cells, ok := s.series[key]
	if !ok {
		cells = make(map[cellKey]*Cell)
		s.series[key] = cells
	}
	cell, ok := cells[at]
	if !ok {
		cell = &Cell{Scale: at.scale, Index: at.index}
		cells[at] = cell
	}
	return cell
}

// Prune removes the cells that no window reaches back to any more, and with them the hosts
// that were removed long ago. Call it every few minutes.
func (s *Set) Prune(nowMs int64) {
	for key, cells := range s.series {
		for at := range cells {
			if expired(at.scale, at.index, nowMs) {
				delete(cells, at)
			}
		}
		if len(cells) == 0 {
			delete(s.series, key)
		}
	}
}

// Summaries returns the whole set, one summary per source, sorted by source.
func (s *Set) Summaries() []Summary {
	return s.collect(func(seriesKey, cellKey) bool { return true })
}

// collect returns copies of the cells for which keep returns true, as Summaries does.
func (s *Set) collect(keep func(seriesKey, cellKey) bool) []Summary {
	keys := make([]seriesKey, 0, len(s.series))
	for key := range s.series {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b seriesKey) int {
		return cmp.Or(cmp.Compare(a.source, b.source), cmp.Compare(a.profile, b.profile), cmp.Compare(a.group, b.group))
	})
	var out []Summary
	for _, key := range keys {
		cells := s.cells(key, keep)
		if len(cells) == 0 {
			continue
		}
		if len(out) == 0 || out[len(out)-1].Source != key.source {
			out = append(out, Summary{Source: key.source})
		}
		last := &out[len(out)-1]
		last.Series = append(last.Series, Series{Profile: key.profile, Group: key.group, Cells: cells})
	}
	return out
}

// cells returns sorted copies of the cells of a series for which keep returns true.
func (s *Set) cells(key seriesKey, keep func(seriesKey, cellKey) bool) []Cell {
	var out []Cell
	for at, cell := range s.series[key] {
		if keep(key, at) {
			out = append(out, cell.clone())
		}
	}
	slices.SortFunc(out, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Scale, b.Scale), cmp.Compare(a.Index, b.Index))
	})
	return out
}
