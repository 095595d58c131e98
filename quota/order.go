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
	// instancesPerOwner bounds the number of instances that report to one owner.
	instancesPerOwner = 100
	// rendezvousKey is the key that owners are ranked by. Changing it moves all accounts to other owners.
	rendezvousKey = "quota-keepers"
)

// ownerOrder ranks the instances as owners of accounts, for one view. The first ones, one for each
// instancesPerOwner instances, share the accounts; the others are fallbacks.
type ownerOrder struct {
	view  *catalog.View
	names []string
	// addresses holds the peer address of each candidate.
	addresses map[string]string
	// instances is the number of instances that share the limits.
	instances int
	// since is when this instance got its current rank among the owners.
	since    time.Duration
	accounts map[string]*lovageyard.Account
}

// newOwnerOrder returns the ranking for a view.
func newOwnerOrder(view *catalog.View) ownerOrder {
	registered := registeredIn(view)
	o := ownerOrder{view: view, names: candidates(registered), addresses: make(map[string]string), instances: len(registered)}
	for _, name := range o.names {
		o.addresses[name] = registered[name].PeerAddress
	}
	return o
}

// registeredIn returns all instances that may be running. It includes those that have not been observed yet:
// an instance that has just started has not observed any other, but has to choose the same owners as all do.
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

// candidates returns the instances that may be owners, in the order that all instances agree on. Only those
// with the largest link capacity qualify.
func candidates(registered map[string]lovageyard.EntryInstance) []string {
	largest := 0.0
	for _, m := range registered {
		largest = max(largest, m.LinkMbps)
	}
	var names []string
	for name, m := range registered {
		if m.LinkMbps >= largest {
			names = append(names, name)
		}
	}
	return instance.Rendezvous(names, rendezvousKey, len(names))
}

// owners returns the number of ranks among which the accounts are distributed.
func (o *ownerOrder) owners() int {
	return min(len(o.names), 1+o.instances/instancesPerOwner)
}

// rankOf returns an instance's rank among the owners, or -1.
func (o *ownerOrder) rankOf(name string) int {
	return slices.Index(o.names[:o.owners()], name)
}

// ownerRank returns the rank of the owner of an account; it is valid only if there are owners.
func (o *ownerOrder) ownerRank(account string) int {
	return int(xxhash.Sum64String(account) % uint64(max(1, o.owners())))
}

// instanceAt returns the instance that owns the accounts of a rank, or "" if all candidates are avoided. It
// tries the instance of that rank first, then the other owners, then the fallbacks.
func (o *ownerOrder) instanceAt(rank int, isAvoided func(name string) bool) string {
	count := o.owners()
	for n, name := range o.names {
		if n < count {
			name = o.names[(rank+n)%count]
		}
		if !isAvoided(name) {
			return name
		}
	}
	return ""
}

// accountsOf returns the accounts of a view by name. It reuses the previous map if the configuration is the
// same.
func (o *ownerOrder) accountsOf(view *catalog.View) map[string]*lovageyard.Account {
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
