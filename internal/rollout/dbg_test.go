package rollout

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestDbg(t *testing.T) {
	if os.Getenv("DBG") == "" {
		t.Skip()
	}
	seed, _ := strconv.ParseUint(os.Getenv("DBG"), 10, 64)
	trace = func(w *world, at int64, by string, body, answer []byte) {
		s := string(body)
		if len(s) > 3000 {
			s = s[:3000]
		}
		fmt.Println(w.now, by, w.s.Version(), s, string(answer))
	}
	w := play(seed, false, nil)
	for _, f := range w.faults {
		fmt.Println("FAULT", f)
	}
}
