package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/settings"
)

// options are the settings of the load generator.
type options struct {
	LookUpAddress []string      `required:"" help:"Caller addresses of entry instances to send look-ups to."`
	Stream        []string      `required:"" sep:"none" help:"Stream of requests: class:method:path:rate-a-second:bytes, such as movements:GET:/movements/:200:2000."`
	Network       []string      `default:"127.1.0.0/16" help:"Networks whose addresses the clients use, one after the other."`
	Arrivals      string        `default:"poisson" enum:"poisson,fixed" help:"Times between arrivals: poisson (random) or fixed."`
	Clients       int           `default:"60" help:"Number of clients."`
	Duration      time.Duration `default:"10s" help:"How long to send for."`
	Timeout       time.Duration `default:"5s" help:"Time after which a request without an answer counts as failed."`
	Seed          uint64        `default:"1" help:"Seed of the arrivals."`
	JSON          string        `name:"json" help:"File for the results as JSON, or - for standard output."`
	CSV           string        `name:"csv" help:"File for the results as CSV, or - for standard output."`
}

// Check returns an error that names the first setting that is wrong.
func (o *options) Check() error {
	for _, address := range o.LookUpAddress {
		if err := settings.Address("look-up-address", address); err != nil {
			return err
		}
	}
	if o.Clients < 1 {
		return errors.Errorf("--clients: %d is not a number above 0", o.Clients)
	}
	if o.Duration <= 0 || o.Timeout <= 0 {
		return errors.New("--duration and --timeout: a duration above 0s is needed")
	}
	for _, text := range o.Stream {
		if _, err := parseStream(text); err != nil {
			return err
		}
	}
	_, err := parseNetworks(o.Network)
	return err
}

func main() {
	var o options
	settings.Parse("lovageyard-load", "LOVAGEYARD_LOAD", "Send an open-loop load through entry instances.", &o)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "lovageyard-load:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	l, err := newLoad(o)
	if err != nil {
		return err
	}
	results := l.run(ctx)
	if err := writeJSON(o.JSON, results); err != nil {
		return err
	}
	if err := writeCSV(o.CSV, results); err != nil {
		return err
	}
	if o.JSON != "-" && o.CSV != "-" {
		writeText(os.Stdout, results)
	}
	return nil
}
