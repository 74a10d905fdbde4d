package flight

import (
	"errors"
	"fmt"
	"io"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"

	"ashstand/internal/edge"
)

// PostgreSQL's object IDs of the two types that a value can have in this package.
const (
	oidBytea = 17
	oidText  = 25
)

var errAnswerTooLong = errors.New("the answer is too long")

// recordBatch returns the single row of an answer, with its schema.
func recordBatch(a *edge.Answer) (*arrow.Schema, arrow.RecordBatch) {
	text := a.Type != oidBytea && !a.Binary // a value in text format is sent as a string, whatever its type
	kind := arrow.DataType(arrow.BinaryTypes.Binary)
	if text {
		kind = arrow.BinaryTypes.String
	}
	schema := arrow.NewSchema([]arrow.Field{{Name: a.Column, Type: kind, Nullable: true}}, nil)
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	switch f := b.Field(0).(type) {
	case *array.StringBuilder:
		if a.Null {
			f.AppendNull()
		} else {
			f.BinaryBuilder.Append(a.Value)
		}
	case *array.BinaryBuilder:
		if a.Null {
			f.AppendNull()
		} else {
			f.Append(a.Value)
		}
	}
	return schema, b.NewRecordBatch()
}

// boundedReader ends a stream with errAnswerTooLong once it exceeds the maximum size of an answer.
type boundedReader struct {
	flight.DataStreamReader
	remaining   int
	hasReceived bool // at least one message has arrived
}

func (r *boundedReader) Recv() (*flight.FlightData, error) {
	d, err := r.DataStreamReader.Recv()
	if err == nil {
		r.hasReceived = true
		if r.remaining -= len(d.DataBody) + len(d.DataHeader) + len(d.AppMetadata); r.remaining < 0 {
			return nil, errAnswerTooLong
		}
	}
	return d, err
}

// readAnswer reads a stream to its end before any of it is passed on: a stream that is cut off part-way counts as a reset, not as
// a short answer.
func readAnswer(stream *boundedReader, a *edge.Answer) (err error) {
	defer func() { // the Arrow library panics on some invalid lengths in its input
		if p := recover(); p != nil {
			err = fmt.Errorf("the answer can't be read: %v", p)
		}
	}()
	r, err := flight.NewRecordReader(stream)
	if err != nil {
		return err
	}
	defer r.Release()
	fields := r.Schema().Fields()
	if len(fields) != 1 {
		return errUnexpectedAnswer
	}
	a.Column = fields[0].Name
	rows := 0
	for {
		b, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return err
		}
		if b.NumRows() == 0 {
			continue
		}
		if rows += int(b.NumRows()); rows > 1 {
			return errUnexpectedAnswer
		}
		if err := readValue(b.Column(0), a); err != nil {
			return err
		}
	}
	if rows != 1 {
		return errUnexpectedAnswer
	}
	a.Tag = "SELECT 1"
	return nil
}

// readValue reads the first value of a column.
func readValue(column arrow.Array, a *edge.Answer) error {
	a.Null = column.IsNull(0)
	switch c := column.(type) {
	case *array.Binary:
		a.Type, a.Binary, a.Value = oidBytea, true, append([]byte{}, c.Value(0)...)
	case *array.String:
		a.Type, a.Value = oidText, []byte(c.Value(0))
	default:
		return errUnexpectedAnswer
	}
	return nil
}
