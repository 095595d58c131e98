package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/instance"
)

const (
	// instancesPerOwner bounds the reports of a second at one owner.
	instancesPerOwner = 100
	// ownersKey is what owners are chosen by.
	ownersKey = "quota-keepers"
)

// order is that in which instances keep accounts, by one view. The first ones, an owner for each
// instancesPerOwner instances, share the accounts; the others stand in.
type order struct {
	view  *catalog.View
	names []string
	// addresses has those of all in the order.
	addresses map[string]string
	// sharers is the number of instances that share the limits.
	sharers int
	// since is when this instance came to the place that it has among the owners.
	since    time.Duration
	accounts map[string]*lovageyard.Account
}

// newOrder returns the order by a view.
func newOrder(view *catalog.View) order {
	registered := registeredIn(view)
	o := order{view: view, names: candidates(registered), addresses: make(map[string]string), sharers: len(registered)}
	for _, name := range o.names {
		o.addresses[name] = registered[name].PeerAddress
	}
	return o
}

// registeredIn returns all instances that may be at work. Those that have not been heard of count as well: an
// instance that has just started knows no other yet, and is to name the same owners as all do.
func registeredIn(view *catalog.View) map[string]lovageyard.EntryInstance {
	registered := maps.Clone(view.Instances)
	if registered == nil {
		registered = make(map[string]lovageyard.EntryInstance)
	}
	for _, m := range view.Live {
		registered[m.Name] = m
	}
	return registered
}

// candidates returns the instances that may be owners, the first in the order that all agree on: those with the
// widest links.
func candidates(registered map[string]lovageyard.EntryInstance) []string {
	widest := 0.0
	for _, m := range registered {
		widest = max(widest, m.LinkMbps)
	}
	var names []string
	for name, m := range registered {
		if m.LinkMbps >= widest {
			names = append(names, name)
		}
	}
	return instance.Rendezvous(names, ownersKey, len(names))
}

// owners returns the number of places that accounts are shared by.
func (o *order) owners() int {
	return min(len(o.names), 1+o.sharers/instancesPerOwner)
}

// place returns an instance's place among the owners, or -1.
func (o *order) place(name string) int {
	return slices.Index(o.names[:o.owners()], name)
}

// placeOf returns the place of the owner of an account, if there are owners.
func (o *order) placeOf(account string) int {
	return int(xxhash.Sum64String(account) % uint64(max(1, o.owners())))
}

// at returns the instance that owns the accounts of a place, or "" if all are avoided: the one that has the place,
// then the other owners, then those behind them.
func (o *order) at(place int, isAvoided func(name string) bool) string {
	count := o.owners()
	for n, name := range o.names {
		if n < count {
			name = o.names[(place+n)%count]
		}
		if !isAvoided(name) {
			return name
		}
	}
	return ""
}

// accountsOf returns the accounts of a view by their names; those of the order before are kept if the
// configuration is the same.
func (o *order) accountsOf(view *catalog.View) map[string]*lovageyard.Account {
	if o.view != nil && o.view.Configuration == view.Configuration {
		return o.accounts
	}
	if view.Configuration == nil {
		return nil
	}
	accounts := make(map[string]*lovageyard.Account, len(view.Configuration.Accounts))
	for i, a := range view.Configuration.Accounts {
		accounts[a.Name] = &view.Configuration.Accounts[i]
	}
	return accounts
}
