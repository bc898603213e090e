package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// document is a JSON value whose objects keep the order of their fields, so that a
// report is printed in the order in which the daemon wrote it.
type document struct {
	root node
}

// node is one value: an object (fields), an array (items) or a scalar (text).
type node struct {
	kind   nodeKind
	names  []string
	values []node
	text   string
}

type nodeKind int

const (
	scalar nodeKind = iota
	object
	array
)

// UnmarshalJSON implements json.Unmarshaler.
func (d *document) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	root, err := readNode(decoder)
	d.root = root
	return err
}

// readNode decodes the next value.
func readNode(decoder *json.Decoder) (node, error) {
	token, err := decoder.Token()
	if err != nil {
		return node{}, err
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return node{text: scalarText(token)}, nil
	}
	n := node{kind: array}
	if delim == '{' {
		n.kind = object
	}
	for decoder.More() {
		if n.kind == object {
			name, err := decoder.Token()
			if err != nil {
				return n, err
			}
			n.names = append(n.names, fmt.Sprint(name))
		}
		value, err := readNode(decoder)
		if err != nil {
			return n, err
		}
		n.values = append(n.values, value)
	}
	_, err = decoder.Token()
	return n, err
}

func scalarText(token json.Token) string {
	if token == nil {
		return "-"
	}
	return fmt.Sprint(token)
}

// field returns the named field of an object.
func (n node) field(name string) (node, bool) {
	for i, candidate := range n.names {
		if candidate == name {
			return n.values[i], true
		}
	}
	return node{}, false
}

// flat returns the value as one line of text, for a table cell.
func (n node) flat(a *app, name string) string {
	switch n.kind {
	case scalar:
		return a.scalarFor(name, n.text)
	case array:
		parts := make([]string, len(n.values))
		for i, v := range n.values {
			parts[i] = v.flat(a, name)
		}
		return strings.Join(parts, ", ")
	default:
		parts := make([]string, len(n.values))
		for i, v := range n.values {
			parts[i] = n.names[i] + "=" + v.flat(a, n.names[i])
		}
		return strings.Join(parts, " ")
	}
}

// rows returns the table of an array of objects or of an object of objects; the names of
// the latter's fields become the first column. It returns false for other values.
func (n node) rows(a *app) ([][]string, bool) {
	if n.kind == scalar || len(n.values) == 0 {
		return nil, false
	}
	var columns []string
	for _, v := range n.values {
		if v.kind != object {
			return nil, false
		}
		columns = union(columns, v.names)
	}
	header := columnHeaders(columns)
	if n.kind == object {
		header = append([]string{"NAME"}, header...)
	}
	rows := [][]string{header}
	for i, v := range n.values {
		var row []string
		if n.kind == object {
			row = append(row, n.names[i])
		}
		rows = append(rows, append(row, v.cells(a, columns)...))
	}
	return rows, true
}

// cells returns the texts of an object's fields in the order of the columns, "-" for
// a missing one.
func (n node) cells(a *app, columns []string) []string {
	cells := make([]string, len(columns))
	for i, name := range columns {
		cells[i] = "-"
		if v, ok := n.field(name); ok {
			cells[i] = v.flat(a, name)
		}
	}
	return cells
}
