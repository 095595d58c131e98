package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/settings"
)

type options struct {
	KeepFor time.Duration     `default:"1s"`
	Regions map[string]string `mapsep:","`
	Peers   []string
}

// readSettings reads options from a settings file with the given text and from arguments.
func readSettings(c *qt.C, text string, arguments ...string) (options, error) {
	path := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	file, err := settings.File(path)
	if err != nil {
		return options{}, err
	}
	var o options
	_, err = settings.Read(arguments, "test", "LOVAGEYARD_TEST", "", &o, file)
	return o, err
}

func TestFileProvidesSettings(t *testing.T) {
	c := qt.New(t)
	o, err := readSettings(c, `{"keep-for": "3s", "regions": "a=x,b=y", "peers": "p:1,q:2", "unknown": "1"}`)
	c.Assert(err, qt.IsNil)
	c.Assert(o, qt.DeepEquals, options{
		KeepFor: 3 * time.Second, Regions: map[string]string{"a": "x", "b": "y"}, Peers: []string{"p:1", "q:2"},
	})
}

func TestFlagsOverrideFileAndEmptyStringsAreIgnored(t *testing.T) {
	c := qt.New(t)
	o, err := readSettings(c, `{"keep-for": "3s", "peers": ""}`, "--keep-for", "5s")
	c.Assert(err, qt.IsNil)
	c.Assert(o.KeepFor, qt.Equals, 5*time.Second)
	c.Assert(o.Peers, qt.HasLen, 0)
}

func TestInvalidFile(t *testing.T) {
	c := qt.New(t)
	_, err := readSettings(c, `{"keep-for": 3}`)
	c.Assert(err, qt.ErrorMatches, "settings file .*: a JSON object of strings is expected.*")
	_, err = readSettings(c, `{"keep-for": "soon"}`)
	c.Assert(err, qt.ErrorMatches, ".*keep-for.*")
	_, err = settings.File(filepath.Join(c.TempDir(), "none"))
	c.Assert(err, qt.ErrorMatches, "settings file: .*")
}

// A settings file that does not end must be refused without filling the memory.
func TestEndlessFileIsRefused(t *testing.T) {
	_, err := settings.File("/dev/zero")
	qt.Assert(t, err, qt.ErrorMatches, "settings file: /dev/zero is longer than .*")
}
