package consensus

import "fmt"

// raftLogger is the library's logger: nothing of it is for operators, and what it calls fatal is a fault of this program.
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
