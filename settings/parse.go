package settings

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// ExitUsage is the exit status of a program with invalid settings.
const ExitUsage = 2

// timestampFormat is the format of timestamps in JSON lines. It has milliseconds, so that lines of the
// same second can be ordered.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// Checker is implemented by settings structs that validate themselves. The error of Check names the
// invalid setting.
type Checker interface {
	Check() error
}

// Parse parses the command line and the environment into the struct that into points to, and
// validates it. The environment variable of a flag such as --caller-address is
// PREFIX_CALLER_ADDRESS, with the given prefix. If a setting is invalid, Parse prints one line to
// standard error and exits with status ExitUsage.
func Parse(name, prefix, about string, into any, extra ...kong.Option) *kong.Context {
	parsed, err := Read(os.Args[1:], name, prefix, about, into, extra...)
	if err != nil {
		fail(os.Stderr, name, err)
	}
	return parsed
}

// Read parses and validates settings from the given arguments like Parse, but returns the first error.
func Read(arguments []string, name, prefix, about string, into any, extra ...kong.Option) (*kong.Context, error) {
	parser, err := kong.New(into, append([]kong.Option{
		kong.Name(name),
		kong.Description(about),
		kong.DefaultEnvars(prefix),
		kong.UsageOnError(),
	}, extra...)...)
	if err != nil {
		return nil, err
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return nil, err
	}
	if checker, ok := into.(Checker); ok {
		return parsed, checker.Check()
	}
	if command := parsed.Selected(); command != nil {
		if checker, ok := command.Target.Addr().Interface().(Checker); ok {
			return parsed, checker.Check()
		}
	}
	return parsed, nil
}

func fail(w io.Writer, name string, err error) {
	fmt.Fprintf(w, "%s: %v\n", name, err)
	os.Exit(ExitUsage)
}

// Address returns an error that names the setting unless value has the form host:port with a
// numeric port.
func Address(setting, value string) error {
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		return errors.Errorf("--%s: %q is not of the form host:port", setting, value)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return errors.Errorf("--%s: port %q is not 0 to 65535", setting, port)
	}
	return nil
}

// Required returns an error that names the setting if value is empty.
func Required(setting, value string) error {
	if value == "" {
		return errors.Errorf("--%s: a value is needed", setting)
	}
	return nil
}

// Logger returns a logger that writes lines of at least the given level to standard error, as
// JSON if format is "json" and as text otherwise.
func Logger(level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Errorf("--log-level: %q is not one of error, warning, info, debug", level)
	}
	logger := logrus.New()
	logger.SetLevel(parsed)
	if format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	}
	return logger, nil
}
