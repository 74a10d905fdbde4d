// Command simadapter speaks the simulator's wire on standard input and output and hosts one routing.Router for each
// instance.
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

const writeBufferBytes = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	d, w := wire.NewDecoder(in), bufio.NewWriterSize(out, writeBufferBytes)
	routers := map[int]*routing.Router{}
	var reply []byte
	for {
		b, err := d.Next()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		reply = answer(reply[:0], routers, b)
		reply = fmt.Appendf(reply, "NEXT seq=%s\n", b.Seq)
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// answer gives each instance its events of the batch in one step. What an instance was sent before its shutdown goes with
// it.
func answer(reply []byte, routers map[int]*routing.Router, b *wire.Batch) []byte {
	var order []int
	events := map[int][]routing.Event{}
	for _, item := range b.Items {
		switch {
		case item.IsShutdown:
			delete(routers, item.Instance)
			delete(events, item.Instance)
		case item.IsOpen:
			router, err := routing.New(item.Settings, item.Seed)
			if err != nil {
				reply = appendBug(reply, item.Instance, bugPrefix+err.Error())
				continue
			}
			routers[item.Instance] = router
			delete(events, item.Instance)
		default:
			if _, ok := events[item.Instance]; !ok {
				order = append(order, item.Instance)
			}
			events[item.Instance] = append(events[item.Instance], item.Event)
		}
	}
	for _, instance := range order {
		if router := routers[instance]; router != nil && events[instance] != nil {
			reply = step(reply, instance, router, b, events[instance])
			delete(events, instance)
		}
	}
	return reply
}

// step reports a panic of the router instead of dying of it.
func step(reply []byte, instance int, router *routing.Router, b *wire.Batch, events []routing.Event) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			out = appendBug(reply, instance, fmt.Sprint(p))
		}
	}()
	return wire.AppendActions(reply, instance, router.Step(b.Now, events))
}

// bugPrefix stands before settings that can't be served; the simulator's wire keeps it from before packages were renamed.
const bugPrefix = "choice: "

func appendBug(reply []byte, instance int, text string) []byte {
	return fmt.Appendf(reply, "BUG who=%d body_text=%s\n", instance, strings.ReplaceAll(text, "\n", " "))
}
