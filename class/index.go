package class

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"lovageyard.example/lovageyard"
)

// LookUpPath is the path of the callers' listener that answers look-ups.
const LookUpPath = "/look-up"

// Index finds the class of a request; it is immutable.
type Index struct {
	rules   []rule
	classes []lovageyard.Class
}

type rule struct {
	match lovageyard.Match
	class int
}

// NewIndex returns the index of the classes; a longer path prefix goes before a shorter one.
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

// Find returns the class of a request, or nil.
func (x *Index) Find(r *http.Request) *lovageyard.Class {
	for i := range x.rules {
		if matches(x.rules[i].match, r) {
			return &x.classes[x.rules[i].class]
		}
	}
	return nil
}

// ByName returns the class of a name, or nil.
func (x *Index) ByName(name string) *lovageyard.Class {
	position, found := slices.BinarySearchFunc(x.classes, name, func(c lovageyard.Class, name string) int {
		return strings.Compare(c.Name, name)
	})
	if !found {
		return nil
	}
	return &x.classes[position]
}

// All returns the classes in the order of their names; callers do not change them.
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
