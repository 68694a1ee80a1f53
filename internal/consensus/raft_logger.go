package consensus

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLogger is the raft library's log, at debug level. Where the library wants the process to end it panics, which ends the engine alone.
type raftLogger struct{ logrus.FieldLogger }

func (r raftLogger) Info(v ...any)                    { r.Debug(v...) }
func (r raftLogger) Infof(format string, v ...any)    { r.Debugf(format, v...) }
func (r raftLogger) Warningf(format string, v ...any) { r.Debugf(format, v...) }
func (r raftLogger) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (r raftLogger) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (r raftLogger) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (r raftLogger) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
