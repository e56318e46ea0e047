package ctl

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/settings"
)

func TestConfigurationPageExamplesAreAccepted(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	require.NoError(t, err)
	blocks := regexp.MustCompile("(?s)```jsonc\n(.*?)```").FindAllSubmatch(page, -1)
	require.Len(t, blocks, 2)
	_, err = document.Parse(blocks[0][1])
	require.NoError(t, err)
	_, err = settings.Parse(blocks[1][1])
	require.NoError(t, err)
}

func TestConfigurationPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	require.NoError(t, err)
	names := make(map[string]bool)
	fieldNames(reflect.TypeFor[document.Document](), names)
	fieldNames(reflect.TypeFor[settings.Settings](), names)
	require.Greater(t, len(names), 30)
	for name := range names {
		row := regexp.MustCompile("(?m)^\\| `([a-z_]+(\\[\\])?\\.)?" + name + "` ")
		require.True(t, row.Match(page), "field %q has no row", name)
	}
}

// fieldNames collects the JSON names of a struct's fields and of those of nested
// structs. A field that is a struct has no row on the page, only its fields have.
func fieldNames(t reflect.Type, names map[string]bool) {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Type.Kind() != reflect.Struct {
			names[name] = true
		}
		fieldNames(field.Type, names)
	}
}
