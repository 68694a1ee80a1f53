package handover

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"dahliarudder/internal/encodingtest"
)

// TestEncodedForms: a message with all fields set is encoded exactly as release 63fa232 encoded it,
// and that release's encoding can be decoded. Either version can then take over from the other.
func TestEncodedForms(t *testing.T) {
	written, err := os.ReadFile(filepath.Join("testdata", "head", "message.json"))
	if err != nil {
		t.Fatal(err)
	}
	var sent Message
	encodingtest.FillConstant(&sent)
	text, err := json.MarshalIndent(sent, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if got := append(text, '\n'); !bytes.Equal(got, written) {
		t.Errorf("encoded message:\n%s\nwant the encoding of release 63fa232:\n%s", got, written)
	}
	read, decoder := Message{}, json.NewDecoder(bytes.NewReader(written))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, sent) {
		t.Errorf("decoded message = %+v, want %+v", read, sent)
	}
}
