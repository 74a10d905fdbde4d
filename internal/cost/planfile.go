package cost

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// PlanFileError is what is wrong with the text of a plan, and where.
type PlanFileError struct {
	File    string
	Line    int
	Key     string // such as steps[2].rows
	Problem string
	Cause   error
}

// Error describes it in one line.
func (e *PlanFileError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Problem)
}

// Unwrap returns the cause.
func (e *PlanFileError) Unwrap() error { return e.Cause }

// Code is the error's truncateText word.
func (e *PlanFileError) Code() string { return "plan_file" }

// Advice says what an operator can do.
func (e *PlanFileError) Advice() string {
	return fmt.Sprintf("mend line %d of %s: %s", e.Line, e.File, e.Problem)
}

// maxPlanBytes bounds the text of a plan, in bytes.
const maxPlanBytes = 1 << 20

// The keys of a plan and of a step, each with what its value is.
var (
	planKeys = map[string]string{"name": "string", "aim": "number", "steps": "list", "alternatives": "list"}
	stepKeys = map[string]string{
		"name": "string", "sql": "string", "statement": "string", "class": "string", "tenant": "string", "group": "number", "all": "bool",
		"rows": "number", "bytes": "number", "fresh": "string", "bound": "number", "after": "list",
	}
)

// planReader walks a text and notes the line of every value.
type planReader struct {
	file  string
	text  []byte
	d     *json.Decoder
	lines map[string]int
}

func (r *planReader) line() int {
	return 1 + bytes.Count(r.text[:min(int(r.d.InputOffset()), len(r.text))], []byte("\n"))
}

func (r *planReader) fault(key, format string, args ...any) error {
	return &PlanFileError{File: r.file, Line: r.line(), Key: key, Problem: fmt.Sprintf(format, args...)}
}

func (r *planReader) token(key string) (json.Token, error) {
	t, err := r.d.Token()
	if err == nil {
		return t, nil
	}
	var syntax *json.SyntaxError
	problem := err.Error()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		problem = "the text ends before the plan does"
	} else if errors.As(err, &syntax) {
		line := 1 + bytes.Count(r.text[:max(0, min(int(syntax.Offset)-1, len(r.text)))], []byte("\n"))
		return nil, &PlanFileError{r.file, line, key, problem, err}
	}
	return nil, &PlanFileError{r.file, r.line(), key, problem, err}
}

// object calls each for every key of the object that begins with t.
func (r *planReader) object(key string, t json.Token, keys map[string]string, each func(name, at string, t json.Token) error) error {
	if t != json.Delim('{') {
		return r.fault(key, "it is %v; allowed is an object { }", t)
	}
	seen := map[string]bool{}
	for r.d.More() {
		t, err := r.token(key)
		if err != nil {
			return err
		}
		name := t.(string)
		at := strings.TrimPrefix(key+"."+name, ".")
		kind, ok := keys[name]
		if !ok {
			return r.fault(at, "the key is unknown; allowed are %s", strings.Join(slices.Sorted(maps.Keys(keys)), ", "))
		}
		if seen[name] {
			return r.fault(at, "the key stands there twice")
		}
		seen[name] = true
		if t, err = r.token(at); err != nil {
			return err
		}
		r.lines[at] = r.line()
		good := false
		switch t := t.(type) {
		case string:
			good = kind == "string"
		case json.Number:
			good = kind == "number"
		case bool:
			good = kind == "bool"
		case json.Delim:
			good = kind == "list" && t == '['
		}
		if !good {
			return r.fault(at, "it is %v; allowed is a %s", t, kind)
		}
		if err = each(name, at, t); err != nil {
			return err
		}
	}
	_, err := r.token(key)
	return err
}

func (r *planReader) list(key string, each func(at string, t json.Token) error) error {
	for i := 0; r.d.More(); i++ {
		at := key + "[" + strconv.Itoa(i) + "]"
		t, err := r.token(at)
		if err != nil {
			return err
		}
		r.lines[at] = r.line()
		if err = each(at, t); err != nil {
			return err
		}
	}
	_, err := r.token(key)
	return err
}

func (r *planReader) number(at string, t json.Token) (float64, error) {
	x, err := t.(json.Number).Float64()
	if err != nil || !(x >= 0 && x < 1e15) {
		return 0, r.fault(at, "it is %v; allowed is a number from 0 to 1e15", t)
	}
	return x, nil
}

func (r *planReader) plan(key string, t json.Token, p *Plan) error {
	return r.object(key, t, planKeys, func(name, at string, t json.Token) (err error) {
		switch name {
		case "name":
			p.Name = t.(string)
		case "aim":
			p.ObjectiveMillis, err = r.number(at, t)
		case "steps":
			err = r.list(at, func(at string, t json.Token) error {
				p.Steps = append(p.Steps, Step{Freshness: freshnessAny})
				return r.step(at, t, &p.Steps[len(p.Steps)-1])
			})
		case "alternatives":
			if strings.Contains(at, "[") {
				return r.fault(at, "an alternative has none of its own")
			}
			err = r.list(at, func(at string, t json.Token) error {
				p.Alternatives = append(p.Alternatives, Plan{})
				return r.plan(at, t, &p.Alternatives[len(p.Alternatives)-1])
			})
		}
		return err
	})
}

func (r *planReader) step(key string, t json.Token, s *Step) error {
	named := 0
	err := r.object(key, t, stepKeys, func(name, at string, t json.Token) (err error) {
		switch name {
		case "name":
			s.Name = t.(string)
		case "sql":
			named++
			s.Statement = NewFingerprint(t.(string))
		case "statement":
			named++
			if e := s.Statement.UnmarshalText([]byte(t.(string))); e != nil {
				return r.fault(at, "it is %q; allowed is 32 hex digits", truncateText(t.(string)))
			}
		case "class":
			s.Class = t.(string)
		case "tenant":
			s.Tenant = t.(string)
		case "group":
			if s.Group, err = strconv.ParseUint(t.(json.Number).String(), 10, 64); err != nil {
				return r.fault(at, "it is %v; allowed is a whole number", t)
			}
		case "all":
			s.AllGroups = t.(bool)
		case "rows":
			s.Rows, err = r.number(at, t)
		case "bytes":
			s.Bytes, err = r.number(at, t)
		case "fresh":
			s.Freshness = t.(string)
		case "bound":
			s.MaxStalenessMillis, err = r.number(at, t)
		case "after":
			err = r.list(at, func(at string, t json.Token) error {
				word, ok := t.(string)
				if !ok {
					return r.fault(at, "it is %v; allowed is the name of a step", t)
				}
				s.After = append(s.After, word)
				return nil
			})
		}
		return err
	})
	if err == nil && named != 1 {
		err = r.fault(key, "it names its statement %d times; allowed is one of sql and statement", named)
	}
	return err
}

// ParsePlan reads a plan as JSON. Faults name file, line and key; the error is a *PlanFileError, with a *CycleError or *InvalidPlanError as
// its cause where the steps don't fit together.
func ParsePlan(file string, text []byte) (Plan, error) {
	var p Plan
	if len(text) > maxPlanBytes {
		return p, &PlanFileError{File: file, Line: 1, Problem: fmt.Sprintf("it has %d bytes, %d are allowed", len(text), maxPlanBytes)}
	}
	r := &planReader{file: file, text: text, d: json.NewDecoder(bytes.NewReader(text)), lines: map[string]int{"": 1}}
	r.d.UseNumber()
	t, err := r.token("")
	if err == nil {
		err = r.plan("", t, &p)
	}
	if err != nil {
		return Plan{}, err
	}
	if _, err = r.d.Token(); !errors.Is(err, io.EOF) {
		return Plan{}, r.fault("", "something stands behind the plan")
	}
	if err := r.validate(&p, ""); err != nil {
		return Plan{}, err
	}
	for i := range p.Alternatives {
		if err := r.validate(&p.Alternatives[i], fmt.Sprintf("alternatives[%d].", i)); err != nil {
			return Plan{}, err
		}
	}
	return p, nil
}

// validate finds the key and line of what is wrong with a plan; prefix is where the plan stands.
func (r *planReader) validate(p *Plan, prefix string) error {
	_, err := p.check()
	if err == nil {
		return nil
	}
	fault := &PlanFileError{File: r.file, Key: strings.TrimSuffix(prefix+"steps", "."), Problem: err.Error(), Cause: err}
	var invalid *InvalidPlanError
	var cycle *CycleError
	switch {
	case errors.As(err, &invalid):
		fault.Problem = fmt.Sprintf("it is %q; allowed is %s", invalid.Value, invalid.Allowed)
		if i := lastStep(p, invalid.Step); i >= 0 {
			fault.Key = fmt.Sprintf("%ssteps[%d].%s", prefix, i, invalid.Key)
		}
	case errors.As(err, &cycle):
		if i := lastStep(p, cycle.Steps[0]); i >= 0 {
			fault.Key = fmt.Sprintf("%ssteps[%d].after", prefix, i)
		}
	}
	fault.Line = r.lineOf(fault.Key)
	return fault
}

// lastStep returns the index of the last step of a name; -1: there is none.
func lastStep(p *Plan, name string) int {
	for i := len(p.Steps) - 1; i >= 0; i-- {
		if p.Steps[i].Name == name {
			return i
		}
	}
	return -1
}

// lineOf returns the line of a key, or of the nearest key that it is a part of. The whole text stands under the key "".
func (r *planReader) lineOf(key string) int {
	for {
		if line, known := r.lines[key]; known {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
}
