package ctl

import (
	"encoding/json"
	"fmt"
	"io"
)

// outputFormat selects how a command prints its result. It implements
// pflag.Value.
type outputFormat string

const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

// Set implements pflag.Value.
func (f *outputFormat) Set(text string) error {
	format := outputFormat(text)
	if format != outputText && format != outputJSON {
		return fmt.Errorf("must be %q or %q", outputText, outputJSON)
	}
	*f = format
	return nil
}

// String implements pflag.Value.
func (f *outputFormat) String() string { return string(*f) }

// Type implements pflag.Value.
func (f *outputFormat) Type() string { return "format" }

// result is the output of a command.
type result interface {
	// writeText writes the result as human-readable text.
	writeText(w io.Writer) error
}

// write writes a result in the selected format.
func (f *outputFormat) write(w io.Writer, r result) error {
	if *f == outputText {
		return r.writeText(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// lineWriter writes lines of text and keeps the first error.
type lineWriter struct {
	w   io.Writer
	err error
}

func (l *lineWriter) printf(format string, args ...any) {
	if l.err != nil {
		return
	}
	_, l.err = fmt.Fprintf(l.w, format+"\n", args...)
}
