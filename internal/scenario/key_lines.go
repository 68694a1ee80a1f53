package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// keyLines returns the line of each key of a JSON text. Nested keys are written in full, as in
// "faults[2].at_ms".
func keyLines(text []byte) (map[string]int, error) {
	s := &keyScanner{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), lines: map[string]int{}}
	if err := s.readValue(""); err != nil {
		offset := s.decoder.InputOffset()
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = syntax.Offset
		}
		return nil, fmt.Errorf("line %d: %w", s.lineAt(offset), err)
	}
	return s.lines, nil
}

// keyScanner reads a JSON text and records the line of each key.
type keyScanner struct {
	text    []byte
	decoder *json.Decoder
	lines   map[string]int
}

func (s *keyScanner) lineAt(offset int64) int {
	return 1 + bytes.Count(s.text[:min(int(offset), len(s.text))], []byte("\n"))
}

func (s *keyScanner) currentLine() int { return s.lineAt(s.decoder.InputOffset()) }

// readValue reads the value of a key and records the lines of the keys in it.
func (s *keyScanner) readValue(key string) error {
	t, err := s.decoder.Token()
	if err != nil {
		return err
	}
	if _, ok := s.lines[key]; !ok {
		s.lines[key] = s.currentLine()
	}
	switch t {
	case json.Delim('{'):
		for s.decoder.More() {
			name, err := s.decoder.Token()
			if err != nil {
				return err
			}
			inner := joinKey(key, fmt.Sprint(name))
			s.lines[inner] = s.currentLine()
			if err := s.readValue(inner); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for i := 0; s.decoder.More(); i++ {
			if err := s.readValue(fmt.Sprintf("%s[%d]", key, i)); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	_, err = s.decoder.Token()
	return err
}

func joinKey(parent, name string) string { return strings.TrimPrefix(parent+"."+name, ".") }

var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// unknownKeys returns the keys that the type t does not have.
func unknownKeys(lines map[string]int, t reflect.Type) (keys []string) {
	schema := keySchema{known: map[string]bool{"": true}}
	schema.add("", t)
	for key := range lines {
		if !schema.allows(arrayIndex.ReplaceAllString(key, "[]")) {
			keys = append(keys, key)
		}
	}
	return keys
}

// keySchema holds the keys that a type has. Array indexes are omitted, as in "faults[].at_ms".
type keySchema struct {
	known map[string]bool
	raw   []string // keys with arbitrary JSON values (json.RawMessage)
}

func (s *keySchema) add(key string, t reflect.Type) {
	s.known[key] = true
	switch {
	case t == reflect.TypeFor[json.RawMessage]():
		s.raw = append(s.raw, key)
	case t.Kind() == reflect.Pointer:
		s.add(key, t.Elem())
	case t.Kind() == reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if f.Anonymous {
				s.add(key, f.Type)
			} else if name != "" {
				s.add(joinKey(key, name), f.Type)
			}
		}
	case t.Kind() == reflect.Slice || t.Kind() == reflect.Array:
		s.add(key+"[]", t.Elem())
	}
}

func (s *keySchema) allows(key string) bool {
	return s.known[key] || slices.ContainsFunc(s.raw, func(raw string) bool { return strings.HasPrefix(key, raw) })
}
