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

// Exit statuses besides 0 and settings.ExitUsage, as described in the package comment.
const (
	exitFailed   = 1
	exitConflict = 3
	exitNotFound = 4
)

// options defines the global flags and the commands.
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

// invocation holds what is common to all commands: the client of the operator API and the output.
type invocation struct {
	context context.Context
	client  *operator.Client
	out     io.Writer
	json    bool
}

// print writes a value as indented JSON if --output is json, and calls text otherwise.
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
		printConflict(err)
		os.Exit(exitStatus(err))
	}
}

// exitStatus maps an error to the exit status that the package comment documents.
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

// printConflict prints the class in force to standard error if a write failed with a version conflict.
func printConflict(err error) {
	var call *operator.CallError
	if !errors.As(err, &call) || call.Problem.Winner == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "in force, at version %d:\n", call.Problem.Winner.Version)
	encoder := json.NewEncoder(os.Stderr)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(call.Problem.Winner.Class)
}
