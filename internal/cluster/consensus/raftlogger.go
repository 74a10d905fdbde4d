package consensus

import "fmt"

// raftLogger is the logger of the raft library. It discards messages, since none is meant for operators, and
// panics on fatal ones, which are bugs of this program.
type raftLogger struct{}

func (raftLogger) Debug(...any)            {}
func (raftLogger) Debugf(string, ...any)   {}
func (raftLogger) Error(...any)            {}
func (raftLogger) Errorf(string, ...any)   {}
func (raftLogger) Info(...any)             {}
func (raftLogger) Infof(string, ...any)    {}
func (raftLogger) Warning(...any)          {}
func (raftLogger) Warningf(string, ...any) {}

func (raftLogger) Fatal(v ...any)            { panic("consensus: " + fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any) { panic("consensus: " + fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)            { panic("consensus: " + fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any) { panic("consensus: " + fmt.Sprintf(f, v...)) }
