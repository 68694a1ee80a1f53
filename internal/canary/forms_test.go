package canary

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
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next) / 2)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.Map:
		key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(elem, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, elem)
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
	for _, value := range []any{&Spec{}, &Canary{}, &Weight{}, &Command{}, &Notice{}, &Verdict{}, &stateForm{}} {
		next := 0
		fill(reflect.ValueOf(value).Elem(), &next)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, string(text))
	}
	c := NewCollector(5, 6)
	next := 0
	fill(reflect.ValueOf(c.Tally(Stratum{Class: 1, Zone: 2, WarmingUp: true, Load: 3}, true)).Elem(), &next)
	fill(reflect.ValueOf(c.Tally(Stratum{Class: 1}, false)).Elem(), &next)
	lines = append(lines, hex.EncodeToString(c.AppendReport(nil, 1400)))
	w := newSimulation(1, defect{points: 0.05})
	for range 60 {
		w.step()
	}
	w.judge.Verdict(w.now)
	lines = append(lines, hex.EncodeToString(w.judge.encodeCheckpoint()), fmt.Sprintf("%x", w.trace))
	got := strings.Join(lines, "\n") + "\n"
	want, err := os.ReadFile("testdata/forms.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("encoded now:\n%s\nearlier:\n%s", got, want)
	}
}
