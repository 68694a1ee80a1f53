// Package encodingtest supports tests that compare the encoding of a value with a fixture of an
// earlier version. It sets every field of the value, so that the comparison fails if a field is left
// out of the encoding or encoded under another name.
package encodingtest

import (
	"fmt"
	"reflect"
)

// FillConstant sets every exported field reachable from pointer to a constant for its kind. Arrays
// stay zero, as in the fixtures of internal/handover.
func FillConstant(pointer any) {
	fill(reflect.ValueOf(pointer).Elem(), constantFiller{})
}

// Counter fills values with numbers that differ from field to field, in the order of the
// declarations, so that a comparison also fails if two fields of one type change places. The zero
// value starts with 1; a further call of Fill continues after the last number.
type Counter struct{ last int }

// Fill sets every exported field reachable from pointer to a number of its own.
func (c *Counter) Fill(pointer any) {
	fill(reflect.ValueOf(pointer).Elem(), c)
}

// filler supplies the values for fill. fill calls visit before it sets a value, also a composite
// one; the other methods return the value for a kind.
type filler interface {
	visit()
	fillsArrays() bool
	text() string
	signed() int64
	unsigned() uint64
	float() float64
}

type constantFiller struct{}

func (constantFiller) visit()            {}
func (constantFiller) fillsArrays() bool { return false }
func (constantFiller) text() string      { return "text" }
func (constantFiller) signed() int64     { return 3 }
func (constantFiller) unsigned() uint64  { return 7 }
func (constantFiller) float() float64    { return 1.5 }

// visit also counts composite values, as in the fixtures.
func (c *Counter) visit()            { c.last++ }
func (c *Counter) fillsArrays() bool { return true }
func (c *Counter) text() string      { return fmt.Sprint("s", c.last) }
func (c *Counter) signed() int64     { return int64(c.last) }
func (c *Counter) unsigned() uint64  { return uint64(c.last) }
func (c *Counter) float() float64    { return float64(c.last) / 2 }

// fill panics on an unsupported kind: a field left unset would not be compared.
func fill(v reflect.Value, f filler) {
	f.visit()
	switch v.Kind() {
	case reflect.String:
		v.SetString(f.text())
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.signed())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(f.unsigned())
	case reflect.Float32, reflect.Float64:
		v.SetFloat(f.float())
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), f)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), f)
	case reflect.Array:
		for i := 0; f.fillsArrays() && i < v.Len(); i++ {
			fill(v.Index(i), f)
		}
	case reflect.Map:
		key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, f)
		fill(elem, f)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, elem)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(v.Field(i), f)
			}
		}
	default:
		panic("encodingtest: no value for a " + v.Kind().String())
	}
}
