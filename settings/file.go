package settings

import (
	"encoding/json"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// File returns a parser option that reads settings from a JSON file, an object that maps flag
// names to strings, such as {"keep-for": "2s"}. Flags and environment variables take precedence.
// An empty string counts as no value, and unknown names are ignored.
func File(path string) (kong.Option, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	values := make(map[string]string)
	if err := json.Unmarshal(data, &values); err != nil {
		return nil, errors.Wrapf(err, "settings file %s: a JSON object of strings is expected", path)
	}
	resolver := func(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
		if value := values[flag.Name]; value != "" {
			return value, nil
		}
		return nil, nil
	}
	return kong.Resolvers(kong.ResolverFunc(resolver)), nil
}

// maxFileBytes limits a settings file.
const maxFileBytes = 1 << 20

// readFile reads a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxFileBytes {
		return nil, errors.Errorf("%s is longer than %d bytes", path, maxFileBytes)
	}
	return data, nil
}
