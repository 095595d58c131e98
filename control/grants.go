package control

import (
	"context"
	"encoding/json"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/grant"
	"lovageyard.example/lovageyard/lease"
	"lovageyard.example/lovageyard/placement"
)

// grantInput is the input for writing the grants of one service.
type grantInput struct {
	service string
	plan    lovageyard.GrantPlan
	version int64
	changed bool
}

func (c *Control) grantInput(v *view, service string) grantInput {
	typical := v.meanServiceTime(service)
	var loads []grant.ServiceLoad
	for _, key := range c.sortedPools() {
		if key.service == service {
			loads = append(loads, c.serviceLoad(v, key, typical))
		}
	}
	var holders []string
	for _, i := range c.members.Live() {
		holders = append(holders, i.Name)
	}
	row, _ := c.config.Row(lovageyard.TableGrants, service)
	plan := grant.Divide(loads, holders)
	return grantInput{
		service: service,
		plan:    plan,
		version: row.Version,
		changed: grant.Differs(c.grants(service), plan, grantTolerance),
	}
}

// serviceLoad returns the capacity of a service at a site and its planned load.
func (c *Control) serviceLoad(v *view, key poolKey, typical float64) grant.ServiceLoad {
	p := c.pools[key]
	serviceTime := v.serviceTime(key, typical)
	s := grant.ServiceLoad{
		Service:  key.service,
		Site:     key.site,
		Measured: v.reportAge(key) < placement.FreshAge && serviceTime > 0 && v.alive(key, p),
	}
	if serviceTime > 0 {
		s.Capacity = float64(v.slots(key, p)) / serviceTime * (1 - c.settings.Headroom)
	}
	for _, k := range c.index.All() {
		if k.Service == key.service {
			s.Load += v.plannedLoad(k.Name, key.site)
		}
	}
	return s
}

func (c *Control) writeGrants(ctx context.Context, l *lease.Lease, in grantInput) {
	if !in.changed {
		return
	}
	value, err := json.Marshal(in.plan)
	if err == nil {
		err = c.writeUnderLease(ctx, l, lovageyard.TableGrants, in.service, in.version, value)
	}
	if err != nil {
		c.settings.Logger.WithError(err).Debug("writing the grants failed")
	}
}
