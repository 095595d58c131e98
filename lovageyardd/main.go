package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/settings"
)

// commands holds the subcommands and their settings.
type commands struct {
	Serve options     `cmd:"" default:"withargs" help:"Serve with operators' classes and placement plans (the default)."`
	Edge  edgeOptions `cmd:"" help:"Serve on a platform that holds routes, servers and drains and tells of their changes."`
	// Metrics prints the reference page of metrics; it has no settings.
	Metrics struct{} `cmd:"" help:"Print the page of the metrics of edge."`
}

const (
	programName  = "lovageyardd"
	programAbout = "An entry instance of the traffic steering system."
	envPrefix    = "LOVAGEYARD"
)

func main() {
	file, err := fileOptions()
	if err != nil {
		fmt.Fprintln(os.Stderr, "lovageyardd:", err)
		os.Exit(settings.ExitUsage)
	}
	var c commands
	parsed := settings.Parse(programName, envPrefix, programAbout, &c, file...)
	switch command, _, _ := strings.Cut(parsed.Command(), " "); command {
	case "edge":
		err = runEdge(c.Edge)
	case "metrics":
		fmt.Print(meter.Page())
	default:
		err = run(c.Serve)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lovageyardd:", err)
		os.Exit(1)
	}
}

// fileOptions returns the parser options for the settings file that the platform names in the
// environment, or none if it names none.
func fileOptions() ([]kong.Option, error) {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return nil, nil
	}
	option, err := settings.File(path)
	if err != nil {
		return nil, err
	}
	return []kong.Option{option}, nil
}

// run serves until SIGTERM or SIGINT, and then shuts down gracefully. A second signal skips the
// waits of the shutdown.
func run(o options) error {
	leave, stopLeave := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopLeave()
	d, err := start(o)
	if err != nil {
		return err
	}
	d.closeExpiredUntil(leave.Done())
	abort, stopAbort := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopAbort()
	return d.stop(abort)
}
