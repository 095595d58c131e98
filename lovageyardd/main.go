package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"lovageyard.example/lovageyard/settings"
)

func main() {
	var o options
	settings.Parse("lovageyardd", "LOVAGEYARD", "An entry instance of the traffic steering system.", &o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "lovageyardd:", err)
		os.Exit(1)
	}
}

// run serves until a signal asks to leave; a second signal hurries.
func run(o options) error {
	leave, stopLeave := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopLeave()
	d, err := start(o)
	if err != nil {
		return err
	}
	<-leave.Done()
	hurry, stopHurry := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopHurry()
	return d.stop(hurry)
}
