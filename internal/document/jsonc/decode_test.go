package jsonc

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const testLimitBytes = 1 << 16

type item struct {
	Name string `json:"name"`
}

type file struct {
	Items  []item            `json:"items"`
	Words  map[string]string `json:"words"`
	Ratio  float64           `json:"ratio"`
	Count  uint32            `json:"count"`
	Active bool              `json:"active"`
	Extra  *item             `json:"extra"`
}

func TestDecode(t *testing.T) {
	var f file
	report := Decode([]byte(`/* "[[" */ {"items": [{"name": "a\"[b"},], "words": {"0": "x"}, "ratio": 1e-1,
		"count": 4294967295, "active": true, "extra": {"name": "e"}} // {`), testLimitBytes, &f)
	require.NoError(t, report.Err())
	require.True(t, report.Decoded())
	require.Equal(t, file{Items: []item{{`a"[b`}}, Words: map[string]string{"0": "x"}, Ratio: 0.1,
		Count: 4294967295, Active: true, Extra: &item{"e"}}, f)
}

func TestDecodeProblems(t *testing.T) {
	cases := []struct {
		name, data string
		want       string
	}{
		{"empty", ``, "line 1: parsing value: unexpected EOF"},
		{"second value", "{}\n{}", "line 2: "},
		{"open object", "{\n\"count\": 1", "line 2: "},
		{"open comment", "{} /*", "line 1: "},
		{"invalid UTF-8", "{\n\"\xff\": 1}", "line 2: is not valid UTF-8"},
		{"too deep", strings.Repeat("\n[", maxDepth+1), "line 66: nests deeper than 64 levels"},
		{"array for object", "[]", "line 1: want an object, got an array"},
		{"object for array", `{"items": {}}`, "line 1: items: want an array, got an object"},
		{"object for literal", `{"ratio": {}}`, "line 1: ratio: want a number, got an object"},
		{"value out of range", `{"count": 4294967296}`, "line 1: count: want a non-negative integer, got 4294967296"},
		{"value out of range for a float", `{"ratio": 1e999}`, "line 1: ratio: want a number, got 1e999"},
		{"number for bool", `{"active": 1}`, "line 1: active: want true or false, got 1"},
		{"map key", "{\"words\": {\n\"a/~b\": 1}}", "line 2: words.a/~b: want a string, got 1"},
		{"long value", `{"active": "` + strings.Repeat("x", 100) + `"}`, `line 1: active: want true or false, got "` + strings.Repeat("x", 59) + "..."},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := Decode([]byte(c.data), testLimitBytes, &file{})
			require.False(t, report.Decoded())
			require.ErrorContains(t, report.Err(), c.want)
		})
	}
}

func TestUnknownFieldLeavesTheRestUsable(t *testing.T) {
	var f file
	report := Decode([]byte(`{"colour": [1], "count": 3}`), testLimitBytes, &f)
	require.True(t, HasCode(report.Err(), CodeUnknownField))
	require.True(t, report.Decoded())
	require.EqualValues(t, 3, f.Count)
}

func TestReportIsBounded(t *testing.T) {
	var items []string
	for i := range maxProblems + 10 {
		items = append(items, fmt.Sprintf(`{"colour%d": 1}`, i))
	}
	err := Decode([]byte(`{"items": [`+strings.Join(items, ",\n")+`]}`), testLimitBytes, &file{}).Err()
	var list *Error
	require.True(t, errors.As(err, &list))
	require.Len(t, list.Problems, maxProblems)
	require.Equal(t, 10, list.Omitted)
	require.ErrorContains(t, err, "10 further problems")
	require.Equal(t, 50, list.Problems[49].Line)
}
