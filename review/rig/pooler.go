package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// pooler is one process of the project's pooler, started by the command run of the deploy file.
type pooler struct {
	record   *record
	folder   string // its root: bin, and deploy with the operator's file
	listen   string // statements
	sessions string // sessions; "": off
	config   map[string]any
	cmd      *exec.Cmd
	log      *os.File
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newPooler prepares a pooler in a temporary folder. root is the repository. operatorFile is the text of the operator's
// file; %s stands for the address of the session front. "": the file as it is delivered.
func newPooler(r *record, root, folder string, a *agent, settings, operatorFile string) (*pooler, error) {
	p := &pooler{record: r, folder: folder}
	var err error
	if p.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(folder, "deploy"), 0o755); err != nil {
		return nil, err
	}
	if err := os.Symlink(filepath.Join(root, "bin"), filepath.Join(folder, "bin")); err != nil {
		return nil, err
	}
	file, err := os.ReadFile(filepath.Join(root, "deploy", "ashstand.hcl"))
	if err != nil {
		return nil, err
	}
	if operatorFile != "" {
		if p.sessions, err = freeAddress(); err != nil {
			return nil, err
		}
		file = []byte(fmt.Sprintf(operatorFile, p.sessions))
	}
	if err := os.WriteFile(filepath.Join(folder, "deploy", "ashstand.hcl"), file, 0o644); err != nil {
		return nil, err
	}
	p.config = map[string]any{
		"name": "n1", "listen": p.listen, "discovery": a.address(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    a.whole(),
		"settings": json.RawMessage(settings),
	}
	return p, nil
}

// runCommand returns the command run of the deploy file.
func runCommand(root string) (string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run")
}

// start starts the process and waits until it answers an empty query, as the front does.
func (p *pooler) start(root string) error {
	b, err := json.Marshal(p.config)
	if err != nil {
		return err
	}
	configPath := filepath.Join(p.folder, "config.json")
	if err := os.WriteFile(configPath, b, 0o644); err != nil {
		return err
	}
	command, err := runCommand(root)
	if err != nil {
		return err
	}
	if p.log, err = os.Create(filepath.Join(p.folder, "pooler.log")); err != nil {
		return err
	}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = p.folder, p.log, p.log
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+configPath, "EDGE_NAME=n1", "EDGE_LISTEN="+p.listen, "EDGE_DISCOVERY="+p.config["discovery"].(string))
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.record.printf("pooler: %q started as process %d, statements at %s, sessions at %q", command, p.cmd.Process.Pid, p.listen, p.sessions)
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		k, err := connect(p.record, "front", p.listen)
		if err != nil {
			continue
		}
		a := k.ask("")[0]
		k.close()
		if a.broken == nil && a.state == "" {
			return nil
		}
	}
	return fmt.Errorf("the pooler is not ready")
}

// kill ends the process at once.
func (p *pooler) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
	}
}

// stop ends the process and keeps its log.
func (p *pooler) stop() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(done)
	}()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		_ = p.cmd.Process.Kill()
		<-done
	}
	p.record.printf("pooler: process %d has ended", p.cmd.Process.Pid)
	_ = p.log.Close()
	if b, err := os.ReadFile(p.log.Name()); err == nil {
		p.record.printf("pooler's log:\n%s", b)
	}
}
