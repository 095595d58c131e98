package class

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

const validClass = `{
	"name": "movement-lookups", "service": "movements", "idempotent": true, "deadline": "2s", "importance": 8,
	"match": [{"path-prefix": "/movements/", "methods": ["GET"]}],
	"target": {"cap": 0.1, "interval": "30s"}
}`

func TestDecode(t *testing.T) {
	for _, test := range []struct {
		name string
		data string
		want string
	}{
		{"good", validClass, ""},
		{"no JSON", `{`, `.*unexpected end of JSON.*|unexpected EOF`},
		{"unknown field", `{"weight": 3}`, `unknown field "weight"`},
		{"wrong type", `{"importance": "high"}`, `importance: a int is expected, not a string`},
		{"two objects", validClass + validClass, `class: one JSON object.*`},
		{"no name", `{}`, `name: lower-case.*`},
		{"duration without unit", `{"deadline": 5}`, `duration 5 is not a string.*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Decode([]byte(test.data))
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

func TestCheckNamesTheField(t *testing.T) {
	for _, test := range []struct {
		field  string
		change func(c *lovageyard.Class)
	}{
		{"name", func(c *lovageyard.Class) { c.Name = "Upper" }},
		{"service", func(c *lovageyard.Class) { c.Service = "" }},
		{"match", func(c *lovageyard.Class) { c.Match = nil }},
		{"match[0].path-prefix", func(c *lovageyard.Class) { c.Match[0].PathPrefix = "movements" }},
		{"match[0].path-prefix", func(c *lovageyard.Class) { c.Match[0].PathPrefix = LookUpPath }},
		{"match[0].methods[0]", func(c *lovageyard.Class) { c.Match[0].Methods = []string{"FETCH"} }},
		{"deadline", func(c *lovageyard.Class) { c.Deadline = 0 }},
		{"importance", func(c *lovageyard.Class) { c.Importance = 10 }},
		{"target.sites[1]", func(c *lovageyard.Class) { c.Target.Sites = []string{"a", "a"} }},
		{"target.cap", func(c *lovageyard.Class) { c.Target.Cap = 0 }},
		{"target.cap", func(c *lovageyard.Class) { c.Target.Cap = 1.1 }},
		{"target.failover-cap", func(c *lovageyard.Class) { c.Target.FailoverCap = -1 }},
		{"target.interval", func(c *lovageyard.Class) { c.Target.Interval = 1 }},
	} {
		t.Run(test.field, func(t *testing.T) {
			c := qt.New(t)
			k, err := Decode([]byte(validClass))
			c.Assert(err, qt.IsNil)
			test.change(&k)
			err = Check(k)
			fieldError, ok := err.(*FieldError)
			c.Assert(ok, qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(fieldError.Field, qt.Equals, test.field)
		})
	}
}

func TestIndexFindsTheMostSpecificRule(t *testing.T) {
	x := NewIndex([]lovageyard.Class{
		{Name: "all", Match: []lovageyard.Match{{PathPrefix: "/"}}},
		{Name: "charges", Match: []lovageyard.Match{{PathPrefix: "/charges/", Methods: []string{"POST"}}}},
		{Name: "desk", Match: []lovageyard.Match{{PathPrefix: "/charges/", Host: "desk.example"}}},
	})
	for _, test := range []struct{ method, target, want string }{
		{"GET", "http://any.example/other", "all"},
		{"POST", "http://any.example/charges/7", "charges"},
		{"GET", "http://any.example/charges/7", "all"},
		{"GET", "http://DESK.example:80/charges/7", "desk"},
	} {
		c := qt.New(t)
		found := x.Find(httptest.NewRequest(test.method, test.target, nil))
		c.Assert(found, qt.IsNotNil)
		c.Assert(found.Name, qt.Equals, test.want)
	}
	c := qt.New(t)
	c.Assert(x.ByName("desk").Name, qt.Equals, "desk")
	c.Assert(x.ByName("none"), qt.IsNil)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validClass))
	f.Add([]byte(`{"target": {"cap": 1e999}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		k, err := Decode(data)
		if err == nil && Check(k) != nil {
			t.Fatal("Decode accepted a class that Check rejects")
		}
	})
}
