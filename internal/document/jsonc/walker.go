package jsonc

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// walker checks a syntax tree against the Go type that it is decoded into.
type walker struct {
	report *Report
	// undecodable is set if a value can't be decoded into its type or a key is
	// duplicate.
	undecodable bool
	// fields caches the fields of each struct type.
	fields map[reflect.Type]map[string]reflect.Type
}

func (w *walker) walk(v *hujson.Value, t reflect.Type, path Path) {
	switch t.Kind() {
	case reflect.Pointer:
		w.walk(v, t.Elem(), path)
	case reflect.Struct:
		w.walkStruct(v, t, path)
	case reflect.Map:
		w.walkMap(v, t, path)
	case reflect.Slice:
		w.walkSlice(v, t, path)
	default:
		w.walkLiteral(v, t, path)
	}
}

func (w *walker) walkStruct(v *hujson.Value, t reflect.Type, path Path) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		w.wrongType(v, "an object", path)
		return
	}
	fields := w.fieldTypes(t)
	w.walkMembers(object, path, func(name string) (reflect.Type, bool) {
		field, known := fields[name]
		return field, known
	})
}

func (w *walker) walkMap(v *hujson.Value, t reflect.Type, path Path) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		w.wrongType(v, "an object", path)
		return
	}
	w.walkMembers(object, path, func(string) (reflect.Type, bool) {
		return t.Elem(), true
	})
}

func (w *walker) walkMembers(object *hujson.Object, path Path, typeOf func(string) (reflect.Type, bool)) {
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := path.Key(name)
		if seen[name] {
			w.duplicateKey(member, memberPath)
			continue
		}
		seen[name] = true
		t, known := typeOf(name)
		if !known {
			w.report.Add(CodeUnknownField, memberPath, "unknown field %q", name)
			continue
		}
		w.walk(&member.Value, t, memberPath)
	}
}

// duplicateKey reports a duplicate key with the line of the second member, which a
// path can't identify.
func (w *walker) duplicateKey(member *hujson.ObjectMember, path Path) {
	// encoding/json would use the last member, so the file is not decoded.
	w.undecodable = true
	before := len(w.report.err.Problems)
	w.report.Add(CodeDuplicateKey, path, "duplicate key")
	if len(w.report.err.Problems) > before {
		line := lineAt(w.report.source.data, member.Name.StartOffset)
		w.report.err.Problems[before].Line = line
	}
}

func (w *walker) walkSlice(v *hujson.Value, t reflect.Type, path Path) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		w.wrongType(v, "an array", path)
		return
	}
	for i := range array.Elements {
		w.walk(&array.Elements[i], t.Elem(), path.Index(i))
	}
}

func (w *walker) walkLiteral(v *hujson.Value, t reflect.Type, path Path) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || !decodesInto(literal, t) {
		w.wrongType(v, describeType(t), path)
	}
}

func (w *walker) wrongType(v *hujson.Value, want string, path Path) {
	w.undecodable = true
	w.report.Add(CodeWrongType, path, "want %s, got %s", want, describeValue(v))
}

func describeValue(v *hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case hujson.Literal:
		return truncate(string(value))
	default:
		return "an array"
	}
}

// decodesInto reports whether a literal can be decoded into t without loss.
func decodesInto(literal hujson.Literal, t reflect.Type) bool {
	text := string(literal)
	var err error
	switch t.Kind() {
	case reflect.String:
		return literal.Kind() == '"'
	case reflect.Bool:
		return text == "true" || text == "false"
	case reflect.Int, reflect.Int32, reflect.Int64:
		_, err = strconv.ParseInt(text, 10, t.Bits())
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		_, err = strconv.ParseUint(text, 10, t.Bits())
	case reflect.Float64:
		_, err = strconv.ParseFloat(text, t.Bits())
	default:
		return false
	}
	return err == nil
}

func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a non-negative integer"
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "an integer"
	default:
		return "a number"
	}
}

// truncate limits the length of a text that a message quotes from the file.
func truncate(text string) string {
	const maxBytes = 60
	if len(text) <= maxBytes {
		return text
	}
	return text[:maxBytes] + "..."
}

// fieldTypes maps the JSON names of a struct's fields to their types.
func (w *walker) fieldTypes(t reflect.Type) map[string]reflect.Type {
	if fields, found := w.fields[t]; found {
		return fields
	}
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	w.fields[t] = fields
	return fields
}
