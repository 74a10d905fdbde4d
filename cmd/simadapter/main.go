// Command adapter speaks the bench's wire on standard input and output and hosts one choice.Choice per instance.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"ashstand/internal/wire"
	"ashstand/routing"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	d, w := wire.NewDecoder(in), bufio.NewWriterSize(out, 1<<16)
	instances := map[int]*routing.Router{}
	var reply []byte
	for {
		b, err := d.Next()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		reply = answer(reply[:0], instances, b)
		w.Write(reply)
		fmt.Fprintf(w, "NEXT seq=%s\n", b.Seq)
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// answer gives each instance its events of the batch in one step. What an instance was sent before it was stopped
// goes with it.
func answer(reply []byte, instances map[int]*routing.Router, b *wire.Batch) []byte {
	var order []int
	events := map[int][]routing.Event{}
	for _, it := range b.Items {
		switch {
		case it.IsShutdown:
			delete(instances, it.Instance)
			delete(events, it.Instance)
		case it.IsOpen:
			c, err := routing.New(it.Settings, it.Seed)
			if err != nil {
				reply = bug(reply, it.Instance, err)
				continue
			}
			instances[it.Instance] = c
			delete(events, it.Instance)
		default:
			if _, ok := events[it.Instance]; !ok {
				order = append(order, it.Instance)
			}
			events[it.Instance] = append(events[it.Instance], it.Event)
		}
	}
	for _, who := range order {
		if c := instances[who]; c != nil && events[who] != nil {
			reply = step(reply, who, c, b, events[who])
			delete(events, who)
		}
	}
	return reply
}

// step reports a panic of the module instead of dying of it.
func step(reply []byte, who int, c *routing.Router, b *wire.Batch, events []routing.Event) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			out = bug(reply, who, p)
		}
	}()
	return wire.AppendActions(reply, who, c.Step(b.Now, events))
}

func bug(reply []byte, who int, what any) []byte {
	text := strings.ReplaceAll(fmt.Sprint(what), "\n", " ")
	return fmt.Appendf(reply, "BUG who=%d body_text=%s\n", who, text)
}
