package main

import (
	"fmt"
	"net/http"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

const (
	// revokeBound is the time after the revocation of a key from which no request with it may run; no fault
	// excuses it.
	revokeBound = 5 * time.Second
	// permanentAccounts is the number of accounts that every configuration has.
	permanentAccounts = 3
)

// accounts returns the client accounts of a configuration: the permanent ones, and one that only this version
// has. There are none if an older version of the daemon runs too, which may not support them.
func (d *deployment) accounts(version uint64) []lovageyard.Account {
	if d.withoutAccounts {
		return nil
	}
	list := []lovageyard.Account{{Name: versionAccount(version)}}
	for n := range permanentAccounts {
		list = append(list, lovageyard.Account{Name: permanentAccount(n)})
	}
	return list
}

func permanentAccount(n int) string {
	return fmt.Sprint("account-", n%permanentAccounts)
}

// isPermanent reports whether every configuration has the account.
func isPermanent(account string) bool {
	for n := range permanentAccounts {
		if permanentAccount(n) == account {
			return true
		}
	}
	return false
}

// versionAccount returns the name of the account that only one version of the configuration has.
func versionAccount(version uint64) string {
	return fmt.Sprint("account-of-version-", version)
}

// setKey sets a key of an account, and a forged account header that instances must replace.
func (d *deployment) setKey(h http.Header, account string) {
	if d.withoutAccounts {
		return
	}
	fake.SetKey(h, fake.KeysOf(account)[0])
	h.Set("X-Tenant", "forged")
}

// probeRevoked sends a request with the key that the newest configuration has revoked.
func (c *callerPool) probeRevoked(client *http.Client, address string, version uint64, accepted time.Time) {
	if c.deployment.withoutAccounts || version == 0 {
		return
	}
	revoked := time.Since(accepted) > revokeBound
	o := c.sendAs(client, versionAccount(version), revoked, address, http.MethodGet, lookUpPrefix+"x", "", false, probeTimeout)
	c.check.RecordOutcome(o)
}

// AccountSeen checks the account that a server receives for a request, and that it never receives the key.
func (c *checker) AccountSeen(server, id, account string, showsKey bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, known := c.accounts[id]
	if !known {
		return
	}
	c.counts["checked requests for accounts"]++
	if showsKey || account != sent.name {
		c.violationf("server %s got %s as of account %q, sent by %q; key shown: %v", server, id, account, sent.name, showsKey)
	}
	if sent.revoked {
		c.violationf("server %s got %s, whose key was revoked more than %s before", server, id, revokeBound)
	}
}

// sentAccount is the account whose key a request was sent with. revoked means that the key was revoked more
// than revokeBound before, so that the request must not run.
type sentAccount struct {
	name    string
	revoked bool
}

// RecordAccount records a request's account. It is called before the request is sent.
func (c *checker) RecordAccount(id string, s sentAccount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accounts[id] = s
	if s.revoked {
		c.counts["checked requests with revoked keys"]++
	}
}

// checkKeyAccepted checks that a request of a permanent account is not refused for an unknown key; the caller
// holds the lock.
func (c *checker) checkKeyAccepted(o outcome) {
	sent, known := c.accounts[o.ID]
	if known && o.Status == http.StatusUnauthorized && isPermanent(sent.name) {
		c.violationf("%s of %s was refused by %s, as if its key were unknown", o.ID, sent.name, o.Instance)
	}
}
