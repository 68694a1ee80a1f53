package drift

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

// fill gives each exported field a value of its own, in the order in which the fields are declared.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprint("s", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
	default:
		panic(v.Kind().String())
	}
}

// TestEncodedForms compares what goes into the record, onto a wire or into an HTTP answer with the bytes of an earlier version.
func TestEncodedForms(t *testing.T) {
	var lines []string
	for _, value := range []any{&Item{}, &Counts{}} {
		next := 0
		fill(reflect.ValueOf(value).Elem(), &next)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, string(text))
	}
	for s := InSync; s <= Unknown+1; s++ {
		text, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, string(text))
	}
	next := 0
	var report Report
	fill(reflect.ValueOf(&report).Elem(), &next)
	var reply Reply
	fill(reflect.ValueOf(&reply).Elem(), &next)
	lines = append(lines, hex.EncodeToString(report.Encode()), hex.EncodeToString(reply.Encode()), fmt.Sprintf("%x", DigestOf(report.Items)))
	w := newSimulation(7, 12, 24)
	w.plant(w.relays[3], ItemEjections, Lagging, false)
	w.disturb(120_000)
	lines = append(lines, fmt.Sprintf("%d bytes, %x", w.bytes, w.trace))
	got := strings.Join(lines, "\n") + "\n"
	want, err := os.ReadFile("testdata/forms.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("encoded now:\n%s\nearlier:\n%s", got, want)
	}
}
