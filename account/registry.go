package account

import "lovageyard.example/lovageyard"

// maxKey is the maximum length in bytes of a key that is looked up; longer keys are treated as unknown without
// hashing them.
const maxKey = 512

// Registry maps keys to accounts, by the digests of the keys. It is immutable and safe for concurrent use.
type Registry struct {
	accounts []lovageyard.Account
	// byKey holds the index in accounts for each key digest.
	byKey map[lovageyard.KeyDigest]int32
}

// NewRegistry returns a registry of accounts. It keeps the slice, which must not be modified afterwards.
func NewRegistry(accounts []lovageyard.Account) *Registry {
	count := 0
	for _, a := range accounts {
		count += len(a.Keys)
	}
	r := &Registry{accounts: accounts, byKey: make(map[lovageyard.KeyDigest]int32, count)}
	for i, a := range accounts {
		for _, key := range a.Keys {
			r.byKey[key] = int32(i)
		}
	}
	return r
}

// IsEmpty reports whether there are no accounts, in which case requests need no key. A nil Registry is empty.
func (r *Registry) IsEmpty() bool {
	return r == nil || len(r.accounts) == 0
}

// Find returns the account that a key belongs to, or nil if the key is unknown. It does not allocate memory.
func (r *Registry) Find(key string) *lovageyard.Account {
	if r == nil || key == "" || len(key) > maxKey {
		return nil
	}
	index, found := r.byKey[lovageyard.DigestKey(key)]
	if !found {
		return nil
	}
	return &r.accounts[index]
}
