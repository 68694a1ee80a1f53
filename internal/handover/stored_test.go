package handover

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// fill sets every field of a value, so that none is left out of its encoding.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(3)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(7)
	}
}

// TestEncodedForms: a message with all fields set, as release 63fa232 sends it, is what this version sends and reads, so that
// either version can replace the other.
func TestEncodedForms(t *testing.T) {
	written, err := os.ReadFile(filepath.Join("testdata", "head", "message.json"))
	if err != nil {
		t.Fatal(err)
	}
	var sent Message
	fill(reflect.ValueOf(&sent).Elem())
	text, err := json.MarshalIndent(sent, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if got := append(text, '\n'); !bytes.Equal(got, written) {
		t.Errorf("sent:\n%s\nby 63fa232:\n%s", got, written)
	}
	read, decoder := Message{}, json.NewDecoder(bytes.NewReader(written))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, sent) {
		t.Errorf("read %+v, sent %+v", read, sent)
	}
}
