package jsonc

import (
	"errors"
	"fmt"
	"strings"
)

// maxProblems is the maximum number of problems that a report lists.
const maxProblems = 50

// Code identifies the kind of a problem.
type Code string

// Codes of the problems that Decode reports.
const (
	CodeTooLarge     Code = "too_large"
	CodeSyntax       Code = "syntax"
	CodeTooDeep      Code = "too_deep"
	CodeUnknownField Code = "unknown_field"
	CodeDuplicateKey Code = "duplicate_key"
	CodeWrongType    Code = "wrong_type"
)

// Problem is a problem in a file.
type Problem struct {
	Code Code `json:"code"`
	// Line is the line number, starting from 1, or 0 if the problem concerns the whole
	// file.
	Line int `json:"line"`
	// Field is the path of the field, such as "deployments[0].customer".
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String formats the problem as "line 3: field: message".
func (p Problem) String() string {
	if p.Line == 0 {
		return p.formatWithoutLine()
	}
	return fmt.Sprintf("line %d: %s", p.Line, p.formatWithoutLine())
}

// formatWithoutLine formats the problem as "field: message".
func (p Problem) formatWithoutLine() string {
	if p.Field == "" {
		return p.Message
	}
	return p.Field + ": " + p.Message
}

// formatInFile formats the problem as "file:3: field: message".
func (p Problem) formatInFile(file string) string {
	if file == "" {
		return p.String()
	}
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", file, p.formatWithoutLine())
	}
	return fmt.Sprintf("%s:%d: %s", file, p.Line, p.formatWithoutLine())
}

// Error lists the problems of one file.
type Error struct {
	// File is the file name in messages. It may be empty.
	File     string
	Problems []Problem
	// Omitted is the number of problems that are not listed.
	Omitted int
}

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	for _, p := range e.Problems {
		lines = append(lines, p.formatInFile(e.File))
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d further problems", e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// Has reports whether a listed problem has the given code.
func (e *Error) Has(code Code) bool {
	for _, p := range e.Problems {
		if p.Code == code {
			return true
		}
	}
	return false
}

// HasCode reports whether err is an *Error that lists the given code.
func HasCode(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Has(code)
}

// WithFile sets the file name of an *Error and returns err.
func WithFile(err error, file string) error {
	var e *Error
	if errors.As(err, &e) {
		e.File = file
	}
	return err
}

// Report collects the problems of one file.
type Report struct {
	source  *source
	err     Error
	decoded bool
}

// Add records a problem at a path.
func (r *Report) Add(code Code, path Path, format string, args ...any) {
	if len(r.err.Problems) >= maxProblems {
		r.err.Omitted++
		return
	}
	r.err.Problems = append(r.err.Problems, Problem{
		Code:    code,
		Line:    r.source.line(path),
		Field:   path.String(),
		Message: fmt.Sprintf(format, args...),
	})
}

// Decoded reports whether the value was decoded, so that it can be validated further.
// It can be true although problems were found.
func (r *Report) Decoded() bool { return r.decoded }

// Err returns an *Error with all problems, or nil if there are none.
func (r *Report) Err() error {
	if len(r.err.Problems) == 0 {
		return nil
	}
	e := r.err
	return &e
}
