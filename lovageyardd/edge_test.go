package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/settings"
)

// templateValues are the values with which the platform renders the settings template.
var templateValues = map[string]string{
	"Node": "front-1", "Zone": "north-1", "Region": "north", "Ip": "10.0.0.1", "InternalPorts.0": "7200",
	"Listen.Front": "10.0.0.1:1", "Listen.Ready": "10.0.0.1:2", "Listen.Directory": "10.0.0.1:3", "Listen.Control": "10.0.0.1:4",
	"Platform.Addr": "10.9.0.1:5", "Seeds": "10.0.0.1:4,10.0.0.2:4", "Limits.RamMb": "284",
	"Bounds.ttl_max_s": "5", "Bounds.GraceS": "6", "Bounds.RetryRatio": "0.2", "Bounds.RetryWindowS": "10",
	"Bounds.RetrySlack": "64", "Bounds.ColdExcess": "1.5", "Bounds.ColdSlack": "5", "Bounds.MaxShift": "0.25", "Limits.LinkMbps": "200.0",
	"Bounds.ApplyMs": "3000",
}

// accountValues are additional values for deployments with client accounts.
var accountValues = map[string]string{
	"Bounds.StrictRevoke": "true", "Bounds.RevokeMs": "5000",
	"Bounds.QuotaWindowS": "4", "Bounds.QuotaExcess": "0.2", "Bounds.QuotaSlack": "30",
}

// render renders the deployed settings template as the platform does.
func render(c *qt.C) string {
	return renderWith(c, nil)
}

// sections matches conditional parts of a template: {{#Name}} renders its content if the value
// exists, {{^Name}} if it does not.
var sections = regexp.MustCompile(`\{\{([#^])([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)

// renderWith renders the template with additional values.
func renderWith(c *qt.C, additional map[string]string) string {
	text, err := os.ReadFile(filepath.Join("..", "deploy", "settings.json"))
	c.Assert(err, qt.IsNil)
	zones := regexp.MustCompile(`\{\{#Zones\}\}.*\{\{/Zones\}\}`)
	filled := zones.ReplaceAllString(string(text), "north-1=north,south-1=south")
	filled = sections.ReplaceAllStringFunc(filled, func(text string) string {
		parts := sections.FindStringSubmatch(text)
		if _, found := additional[parts[2]]; found != (parts[1] == "#") {
			return ""
		}
		return parts[3]
	})
	for _, values := range []map[string]string{templateValues, additional} {
		for name, value := range values {
			filled = strings.ReplaceAll(filled, "{{"+name+"}}", value)
		}
	}
	c.Assert(filled, qt.Not(qt.Contains), "{{")
	return filled
}

func parseEdgeOptions(c *qt.C, text string) (edgeOptions, error) {
	path := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	file, err := settings.File(path)
	c.Assert(err, qt.IsNil)
	var parsed commands
	_, err = settings.Read([]string{"edge"}, programName, envPrefix, programAbout, &parsed, file)
	return parsed.Edge, err
}

func TestDeployedSettingsAreValid(t *testing.T) {
	c := qt.New(t)
	o, err := parseEdgeOptions(c, render(c))
	c.Assert(err, qt.IsNil)
	c.Assert(o.Instance, qt.Equals, "front-1")
	c.Assert(o.MetricsAddress, qt.Equals, "10.0.0.1:7200")
	c.Assert(o.LeaveWithin, qt.Equals, 6*time.Second)
	c.Assert(o.PeerAddresses, qt.HasLen, 2)
	c.Assert(o.localDemandShare(), qt.Equals, 0.5)
	bounds := o.bounds()
	c.Assert(bounds.Retries.Slack, qt.Equals, 64.0)
	c.Assert(bounds.Cold.Excess, qt.Equals, 1.5)
	c.Assert(o.LinkMbps, qt.Equals, 200.0)
	c.Assert(bounds.Shift, qt.Equals, dispatch.ShiftBound{MaxChange: 0.25, Window: 2 * time.Second})
}

// A platform that states no processor quota must not make the settings invalid.
func TestProcessorQuotaIsOptional(t *testing.T) {
	c := qt.New(t)
	for want, values := range map[float64]map[string]string{0: nil, 0.16: {"Limits.CpuQuota": "0.16"}} {
		o, err := parseEdgeOptions(c, renderWith(c, values))
		c.Assert(err, qt.IsNil)
		c.Assert(o.CPUQuota, qt.Equals, want)
	}
}

func TestInvalidSettingsNameTheField(t *testing.T) {
	for name, value := range map[string]string{
		"instance": "", "caller-address": "nowhere", "peer-addresses": "10.0.0.1", "keep-for-max": "0s",
		"leave-within": "soon", "retry-ratio": "-1", "retry-window": "10ms", "cold-slack": "-1", "memory-mb": "-1", "cpu-quota": "-1", "largest-shift": "0",
		"link-mbps": "-1", "revoke-within": "-1s", "apply-within": "soon", "drain-within": "-1s", "quota-window": "10ms", "quota-excess": "-1", "quota-slack": "-1",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			line := regexp.MustCompile(`"` + name + `": "[^"]*"`)
			_, err := parseEdgeOptions(c, line.ReplaceAllString(render(c), `"`+name+`": "`+value+`"`))
			c.Assert(err, qt.ErrorMatches, ".*--"+name+".*")
		})
	}
}

// Without a limit of the process's memory nothing is known of what it may hold, so that no request may be refused for
// it. With one, bodies must leave most of it to everything else.
func TestBudgetForBodiesIsPartOfTheMemoryLimit(t *testing.T) {
	c := qt.New(t)
	o, err := parseEdgeOptions(c, render(c))
	c.Assert(err, qt.IsNil)
	c.Assert(o.MemoryMB, qt.Equals, 284)
	c.Assert(o.memoryPool().Stats().Limit, qt.Equals, int64(71<<20))
	c.Assert(o.MinBodyRate, qt.Equals, int64(0))
	c.Assert((&edgeOptions{}).memoryPool(), qt.IsNil)
	_, err = parseEdgeOptions(c, strings.Replace(render(c), `"memory-mb"`, `"min-body-rate": "-1", "memory-mb"`, 1))
	c.Assert(err, qt.ErrorMatches, ".*--min-body-rate.*")
}

func TestSettingsFileChangeIsDetected(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(path, []byte("{}"), 0o600), qt.IsNil)
	file := newSettingsFile(path)
	c.Assert(file.changed(), qt.IsFalse)
	c.Assert(os.WriteFile(path, []byte(`{"a":"b"}`), 0o600), qt.IsNil)
	c.Assert(file.changed(), qt.IsTrue)
	c.Assert(file.changed(), qt.IsFalse)
	c.Assert(os.Remove(path), qt.IsNil)
	c.Assert(file.changed(), qt.IsFalse)
}

// The shortest of the deployment's time limits decides how often the platform is read; a limit that is not set
// does not count.
func TestShortestTimeLimitIsTheTimeForChanges(t *testing.T) {
	c := qt.New(t)
	for drain, want := range map[string]time.Duration{"2000": 2 * time.Second, "4000": 3 * time.Second, "0": 3 * time.Second} {
		o, err := parseEdgeOptions(c, renderWith(c, map[string]string{"Bounds.DrainMs": drain}))
		c.Assert(err, qt.IsNil)
		c.Assert(o.changeWithin(), qt.Equals, want)
	}
	o, err := parseEdgeOptions(c, render(c))
	c.Assert(err, qt.IsNil)
	c.Assert(o.changeWithin(), qt.Equals, 3*time.Second)
}

// TestDeployedAccountSettings checks that the limits for client accounts are set if the
// deployment has accounts, and that otherwise no instance stops because its configuration is old.
func TestDeployedAccountSettings(t *testing.T) {
	c := qt.New(t)
	o, err := parseEdgeOptions(c, renderWith(c, accountValues))
	c.Assert(err, qt.IsNil)
	c.Assert(o.Check(), qt.IsNil)
	c.Assert(o.RevokeWithin, qt.Equals, 5*time.Second)
	c.Assert(o.ageLimits().Serve, qt.Equals, 4500*time.Millisecond)
	c.Assert(o.ageLimits().Reject, qt.Equals, 2700*time.Millisecond)
	c.Assert(o.QuotaWindow, qt.Equals, 4*time.Second)
	c.Assert(o.QuotaExcess, qt.Equals, 0.2)
	c.Assert(o.QuotaSlack, qt.Equals, 30.0)
	o, err = parseEdgeOptions(c, render(c))
	c.Assert(err, qt.IsNil)
	c.Assert(o.Check(), qt.IsNil)
	c.Assert(o.ageLimits().Serve, qt.Equals, time.Duration(0))
	c.Assert(o.QuotaSlack, qt.Equals, 0.0)
}
