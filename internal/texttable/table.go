// Package texttable writes text tables with aligned columns.
package texttable

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// padding is the number of spaces between columns.
const padding = 2

// Table writes rows of cells and keeps the first error.
type Table struct {
	w   *tabwriter.Writer
	err error
}

// New returns a table that is written to w.
func New(w io.Writer) *Table {
	return &Table{w: tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)}
}

// Row formats and adds one row. Cells are separated by tabs in format.
func (t *Table) Row(format string, args ...any) {
	if t.err != nil {
		return
	}
	_, t.err = fmt.Fprintf(t.w, format+"\n", args...)
}

// Flush writes the rows and returns the first error of the table.
func (t *Table) Flush() error {
	if t.err != nil {
		return t.err
	}
	return t.w.Flush()
}
