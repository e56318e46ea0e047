package report

import (
	"fmt"
	"text/tabwriter"
)

// table prints rows of columns and remembers the first error.
type table struct {
	w   *tabwriter.Writer
	err error
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
