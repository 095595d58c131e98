package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// startTimeout bounds the wait for the first line of an instance's output.
const startTimeout = 30 * time.Second

// exitTimeout bounds the wait for an instance that was sent SIGTERM; it normally exits within 2 s.
const exitTimeout = 20 * time.Second

// instance is one entry instance, over all its incarnations. Each start of its process is a new incarnation.
type instance struct {
	// accounts enables the settings for client accounts.
	accounts bool
	name     string
	domain   string
	region   string
	program  string
	// otherProgram is the program of the other version, if instances of two versions run.
	otherProgram string
	logPath      string
	// settings are further settings of the daemon.
	settings []string
	// store is the address of the instance's proxy to the store.
	store string

	mu              sync.Mutex
	incarnation     int
	command         *exec.Cmd
	exited          chan struct{}
	caller          string
	lookUps         string
	peers           string
	exitExpected    bool
	unexpectedExits []string
}

// start starts a new incarnation, which joins the others through joinAddresses, and waits until it has logged
// its addresses.
func (i *instance) start(joinAddresses []string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.incarnation++
	log, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	arguments := []string{
		"edge", "--instance", i.name, "--failure-domain", i.domain, "--region", i.region,
		"--regions", "north-1=north,north-2=north,south-1=south,south-2=south",
		"--caller-address", "127.0.0.1:0", "--ready-address", "127.0.0.1:0", "--look-up-address", "127.0.0.1:0",
		"--peer-address", "127.0.0.1:0", "--platform-address", i.store, "--keep-for", "1s", "--leave-within", "6s",
		"--retry-ratio", fmt.Sprint(retryRatio), "--retry-slack", fmt.Sprint(retrySlack), "--retry-window", retryWindow.String(),
		"--cold-excess", fmt.Sprint(coldExcess), "--cold-slack", fmt.Sprint(coldSlack),
	}
	if i.accounts {
		arguments = append(arguments, "--revoke-within", revokeBound.String(), "--apply-within", applyBound.String(), "--drain-within", drainWithin.String())
	}
	arguments = append(arguments, i.settings...)
	if len(joinAddresses) > 0 {
		arguments = append(arguments, "--peer-addresses", strings.Join(joinAddresses, ","))
	}
	command := exec.Command(i.program, arguments...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stderr = log
	// The kernel kills the instance when the soak exits, even if the soak is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	i.command = command
	i.exitExpected = false
	i.exited = make(chan struct{})
	started := make(chan error, 1)
	go i.copyOutput(command, bufio.NewReader(out), log, started, i.exited)
	select {
	case err := <-started:
		return errors.Wrap(err, i.name)
	case <-time.After(startTimeout):
		return errors.Errorf("%s did not start", i.name)
	}
}

// copyOutput reads the addresses from the first line of the output and sends the result to started, then
// copies the output to the log until the process exits. It records an exit that no fault caused.
func (i *instance) copyOutput(command *exec.Cmd, out *bufio.Reader, log io.WriteCloser, started chan<- error, exited chan<- struct{}) {
	defer log.Close()
	line, err := out.ReadBytes('\n')
	if err == nil {
		var addresses struct {
			Caller  string `json:"caller-address"`
			LookUps string `json:"look-up-address"`
			Peers   string `json:"peer-address"`
		}
		err = json.Unmarshal(line, &addresses)
		i.caller, i.lookUps, i.peers = addresses.Caller, addresses.LookUps, addresses.Peers
	}
	started <- err
	_, _ = log.Write(line)
	_, _ = io.Copy(log, out)
	err = command.Wait()
	i.mu.Lock()
	if !i.exitExpected {
		i.unexpectedExits = append(i.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", i.name, err))
	}
	i.mu.Unlock()
	close(exited)
}

// signal sends a signal to the current incarnation. After SIGKILL and SIGTERM its exit is expected.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.exitExpected = true
	}
	if i.command != nil {
		_ = i.command.Process.Signal(s)
	}
}

// waitExit waits until the current incarnation exits, and kills it after exitTimeout.
func (i *instance) waitExit() error {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(exitTimeout):
		i.signal(syscall.SIGKILL)
		<-exited
		return errors.Errorf("%s did not exit in %s", i.name, exitTimeout)
	}
}

// endpoints holds the addresses of an instance's current incarnation.
type endpoints struct {
	instance, incarnation  string
	caller, lookUps, peers string
}

func (i *instance) endpoints() endpoints {
	i.mu.Lock()
	defer i.mu.Unlock()
	return endpoints{
		instance: i.name, incarnation: fmt.Sprintf("%s/%d", i.name, i.incarnation),
		caller: i.caller, lookUps: i.lookUps, peers: i.peers,
	}
}

// serves reports whether the current incarnation listens at an address and was not told to exit.
func (i *instance) serves(address string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.caller == address && !i.exitExpected
}

// build builds the daemon into a directory and returns the path of the program.
func build(dir string) (string, error) {
	return buildIn(filepath.Join("..", "lovageyardd"), filepath.Join(dir, "lovageyardd"))
}

// buildIn builds the program whose source is in dir, writes it to path and returns path.
func buildIn(dir, path string) (string, error) {
	command := exec.Command("go", "build", "-buildvcs=false", "-o", path, ".")
	command.Dir = dir
	if out, err := command.CombinedOutput(); err != nil {
		return "", errors.Errorf("build: %v: %s", err, out)
	}
	return path, nil
}
