package catalog_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
)

// ignoringDecoder accepts every row and returns an empty record.
type ignoringDecoder struct{}

func (ignoringDecoder) Decode(r lovageyard.Row) (lovageyard.Record, error) {
	return lovageyard.Record{Key: r.Key, Version: r.Version}, nil
}

func TestPreviousValuesOfLargeRowsAreKept(t *testing.T) {
	c := qt.New(t)
	s := catalog.NewState(ignoringDecoder{})
	put := func(version int64, size int) lovageyard.Row {
		r := lovageyard.Row{Table: lovageyard.TableOrders, Key: "config", Version: version, Value: bytes.Repeat([]byte{byte(version)}, size)}
		applied, _ := s.ApplyChanges(r.Table, lovageyard.Changes{After: s.Cursor(r.Table).Version, To: version, Rows: []lovageyard.Row{r}}, time.Time{})
		c.Assert(applied, qt.IsTrue)
		return r
	}
	first := put(10, 100_000)
	second := put(20, 100_000)
	last := put(30, 100_000)
	for _, test := range []struct {
		known int64
		want  *lovageyard.Row
	}{{5, nil}, {10, &first}, {19, &first}, {20, &second}, {29, &second}, {30, &second}} {
		base, found := s.DeltaBase(last, at(test.known))
		c.Assert(found, qt.Equals, test.want != nil, qt.Commentf("known to %d", test.known))
		if found {
			c.Assert(base, qt.DeepEquals, *test.want)
		}
	}
	value, found := s.ValueAt(lovageyard.TableOrders, "config", at(10))
	c.Assert(found, qt.IsTrue)
	c.Assert(value, qt.DeepEquals, first.Value)
	_, found = s.ValueAt(lovageyard.TableOrders, "config", at(11))
	c.Assert(found, qt.IsFalse)

	// The oldest values are dropped beyond the limit.
	for version := int64(40); version < 80; version += 10 {
		last = put(version, 5<<20)
	}
	_, found = s.DeltaBase(last, at(50))
	c.Assert(found, qt.IsFalse)
	base, found := s.DeltaBase(last, at(60))
	c.Assert(found, qt.IsTrue)
	c.Assert(base.Version, qt.Equals, int64(60))
}
