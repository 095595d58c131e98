package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/operator"
)

type classCommands struct {
	Put    classPut    `cmd:"" help:"Put a class in force."`
	Check  classCheck  `cmd:"" help:"Check a class file without an entry instance."`
	List   classList   `cmd:"" help:"List the classes."`
	Show   classShow   `cmd:"" help:"Show one class as a class file."`
	Delete classDelete `cmd:"" help:"Delete a class."`
}

// readClass decodes a class file, or standard input for "-". All its errors are FieldErrors, which
// exitStatus maps to settings.ExitUsage.
func readClass(file string) (lovageyard.Class, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return lovageyard.Class{}, &class.FieldError{Field: "file", Accepted: err.Error()}
	}
	c, err := class.Decode(data)
	var field *class.FieldError
	if err != nil && !errors.As(err, &field) {
		err = &class.FieldError{Field: file, Accepted: err.Error()}
	}
	return c, err
}

type classPut struct {
	File    string `arg:"" help:"Class file, or - for standard input."`
	Version int64  `default:"-1" help:"Version that the file is based on; without it, the version in force when the command starts."`
}

// Run writes the class if its version is still the one that the file is based on.
func (p *classPut) Run(s *invocation) error {
	c, err := readClass(p.File)
	if err != nil {
		return err
	}
	version := p.Version
	if version < 0 {
		if version, err = currentVersion(s, c.Name); err != nil {
			return err
		}
	}
	accepted, err := s.client.PutClass(s.context, c, version)
	if err != nil {
		return err
	}
	return s.print(accepted, func(w io.Writer) {
		fmt.Fprintf(w, "class %s accepted as version %d\n", accepted.Class.Name, accepted.Version)
	})
}

// currentVersion returns the version of a class in force, 0 if the class does not exist.
func currentVersion(s *invocation, name string) (int64, error) {
	known, err := s.client.Class(s.context, name)
	var call *operator.CallError
	if errors.As(err, &call) && call.Status == http.StatusNotFound {
		return 0, nil
	}
	return known.Version, err
}

type classCheck struct {
	File string `arg:"" help:"Class file, or - for standard input."`
}

// Run validates the class file locally, without calling an entry instance.
func (k *classCheck) Run(s *invocation) error {
	c, err := readClass(k.File)
	if err != nil {
		return err
	}
	return s.print(c, func(w io.Writer) { fmt.Fprintf(w, "class %s is well-formed\n", c.Name) })
}

type classList struct{}

// Run lists all classes with their versions, sites and move limits.
func (classList) Run(s *invocation) error {
	status, err := s.client.Status(s.context)
	if err != nil {
		return err
	}
	return s.print(status.Classes, func(w io.Writer) {
		table(w, "CLASS\tVERSION\tSERVICE\tIDEMPOTENT\tSITES\tCAP\tINTERVAL", func(w io.Writer) {
			for _, k := range status.Classes {
				fmt.Fprintf(w, "%s\t%d\t%s\t%v\t%s\t%v\t%s\n", k.Class.Name, k.Version, k.Class.Service,
					k.Class.Idempotent, sitesText(k.Class.Target.Sites), k.Class.Target.Cap, k.Class.Target.Interval)
			}
		})
	})
}

func sitesText(sites []string) string {
	if len(sites) == 0 {
		return "all"
	}
	return strings.Join(sites, ",")
}

type classShow struct {
	Name string `arg:"" help:"Name of the class."`
}

// Run prints a class as a class file, which is JSON in either output format. In the text format the
// version goes to standard error, so that the output can be edited and put again.
func (k *classShow) Run(s *invocation) error {
	known, err := s.client.Class(s.context, k.Name)
	if err != nil {
		return err
	}
	if s.json {
		return s.print(known, nil)
	}
	fmt.Fprintf(os.Stderr, "version %d\n", known.Version)
	file := invocation{out: s.out, json: true}
	return file.print(known.Class, nil)
}

type classDelete struct {
	Name    string `arg:"" help:"Name of the class."`
	Version int64  `required:"" help:"Version that was read."`
}

// Run deletes a class if its version is still the one that was read.
func (k *classDelete) Run(s *invocation) error {
	return s.client.DeleteClass(s.context, k.Name, k.Version)
}

// table writes a header and rows of tab-separated cells as aligned columns.
func table(w io.Writer, head string, rows func(w io.Writer)) {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, head)
	rows(columns)
	columns.Flush()
}
