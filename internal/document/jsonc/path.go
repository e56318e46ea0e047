package jsonc

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Path locates a value in a file, as a JSON pointer (RFC 6901).
type Path string

var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

var pointerUnescaper = strings.NewReplacer("~1", "/", "~0", "~")

// Key returns the path of a member of the object at p.
func (p Path) Key(name string) Path {
	return p + "/" + Path(pointerEscaper.Replace(name))
}

// Index returns the path of an element of the array at p.
func (p Path) Index(i int) Path {
	return p + "/" + Path(strconv.Itoa(i))
}

// String formats the path as "deployments[0].customer".
func (p Path) String() string {
	if p == "" {
		return ""
	}
	var b strings.Builder
	for _, segment := range strings.Split(string(p[1:]), "/") {
		writeSegment(&b, pointerUnescaper.Replace(segment))
	}
	return b.String()
}

func writeSegment(b *strings.Builder, segment string) {
	if _, err := strconv.Atoi(segment); err == nil {
		b.WriteString("[" + segment + "]")
		return
	}
	if b.Len() > 0 {
		b.WriteByte('.')
	}
	b.WriteString(segment)
}

// parent returns the path of the value that contains the one at p.
func (p Path) parent() Path {
	return p[:max(0, strings.LastIndexByte(string(p), '/'))]
}

// source resolves paths to lines of the file.
type source struct {
	data []byte
	root hujson.Value
}

// line returns the line of the value at path, or else of the nearest enclosing value
// in the file. It returns 0 if s is nil, because there is no file or it could not be
// parsed.
func (s *source) line(path Path) int {
	if s == nil {
		return 0
	}
	for {
		if v := s.root.Find(string(path)); v != nil {
			return lineAt(s.data, v.StartOffset)
		}
		if path == "" {
			return 1
		}
		path = path.parent()
	}
}

// lineAt returns the line number of a byte offset, starting from 1.
func lineAt(data []byte, offset int) int {
	offset = min(offset, len(data))
	return 1 + bytes.Count(data[:offset], []byte{'\n'})
}
