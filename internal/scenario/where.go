package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// keyLines tells for each key of a JSON text, as "faults[2].at_ms", on which line it stands.
func keyLines(text []byte) (map[string]int, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	out := map[string]int{}
	line := func() int { return 1 + bytes.Count(text[:d.InputOffset()], []byte("\n")) }
	var value func(path string) error
	value = func(path string) error {
		t, err := d.Token()
		if err != nil {
			return err
		}
		if _, ok := out[path]; !ok {
			out[path] = line()
		}
		switch t {
		case json.Delim('{'):
			for d.More() {
				key, err := d.Token()
				if err != nil {
					return err
				}
				name := strings.TrimPrefix(fmt.Sprintf("%s.%v", path, key), ".")
				out[name] = line()
				if err := value(name); err != nil {
					return err
				}
			}
		case json.Delim('['):
			for i := 0; d.More(); i++ {
				if err := value(fmt.Sprintf("%s[%d]", path, i)); err != nil {
					return err
				}
			}
		default:
			return nil
		}
		_, err = d.Token()
		return err
	}
	if err := value(""); err != nil {
		var at int64 = d.InputOffset()
		if s, ok := err.(*json.SyntaxError); ok {
			at = s.Offset
		}
		return nil, fmt.Errorf("line %d: %v", 1+bytes.Count(text[:min(int(at), len(text))], []byte("\n")), err)
	}
	return out, nil
}

// unknownKeys lists the keys of a text that a type has no place for.
func unknownKeys(places map[string]int, t reflect.Type) (keys []string) {
	known := map[string]bool{"": true}
	free := []string{} // below these anything may stand
	var walk func(path string, t reflect.Type)
	walk = func(path string, t reflect.Type) {
		known[path] = true
		switch {
		case t == reflect.TypeFor[json.RawMessage]():
			free = append(free, path)
		case t.Kind() == reflect.Pointer:
			walk(path, t.Elem())
		case t.Kind() == reflect.Struct:
			for i := range t.NumField() {
				f := t.Field(i)
				name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
				if f.Anonymous {
					walk(path, f.Type)
				} else if name != "" {
					walk(strings.TrimPrefix(path+"."+name, "."), f.Type)
				}
			}
		case t.Kind() == reflect.Slice || t.Kind() == reflect.Array:
			walk(path+"[]", t.Elem())
		}
	}
	walk("", t)
next:
	for at := range places {
		plain := arrayIndex.ReplaceAllString(at, "[]")
		if known[plain] {
			continue
		}
		for _, f := range free {
			if strings.HasPrefix(plain, f) {
				continue next
			}
		}
		keys = append(keys, at)
	}
	return keys
}
