package consensus

import "fmt"

// silent is the library's log: nothing of it is for operators, and what it calls fatal is a fault of ours.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Fatal(v ...any)          { panic("agree: " + fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) {
	panic("agree: " + fmt.Sprintf(f, v...))
}
func (silent) Panic(v ...any)            { panic("agree: " + fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic("agree: " + fmt.Sprintf(f, v...)) }
