package peer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/peer/wire"
)

// Sizes of rows.
const (
	// zipFrom is the size from which on a value is compressed.
	zipFrom = 512
	// maxValue bounds what a compressed value may grow to.
	maxValue = 16 << 20
)

// FromChanges returns the wire form of changes; long values are compressed, as the rows
// of plans repeat themselves.
func FromChanges(c lovageyard.Changes) *wire.Changes {
	w := &wire.Changes{After: c.After, To: c.To}
	for _, r := range c.Rows {
		row := &wire.Row{Table: r.Table, Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted}
		if zipped := Zip(r.Value); len(r.Value) >= zipFrom && len(zipped) < len(r.Value) {
			row.Value = nil
			row.Zipped = zipped
		}
		w.Rows = append(w.Rows, row)
	}
	return w
}

// Zip returns a compressed value.
func Zip(value []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

// ToChanges returns the changes of a wire message, or an error if a row can't be read.
func ToChanges(w *wire.Changes) (lovageyard.Changes, error) {
	c := lovageyard.Changes{After: w.GetAfter(), To: w.GetTo()}
	for _, r := range w.GetRows() {
		row := lovageyard.Row{Table: r.GetTable(), Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue(), Deleted: r.GetDeleted()}
		if len(r.GetZipped()) > 0 {
			value, err := Unzip(r.GetZipped())
			if err != nil {
				return c, errors.Wrap(err, "row "+r.GetTable()+"/"+r.GetKey())
			}
			row.Value = value
		}
		c.Rows = append(c.Rows, row)
	}
	return c, nil
}

// Unzip returns the value of a compressed one, or an error if it is damaged or too large.
func Unzip(zipped []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(zipped))
	if err != nil {
		return nil, errors.Wrap(err, "compressed value")
	}
	value, err := io.ReadAll(io.LimitReader(r, maxValue+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed value")
	}
	if len(value) > maxValue {
		return nil, errors.Errorf("compressed value: larger than %d bytes", maxValue)
	}
	return value, nil
}
