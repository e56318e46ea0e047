package jsonc

import "bytes"

// findTooDeepLine returns the line on which the nesting first exceeds maxDepth, or 0 if
// it does not. It runs before the parser, which recurses on each level.
func findTooDeepLine(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = stringEnd(data, i)
		case '/':
			i = commentEnd(data, i)
		case '{', '[':
			depth++
			if depth > maxDepth {
				return lineAt(data, i)
			}
		case '}', ']':
			depth--
		}
	}
	return 0
}

// stringEnd returns the offset of the quote that closes the string at start.
func stringEnd(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

// commentEnd returns the offset of the last byte of the comment at start, or
// start if there is none.
func commentEnd(data []byte, start int) int {
	rest := data[start:]
	terminator := ""
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		terminator = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		terminator = "*/"
	default:
		return start
	}
	end := bytes.Index(rest[2:], []byte(terminator))
	if end < 0 {
		return len(data)
	}
	return start + 2 + end + len(terminator) - 1
}
