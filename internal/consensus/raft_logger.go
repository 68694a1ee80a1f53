package consensus

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLog is where the engine's library writes. What it panics with ends the engine, never the process.
type raftLog struct{ logrus.FieldLogger }

func (r raftLog) Info(v ...any) { r.Debug(v...) }

func (r raftLog) Infof(f string, v ...any) { r.Debugf(f, v...) }

func (r raftLog) Warningf(f string, v ...any) { r.Debugf(f, v...) }

func (r raftLog) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (r raftLog) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

func (r raftLog) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (r raftLog) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
