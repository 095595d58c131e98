package main

import (
	"fmt"
	"net/http"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

const (
	// revokeWithin is the time after which a key that was taken away runs nothing, whatever is harmed.
	revokeWithin = 5 * time.Second
	// lastingAccounts is the number of accounts that every configuration has.
	lastingAccounts = 3
)

// accounts returns the client accounts of a version: some that last, and one that only this version has. There are
// none beside an older version of the daemon, which may not know them.
func (y *yard) accounts(version uint64) []lovageyard.Account {
	if y.without {
		return nil
	}
	list := []lovageyard.Account{{Name: accountOf(version)}}
	for n := range lastingAccounts {
		list = append(list, lovageyard.Account{Name: lastingAccount(n)})
	}
	return list
}

func lastingAccount(n int) string {
	return fmt.Sprint("account-", n%lastingAccounts)
}

// isLasting says whether every configuration has an account.
func isLasting(account string) bool {
	for n := range lastingAccounts {
		if lastingAccount(n) == account {
			return true
		}
	}
	return false
}

// accountOf returns the account that only one version has.
func accountOf(version uint64) string {
	return fmt.Sprint("account-of-version-", version)
}

// setKey sets a key of an account, and a forged account beside it.
func (y *yard) setKey(h http.Header, account string) {
	if y.without {
		return
	}
	fake.SetKey(h, fake.KeysOf(account)[0])
	h.Set("X-Tenant", "forged")
}

// probeTaken asks an instance with the key that the last configuration took away.
func (c *crowd) probeTaken(client *http.Client, address string, version uint64, accepted time.Time) {
	if c.yard.without || version == 0 {
		return
	}
	late := time.Since(accepted) > revokeWithin
	o := c.sendAs(client, accountOf(version), late, address, http.MethodGet, lookUpPrefix+"x", "", false, probeTimeout)
	c.check.Ended(o)
}

// Identified checks what a server is told of a request's caller.
func (c *checker) AccountSeen(server, id, account string, showsKey bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, known := c.accounts[id]
	if !known {
		return
	}
	c.counts["judged requests for accounts"]++
	if showsKey || account != sent.name {
		c.violate("server %s got %s as of account %q, sent by %q; key shown: %v", server, id, account, sent.name, showsKey)
	}
	if sent.taken {
		c.violate("server %s got %s, whose key was taken away more than %s before", server, id, revokeWithin)
	}
}

// sentAs is the account that a request was sent by, and whether its key had been taken away for so long that it may not
// run.
type sentAs struct {
	name  string
	taken bool
}

// SendAs notes a request's account before it is sent.
func (c *checker) SendAs(id string, s sentAs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accounts[id] = s
	if s.taken {
		c.counts["judged requests with keys taken away"]++
	}
}

// checkKnown checks that a request of a lasting account is not told that its key is unknown; the caller holds the lock.
func (c *checker) checkKnown(o outcome) {
	sent, known := c.accounts[o.ID]
	if known && o.Status == http.StatusUnauthorized && isLasting(sent.name) {
		c.violate("%s of %s was told by %s that its key is unknown", o.ID, sent.name, o.Instance)
	}
}
