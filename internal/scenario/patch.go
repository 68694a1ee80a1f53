package scenario

import (
	"encoding/json"
	"errors"
)

// MergePatch applies a JSON merge patch (RFC 7386) to a JSON text: objects are merged, null removes
// a key, any other value replaces the old one. An empty patch changes nothing.
func MergePatch(text, patch json.RawMessage) (json.RawMessage, error) {
	if len(patch) == 0 {
		return text, nil
	}
	var target, change any
	if err := errors.Join(json.Unmarshal(text, &target), json.Unmarshal(patch, &change)); err != nil {
		return nil, err
	}
	return json.Marshal(mergePatch(target, change))
}

func mergePatch(target, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	out, ok := target.(map[string]any)
	if !ok {
		out = map[string]any{}
	}
	for k, v := range changes {
		if v == nil {
			delete(out, k)
		} else {
			out[k] = mergePatch(out[k], v)
		}
	}
	return out
}
