package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/settings"
)

type options struct {
	Platform platformCommand `cmd:"" help:"Run the platform: tables, objects and the list of instances."`
	Servers  serversCommand  `cmd:"" help:"Run backend servers of one failure domain."`
}

func main() {
	var o options
	parsed := settings.Parse("standin", "STANDIN", "Stand-ins for the platform and for backend servers.", &o)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}

// announce prints the addresses that the program listens at as one line of JSON.
func announce(value any) error {
	return errors.Wrap(json.NewEncoder(os.Stdout).Encode(value), "announce")
}
