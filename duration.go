package lovageyard

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// Std converts d to a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String formats d like time.Duration, for example "1m30s".
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalJSON encodes d as a quoted string such as "30s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(d.String())), nil
}

// UnmarshalJSON decodes a quoted duration. A bare number is an error, because its unit is unknown.
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
