// Package jsonc decodes JSON with comments strictly: every field must be known and of
// the right type, and keys must be unique. Problems are reported with their line and
// field.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxDepth is the maximum nesting depth of objects and arrays that Decode accepts.
const maxDepth = 64

// Decode decodes data into value, a pointer to a struct. The report contains every
// problem found. The caller may add problems found by its own checks.
func Decode(data []byte, maxBytes int, value any) *Report {
	report := &Report{}
	if len(data) > maxBytes {
		report.Add(CodeTooLarge, "", "has %d bytes, the limit is %d", len(data), maxBytes)
		return report
	}
	root, ok := report.parse(data)
	if !ok {
		return report
	}
	report.source = &source{data: data, root: root}
	w := walker{report: report, fields: make(map[reflect.Type]map[string]reflect.Type)}
	w.walk(&root, reflect.TypeOf(value).Elem(), "")
	if w.undecodable {
		return report
	}
	report.unmarshal(data, value)
	return report
}

// parse builds the syntax tree. It reports a problem and returns false on failure.
func (r *Report) parse(data []byte) (hujson.Value, bool) {
	if !utf8.Valid(data) {
		r.addAt(CodeSyntax, invalidUTF8Line(data), "is not valid UTF-8")
		return hujson.Value{}, false
	}
	if line := findTooDeepLine(data); line > 0 {
		r.addAt(CodeTooDeep, line, fmt.Sprintf("nests deeper than %d levels", maxDepth))
		return hujson.Value{}, false
	}
	// The parser requires a newline after a line comment at the end. It gets a copy,
	// because Standardize overwrites the comments in the parsed bytes.
	root, err := hujson.Parse(append(bytes.Clone(data), '\n'))
	if err != nil {
		line, message := splitSyntaxError(err)
		last := lineAt(data, len(data))
		r.addAt(CodeSyntax, min(line, last), message)
		return hujson.Value{}, false
	}
	return root, true
}

// addAt records a problem at a line without a path.
func (r *Report) addAt(code Code, line int, message string) {
	r.err.Problems = append(r.err.Problems, Problem{Code: code, Line: line, Message: message})
}

func (r *Report) unmarshal(data []byte, value any) {
	// Standardize preserves offsets, so the tree still yields line numbers.
	r.source.root.Standardize()
	err := json.Unmarshal(r.source.root.Pack(), value)
	if err == nil {
		r.decoded = true
		return
	}
	line := 0
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		line = lineAt(data, int(typeError.Offset))
	}
	r.addAt(CodeWrongType, line, err.Error())
}

// splitSyntaxError extracts the line from a parser error, whose text starts
// with "hujson: line 3, column 4: ".
func splitSyntaxError(err error) (line int, message string) {
	message = strings.TrimPrefix(err.Error(), "hujson: ")
	column := 0
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n != 2 {
		return 0, message
	}
	_, rest, _ := strings.Cut(message, ": ")
	return line, rest
}

func invalidUTF8Line(data []byte) int {
	for offset := 0; offset < len(data); {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			return lineAt(data, offset)
		}
		offset += size
	}
	return 0
}
