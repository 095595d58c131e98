package class

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// Bounds of the fields of a class.
const (
	MaxImportance = 9
	MinInterval   = time.Second
	MaxInterval   = 24 * time.Hour
	MaxDeadline   = time.Hour
	maxNameLength = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

var methods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodPost,
	http.MethodPut,
	http.MethodPatch,
	http.MethodDelete,
	http.MethodOptions,
}

// FieldError reports an invalid field of a class, and the values that are accepted.
type FieldError struct {
	Field    string
	Accepted string
}

// Error returns the path of the field and the accepted values.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Accepted
}

// Decode decodes one class from JSON and checks it. Unknown fields are errors.
func Decode(data []byte) (lovageyard.Class, error) {
	var c lovageyard.Class
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return c, describeError(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return c, &FieldError{Field: "class", Accepted: "one JSON object, with nothing after it"}
	}
	return c, Check(c)
}

func describeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &FieldError{Field: typeError.Field, Accepted: "a " + typeError.Type.String() + " is expected, not a " + typeError.Value}
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return errors.Errorf("not JSON at byte %d: %v", syntaxError.Offset, err)
	}
	return errors.New(strings.TrimPrefix(err.Error(), "json: "))
}

// Check returns a *FieldError for the first invalid field of c, or nil.
func Check(c lovageyard.Class) error {
	if err := checkName("name", c.Name); err != nil {
		return err
	}
	if err := checkName("service", c.Service); err != nil {
		return err
	}
	if len(c.Match) == 0 {
		return &FieldError{Field: "match", Accepted: "at least one rule is needed"}
	}
	for i, m := range c.Match {
		if err := checkMatch("match["+strconv.Itoa(i)+"]", m); err != nil {
			return err
		}
	}
	if d := c.Deadline.Std(); d <= 0 || d > MaxDeadline {
		return &FieldError{Field: "deadline", Accepted: "more than 0s, at most " + MaxDeadline.String()}
	}
	if c.Importance < 0 || c.Importance > MaxImportance {
		return &FieldError{Field: "importance", Accepted: "0 to " + strconv.Itoa(MaxImportance)}
	}
	return checkTarget(c.Target)
}

func checkName(field, name string) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return &FieldError{Field: field, Accepted: "lower-case letters, digits and hyphens, at most 63"}
	}
	return nil
}

func checkMatch(field string, m lovageyard.Match) error {
	if !strings.HasPrefix(m.PathPrefix, "/") {
		return &FieldError{Field: field + ".path-prefix", Accepted: "a path that starts with /"}
	}
	if m.PathPrefix == LookUpPath {
		return &FieldError{Field: field + ".path-prefix", Accepted: LookUpPath + " is taken by look-ups"}
	}
	for i, name := range m.Methods {
		if !slices.Contains(methods, name) {
			return &FieldError{Field: field + ".methods[" + strconv.Itoa(i) + "]", Accepted: strings.Join(methods, ", ")}
		}
	}
	return nil
}

func checkTarget(t lovageyard.Target) error {
	for i, site := range t.Sites {
		if err := checkName("target.sites["+strconv.Itoa(i)+"]", site); err != nil {
			return err
		}
		if slices.Contains(t.Sites[:i], site) {
			return &FieldError{Field: "target.sites[" + strconv.Itoa(i) + "]", Accepted: "a site is named once"}
		}
	}
	if !(t.Cap > 0 && t.Cap <= 1) {
		return &FieldError{Field: "target.cap", Accepted: "more than 0, at most 1"}
	}
	if !(t.FailoverCap >= 0 && t.FailoverCap <= 1) {
		return &FieldError{Field: "target.failover-cap", Accepted: "0 to 1"}
	}
	if d := t.Interval.Std(); d < MinInterval || d > MaxInterval {
		return &FieldError{Field: "target.interval", Accepted: MinInterval.String() + " to " + MaxInterval.String()}
	}
	return nil
}
