package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// table prints rows of columns and remembers the first error.
type table struct {
	w   *tabwriter.Writer
	err error
}

func newTable(w io.Writer) *table {
	const padding = 2
	return &table{w: tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)}
}

func (t *table) row(format string, args ...any) {
	if t.err != nil {
		return
	}
	_, t.err = fmt.Fprintf(t.w, format+"\n", args...)
}

func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.w.Flush()
}
