package consensus

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLogger passes on the log of the raft library, with info messages and formatted warnings at
// debug level. Where the library expects the process to end, it panics, which ends only the engine.
type raftLogger struct{ logrus.FieldLogger }

func (r raftLogger) Info(v ...any)                    { r.Debug(v...) }
func (r raftLogger) Infof(format string, v ...any)    { r.Debugf(format, v...) }
func (r raftLogger) Warningf(format string, v ...any) { r.Debugf(format, v...) }
func (r raftLogger) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (r raftLogger) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (r raftLogger) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (r raftLogger) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
