package lovageyard

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time span that reads and writes itself as text such as "1.5s".
type Duration time.Duration

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns d in the format of time.Duration.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalJSON writes d as a quoted string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(d.String())), nil
}

// UnmarshalJSON reads a quoted duration; a bare number is an error, as its unit is unknown.
func (d *Duration) UnmarshalJSON(data []byte) error {
	text, err := strconv.Unquote(string(data))
	if err != nil {
		return errors.Errorf("duration %s is not a string such as \"30s\"", data)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q is not of the form 30s, 1.5m or 2h", text)
	}
	*d = Duration(value)
	return nil
}
