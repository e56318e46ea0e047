package document

import (
	"fmt"
	"os"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// MaxBytes is the greatest size of a document, in bytes.
const MaxBytes = 1 << 20

// Parse decodes a document strictly, checks it and fills its defaults. The
// error is a *jsonc.Error that lists every problem with its line and field.
func Parse(data []byte) (*Document, error) {
	doc := &Document{}
	report := jsonc.Decode(data, MaxBytes, doc)
	if report.Decoded() {
		newValidator(doc, report).validate()
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	doc.Normalize()
	return doc, nil
}

// Loaded is an accepted document with everything derived from it. It is
// read-only.
type Loaded struct {
	Document *Document
	Bytes    []byte
	Identity Identity
	Index    *Index
}

// Load parses a document and derives its identity and index.
func Load(data []byte) (*Loaded, error) {
	doc, err := Parse(data)
	if err != nil {
		return nil, err
	}
	return &Loaded{
		Document: doc,
		Bytes:    data,
		Identity: Identity{Revision: doc.Revision, Digest: Digest(data)},
		Index:    NewIndex(doc),
	}, nil
}

// LoadFile loads the document in a file. Problems name the file.
func LoadFile(path string) (*Loaded, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	loaded, err := Load(data)
	if err != nil {
		return nil, jsonc.WithFile(err, path)
	}
	return loaded, nil
}
