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
	instances := map[int]*routing.Choice{}
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
func answer(reply []byte, instances map[int]*routing.Choice, b *wire.Batch) []byte {
	var order []int
	events := map[int][]routing.Event{}
	for _, it := range b.Items {
		switch {
		case it.Stop:
			delete(instances, it.Who)
			delete(events, it.Who)
		case it.Open:
			c, err := routing.New(it.Settings, it.Seed)
			if err != nil {
				reply = bug(reply, it.Who, err)
				continue
			}
			instances[it.Who] = c
			delete(events, it.Who)
		default:
			if _, ok := events[it.Who]; !ok {
				order = append(order, it.Who)
			}
			events[it.Who] = append(events[it.Who], it.Event)
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
func step(reply []byte, who int, c *routing.Choice, b *wire.Batch, events []routing.Event) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			out = bug(reply, who, p)
		}
	}()
	return wire.Append(reply, who, c.Step(b.Now, events))
}

func bug(reply []byte, who int, what any) []byte {
	text := strings.ReplaceAll(fmt.Sprint(what), "\n", " ")
	return fmt.Appendf(reply, "BUG who=%d body_text=%s\n", who, text)
}
