package class

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"lovageyard.example/lovageyard"
)

// LookUpPath is the path for look-ups on the callers' listener. No class may use it as a path prefix.
const LookUpPath = "/look-up"

// Index finds the class of a request. It is immutable and safe for concurrent use.
type Index struct {
	rules   []rule
	classes []lovageyard.Class
}

type rule struct {
	match lovageyard.Match
	class int
}

// NewIndex returns an index of the classes. Rules with a longer path prefix take precedence, then those with a
// longer host, then those with more methods.
func NewIndex(classes []lovageyard.Class) *Index {
	x := &Index{classes: slices.Clone(classes)}
	slices.SortFunc(x.classes, func(a, b lovageyard.Class) int {
		return strings.Compare(a.Name, b.Name)
	})
	for i, c := range x.classes {
		for _, m := range c.Match {
			x.rules = append(x.rules, rule{match: m, class: i})
		}
	}
	slices.SortStableFunc(x.rules, compareRules)
	return x
}

func compareRules(a, b rule) int {
	if n := len(b.match.PathPrefix) - len(a.match.PathPrefix); n != 0 {
		return n
	}
	if n := len(b.match.Host) - len(a.match.Host); n != 0 {
		return n
	}
	return len(b.match.Methods) - len(a.match.Methods)
}

// Find returns the class of the first rule that matches the request, or nil.
func (x *Index) Find(r *http.Request) *lovageyard.Class {
	for i := range x.rules {
		if matches(x.rules[i].match, r) {
			return &x.classes[x.rules[i].class]
		}
	}
	return nil
}

// ByName returns the class of that name, or nil.
func (x *Index) ByName(name string) *lovageyard.Class {
	index, found := slices.BinarySearchFunc(x.classes, name, func(c lovageyard.Class, name string) int {
		return strings.Compare(c.Name, name)
	})
	if !found {
		return nil
	}
	return &x.classes[index]
}

// All returns the classes ordered by name. Callers must not modify the slice.
func (x *Index) All() []lovageyard.Class {
	return x.classes
}

func matches(m lovageyard.Match, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, m.PathPrefix) {
		return false
	}
	if m.Host != "" && !strings.EqualFold(m.Host, hostOnly(r.Host)) {
		return false
	}
	return len(m.Methods) == 0 || slices.Contains(m.Methods, r.Method)
}

func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
