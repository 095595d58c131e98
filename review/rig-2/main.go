package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
)

// record writes one line to record.txt, with the time since the start.
func record(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
	if recordFile != nil {
		_, _ = recordFile.WriteString(line)
	}
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

// unable is the panic of a case that can't run.
type unable struct{ text string }

func fail(format string, values ...any) { panic(unable{fmt.Sprintf(format, values...)}) }

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// trouble reports whether the case is to bring about its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	// The instances end with the thread that starts them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FILE")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	recordFile = f
	os.Exit(run(cases[os.Args[1]]))
}

// run runs a case and returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func run(f func(d *deployment) []string) (code int) {
	d := newDeployment()
	defer d.stop()
	defer func() {
		if p := recover(); p != nil {
			u, ok := p.(unable)
			if !ok {
				d.stop()
				panic(p)
			}
			record("the case could not run: %s", u.text)
			fmt.Println("could not run:", u.text)
			code = 2
		}
	}()
	go func() {
		time.Sleep(110 * time.Second)
		record("the case took too long")
		d.stop()
		os.Exit(2)
	}()
	broken := f(d)
	for _, b := range broken {
		record("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return 1
	}
	record("held")
	fmt.Println("held")
	return 0
}
