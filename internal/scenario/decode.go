package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// ErrInvalid is wrapped by every error about an invalid scenario file.
var ErrInvalid = errors.New("invalid scenario")

// Decode decodes and validates the text of a scenario file. It does not validate zones, because the
// relays' configuration defines them: see CheckZones. Errors wrap ErrInvalid and name line and key.
func Decode(text []byte) (*File, error) {
	lines, err := keyLines(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	f := &File{lines: lines}
	if keys := unknownKeys(lines, reflect.TypeFor[File]()); len(keys) > 0 {
		sort.Slice(keys, func(i, j int) bool {
			return lines[keys[i]] < lines[keys[j]] || lines[keys[i]] == lines[keys[j]] && keys[i] < keys[j]
		})
		return nil, f.keyError(keys[0], "unknown key")
	}
	if err := json.Unmarshal(text, f); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			line := 1 + bytes.Count(text[:min(int(typeErr.Offset), len(text))], []byte("\n"))
			return nil, fmt.Errorf("%w: line %d: %s: got %s, want %s",
				ErrInvalid, line, typeErr.Field, typeErr.Value, typeName(typeErr.Type))
		}
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	f.applyDefaults()
	return f, f.validate()
}

// typeName returns the name of a Go type for error messages.
func typeName(t reflect.Type) string {
	if t.Kind() == reflect.String {
		return "string"
	}
	return t.String()
}

// keyError returns an error about a key, with the key's line.
func (f *File) keyError(key, format string, args ...any) error {
	line, ok := f.lines[key]
	// An absent key is reported at the line where its object begins.
	for parent := key; !ok && parent != ""; line, ok = f.lines[parent] {
		parent = parent[:max(strings.LastIndexAny(parent, ".["), 0)]
	}
	return fmt.Errorf("%w: line %d: %s: %s", ErrInvalid, max(line, 1), key, fmt.Sprintf(format, args...))
}

// applyDefaults sets the fields that the file omits.
func (f *File) applyDefaults() {
	for _, d := range []struct {
		field *float64
		value float64
	}{
		{&f.Front.PingMs, 500}, {&f.Relays.RestartDelayMs, 500}, {&f.Front.FailureTimeoutMs, 2000}, {&f.Clients.LineIntervalMs, 500},
		{&f.Clients.AnswerWithinMs, 500}, {&f.Clients.MeanStayMs, 20000}, {&f.Members.DrainMs, 1000}, {&f.Members.ReportAgeMs, 200},
		{&f.MeasureFromMs, 3000},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if f.Members.Cores == [2]float64{} {
		f.Members.Cores = [2]float64{1, 1}
	}
	if f.Clients.ReconnectMs == [2]float64{} {
		f.Clients.ReconnectMs = [2]float64{130, 1800}
	}
	if f.Clients.Groups == 0 {
		f.Clients.Groups = 1 << 20
	}
	if f.Relays.Voters == 0 {
		f.Relays.Voters = 3
	}
	f.Repetitions, f.Seeds = max(f.Repetitions, 1), max(f.Seeds, 1)
	if len(f.Variants) == 0 {
		f.Variants = []Variant{{Name: "this program"}}
	}
}
