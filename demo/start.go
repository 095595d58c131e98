package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/block"
	"lovageyard.example/lovageyard/operator"
	"lovageyard.example/lovageyard/platform"
)

// startAll starts the platform, the backend servers and the entry instances.
func (d *demo) startAll() error {
	var ready struct {
		Address string `json:"address"`
	}
	if _, err := d.startProcess("platform", "standin", &ready, "platform"); err != nil {
		return err
	}
	d.platform = ready.Address
	for position, domain := range d.deployment.domains() {
		if err := d.startServers(position, domain); err != nil {
			return err
		}
	}
	for position, domain := range d.deployment.domains() {
		for n := range d.deployment.perDomain {
			if err := d.startEntry(position, fmt.Sprintf("%s-entry-%d", domain, n+1), domain); err != nil {
				return err
			}
		}
	}
	var addresses []string
	for _, e := range d.entries {
		addresses = append(addresses, e.OperatorAddress)
	}
	d.operator = operator.NewClient(addresses)
	return nil
}

func (d *demo) startServers(position int, domain string) error {
	args := []string{
		"servers",
		"--failure-domain", domain,
		"--region", d.deployment.regionOf(position),
		"--platform", d.platform,
		"--domain-delay", d.deployment.domainDelay.String(),
		"--region-delay", d.deployment.regionDelay.String(),
	}
	for p, other := range d.deployment.domains() {
		args = append(args, "--regions", other+"="+d.deployment.regionOf(p))
	}
	for _, s := range d.deployment.services {
		group := fmt.Sprintf("%s:%d:%d:%d:%s", s.name, d.deployment.serversIn(s, position), s.slots, s.connections, s.mean)
		args = append(args, "--group", group)
	}
	var ready []lovageyard.BackendServer
	_, err := d.startProcess("servers-"+domain, "standin", &ready, args...)
	return err
}

func (d *demo) startEntry(position int, name, domain string) error {
	var ready lovageyard.EntryInstance
	p, err := d.startProcess(name, "lovageyardd", &ready,
		"--instance", name,
		"--failure-domain", domain,
		"--region", d.deployment.regionOf(position),
		"--platform-address", d.platform,
		"--choice", d.choice,
		"--keep-for", "3s",
		"--same-region-delay", d.deployment.domainDelay.String(),
		"--other-region-delay", d.deployment.regionDelay.String(),
	)
	if err != nil {
		return err
	}
	d.daemons = append(d.daemons, p)
	d.entries = append(d.entries, ready)
	body, err := json.Marshal(ready)
	if err != nil {
		return errors.Wrap(err, name)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+d.platform+"/standin/entry-instances", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, name)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, name)
	}
	return response.Body.Close()
}

// configure writes the table of client blocks and the classes.
func (d *demo) configure(ctx context.Context) error {
	var entries []block.Entry
	for position, domain := range d.deployment.domains() {
		base := netip.MustParsePrefix(network(position)).Addr().As4()
		for n := range blocksPerDomain {
			base[2] = byte(n)
			entries = append(entries, block.Entry{Prefix: netip.PrefixFrom(netip.AddrFrom4(base), 24), FailureDomain: domain})
		}
	}
	body, err := json.Marshal(entries)
	if err != nil {
		return errors.Wrap(err, "blocks")
	}
	client := platform.NewStore(d.platform, logrus.StandardLogger())
	defer client.Close()
	if _, err := client.Put(ctx, lovageyard.Object{Name: block.ObjectName, Body: body}); err != nil {
		return errors.Wrap(err, "blocks")
	}
	for _, s := range d.deployment.services {
		if _, err := d.operator.PutClass(ctx, s.lovageyardClass(), 0); err != nil {
			return errors.Wrap(err, s.class)
		}
	}
	return nil
}

// waitReady waits until every entry instance has the table of blocks, knows all others and has a placement for
// every class.
func (d *demo) waitReady(ctx context.Context) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, e := range d.entries {
		client := operator.NewClient([]string{e.OperatorAddress})
		for !d.isReady(timeoutCtx, client) {
			if timeoutCtx.Err() != nil {
				return errors.Errorf("%s was not ready in %s", e.Name, readyWithin)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func (d *demo) isReady(ctx context.Context, client *operator.Client) bool {
	status, err := client.Status(ctx)
	if err != nil || status.Blocks == 0 || len(status.Moves) < len(d.deployment.services) || len(status.Instances) < len(d.entries) {
		return false
	}
	for _, m := range status.Moves {
		if m.Step == 0 {
			return false
		}
	}
	return true
}
