package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/operator"
	"lovageyard.example/lovageyard/settings"
)

// Exit statuses besides 0 and settings.ExitUsage.
const (
	exitFailed   = 1
	exitConflict = 3
	exitNotFound = 4
)

// options are the commands and settings of the command line.
type options struct {
	OperatorAddress []string `default:"127.0.0.1:7003" help:"Operator addresses of entry instances; the next one is tried if one does not answer."`
	Output          string   `default:"text" enum:"text,json" help:"Output as text or json."`

	Class    classCommands    `cmd:"" help:"Classes of work."`
	Site     siteCommands     `cmd:"" help:"Sites."`
	Move     moveCommands     `cmd:"" help:"Moves of work between sites."`
	Instance instanceCommands `cmd:"" help:"Entry instances."`
	Charge   chargeCommands   `cmd:"" help:"Requests that must run at most once."`
	Trace    traceCommand     `cmd:"" help:"Tell one request's story from logs."`
	Incident incidentCommand  `cmd:"" help:"Sum up from logs what was refused, failed and changed in a span of time."`
	Report   reportCommand    `cmd:"" help:"Write a page of charts, from logs, on how requests ended."`
	Explain  explainCommand   `cmd:"" help:"Tell where a client's requests go, and why."`
	Status   statusCommand    `cmd:"" help:"Tell how one entry instance and its sites are doing."`
}

// invocation is what each command works with.
type invocation struct {
	context context.Context
	client  *operator.Client
	out     io.Writer
	json    bool
}

// print writes a value as JSON, or as the text that the function writes.
func (s *invocation) print(value any, text func(w io.Writer)) error {
	if !s.json {
		text(s.out)
		return nil
	}
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func main() {
	var o options
	parsed := settings.Parse("lovageyard", "LOVAGEYARD", "Operate the traffic steering system.", &o)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := parsed.Run(&invocation{
		context: ctx,
		client:  operator.NewClient(o.OperatorAddress),
		out:     os.Stdout,
		json:    o.Output == "json",
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "lovageyard:", err)
		showWinner(err)
		os.Exit(exitStatus(err))
	}
}

func exitStatus(err error) int {
	var field *class.FieldError
	if errors.As(err, &field) {
		return settings.ExitUsage
	}
	var call *operator.CallError
	if !errors.As(err, &call) {
		return exitFailed
	}
	switch call.Status {
	case http.StatusConflict:
		return exitConflict
	case http.StatusNotFound:
		return exitNotFound
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return settings.ExitUsage
	}
	return exitFailed
}

// showWinner prints the class that a racing operator put in force.
func showWinner(err error) {
	var call *operator.CallError
	if !errors.As(err, &call) || call.Problem.Winner == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "in force, at version %d:\n", call.Problem.Winner.Version)
	encoder := json.NewEncoder(os.Stderr)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(call.Problem.Winner.Class)
}
