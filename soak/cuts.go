package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ownerInterval is the time between two searches for the instances that own connections, during a cut.
const ownerInterval = 100 * time.Millisecond

// cuts holds back the connections between single instances and all servers. A connection's instance is found by its
// socket, since instances share one address.
type cuts struct {
	mu sync.Mutex
	// active holds the cuts by the processes of the instances that are cut off.
	active map[int]*cut
	// owners holds the processes by the local ports of their connections.
	owners map[int]int
}

// cut is the time in which an instance is cut off; its connections are held until ended is closed, or reset.
type cut struct {
	reset bool
	ended chan struct{}
}

func newCuts() *cuts {
	return &cuts{active: make(map[int]*cut), owners: make(map[int]int)}
}

// cutOff cuts a process off from all servers for a time. Connections are reset, or held.
func (c *cuts) cutOff(process int, d time.Duration, reset bool) {
	c.begin(process, reset)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(ownerInterval) {
		c.findOwners()
	}
	c.end(process)
}

// begin starts a cut, in place of one that is active. Connections are affected once findOwners has found them.
func (c *cuts) begin(process int, reset bool) {
	c.end(process)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active[process] = &cut{reset: reset, ended: make(chan struct{})}
}

// end ends the cut of a process, if there is one.
func (c *cuts) end(process int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ending := c.active[process]; ending != nil {
		close(ending.ended)
		delete(c.active, process)
	}
}

// of returns the cut that a connection is affected by, or nil.
func (c *cuts) of(conn net.Conn) *cut {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	c.mu.Lock()
	active := len(c.active) > 0
	_, known := c.owners[remote.Port]
	c.mu.Unlock()
	if active && !known {
		time.Sleep(2 * ownerInterval)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[c.owners[remote.Port]]
}

// findOwners finds the local ports of the connections of the processes that are cut off.
func (c *cuts) findOwners() {
	c.mu.Lock()
	var processes []int
	for process := range c.active {
		processes = append(processes, process)
	}
	c.mu.Unlock()
	ports, err := portsBySocket()
	if err != nil {
		return
	}
	owners := make(map[int]int, len(ports))
	for _, port := range ports {
		owners[port] = 0
	}
	for _, process := range processes {
		for _, socket := range socketsOf(process) {
			if port, found := ports[socket]; found {
				owners[port] = process
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners = owners
}

// portsBySocket returns the local port of each IPv4 and IPv6 TCP socket of this machine.
func portsBySocket() (map[string]int, error) {
	ports := make(map[string]int)
	for _, path := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(text)) {
			fields := strings.Fields(line)
			if len(fields) < 10 {
				continue
			}
			_, hex, _ := strings.Cut(fields[1], ":")
			if port, err := strconv.ParseInt(hex, 16, 32); err == nil && fields[9] != "0" {
				ports[fields[9]] = int(port)
			}
		}
	}
	return ports, nil
}

// socketsOf returns the sockets that a process has open.
func socketsOf(process int) []string {
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", process))
	if err != nil {
		return nil
	}
	var sockets []string
	for _, path := range links {
		// The process may have closed it meanwhile.
		target, err := os.Readlink(path)
		if name, found := strings.CutPrefix(target, "socket:["); err == nil && found {
			sockets = append(sockets, strings.TrimSuffix(name, "]"))
		}
	}
	return sockets
}

// asTimeout reports whether an error is a timeout of the network, and sets target to it.
func asTimeout(err error, target *net.Error) bool {
	return errors.As(err, target) && (*target).Timeout()
}
