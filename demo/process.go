package main

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Timeouts of starting and stopping a process.
const (
	readyTimeout = 10 * time.Second
	stopTimeout  = 20 * time.Second
)

// process is a program that the demo has started.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
	err     error
}

// startProcess starts a program of the bin directory with its standard error written to a log file. Unless
// ready is nil, it decodes the first line of output, which announces the addresses, into it.
func (d *demo) startProcess(name, program string, ready any, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(d.logs, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	p := &process{name: name, log: log, exited: make(chan struct{})}
	p.command = exec.Command(filepath.Join(d.bin, program), args...)
	p.command.Stderr = log
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	d.processes = append(d.processes, p)
	if ready == nil {
		go p.waitExit()
		return p, nil
	}
	lines := make(chan []byte, 1)
	go func() {
		scanner := bufio.NewScanner(out)
		scanner.Buffer(nil, 1<<20)
		if scanner.Scan() {
			lines <- append([]byte(nil), scanner.Bytes()...)
		}
		close(lines)
		p.waitExit()
	}()
	select {
	case line := <-lines:
		return p, errors.Wrap(json.Unmarshal(line, ready), name+" did not announce itself")
	case <-time.After(readyTimeout):
		return nil, errors.Errorf("%s did not start in %s", name, readyTimeout)
	}
}

func (p *process) waitExit() {
	p.err = p.command.Wait()
	p.log.Close()
	close(p.exited)
}

// stop sends SIGTERM and waits until the process exits. It kills the process after stopTimeout.
func (p *process) stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return errors.Wrap(p.err, p.name)
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		<-p.exited
		return errors.Errorf("%s did not stop in %s", p.name, stopTimeout)
	}
}
