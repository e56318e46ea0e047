package document

import (
	"fmt"
	"os"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// MaxBytes is the maximum size of a document.
const MaxBytes = 1 << 20

// Parse decodes a document strictly, validates it and sets its defaults. The error
// is a *jsonc.Error that lists every problem with its line and field.
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

// Loaded is a valid document with its bytes, identity and index. It must not be
// modified.
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

// LoadFile loads the document in a file. The problems of a returned error include the
// file name.
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
