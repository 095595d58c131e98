package account_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/account"
)

// accounts returns count accounts with the given number of keys each.
func accounts(count, keys int) []lovageyard.Account {
	list := make([]lovageyard.Account, count)
	for i := range list {
		list[i].Name = fmt.Sprint("account-", i)
		for k := range keys {
			list[i].Keys = append(list[i].Keys, lovageyard.DigestKey(fmt.Sprintf("key-%d-%d", i, k)))
		}
	}
	return list
}

func TestFindReturnsAccountOfKey(t *testing.T) {
	c := qt.New(t)
	r := account.NewRegistry(accounts(3, 2))
	c.Assert(r.IsEmpty(), qt.IsFalse)
	for i := range 3 {
		for k := range 2 {
			c.Assert(r.Find(fmt.Sprintf("key-%d-%d", i, k)).Name, qt.Equals, fmt.Sprint("account-", i))
		}
	}
	for _, unknown := range []string{"", "key-3-0", "key-0-0 ", "KEY-0-0", "account-0", strings.Repeat("k", 8<<10)} {
		c.Assert(r.Find(unknown), qt.IsNil, qt.Commentf("%.20q", unknown))
	}
}

func TestRegistryWithoutAccountsIsEmpty(t *testing.T) {
	c := qt.New(t)
	var none *account.Registry
	c.Assert(none.IsEmpty(), qt.IsTrue)
	c.Assert(none.Find("key"), qt.IsNil)
	c.Assert(account.NewRegistry(nil).IsEmpty(), qt.IsTrue)
}

func TestFindDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	r := account.NewRegistry(accounts(72, 2))
	c.Assert(testing.AllocsPerRun(100, func() { r.Find("key-71-1") }), qt.Equals, 0.0)
}

func BenchmarkFind(b *testing.B) {
	for _, size := range []struct{ accounts, keys int }{{72, 1}, {10_000, 10}} {
		b.Run(fmt.Sprint(size.accounts*size.keys), func(b *testing.B) {
			r := account.NewRegistry(accounts(size.accounts, size.keys))
			b.ReportAllocs()
			for b.Loop() {
				r.Find("key-71-0")
			}
		})
	}
}
