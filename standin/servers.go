package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"lovageyard.example/lovageyard"
)

type serversCommand struct {
	FailureDomain string        `required:"" help:"Failure domain of the servers."`
	Region        string        `required:"" help:"Region of the servers."`
	Site          string        `help:"Site of the servers; the failure domain if empty."`
	Group         []string      `required:"" sep:"none" help:"Servers to run: service:count:slots:connections:mean, such as movements:2:8:400:8ms."`
	Regions       []string      `help:"Regions of other failure domains, as domain=region, to set network delays by."`
	DomainDelay   time.Duration `default:"0" help:"One-way delay between failure domains of a region."`
	RegionDelay   time.Duration `default:"0" help:"One-way delay between regions."`
	Platform      string        `help:"Address of the stand-in platform to register at."`
}

// group describes a number of equal servers of one service. mean is their mean service time.
type group struct {
	service     string
	count       int
	slots       int
	connections int
	mean        time.Duration
}

func parseGroup(text string) (group, error) {
	fields := strings.Split(text, ":")
	const wanted = 5
	if len(fields) != wanted {
		return group{}, errors.Errorf("--group: %q is not service:count:slots:connections:mean", text)
	}
	g := group{service: fields[0]}
	var err error
	for i, into := range []*int{&g.count, &g.slots, &g.connections} {
		if *into, err = strconv.Atoi(fields[i+1]); err != nil || *into < 1 {
			return group{}, errors.Errorf("--group: %q in %q is not a number above 0", fields[i+1], text)
		}
	}
	if g.mean, err = time.ParseDuration(fields[wanted-1]); err != nil {
		return group{}, errors.Errorf("--group: %q in %q is not a duration", fields[wanted-1], text)
	}
	return g, nil
}

// Run starts and registers all servers, and serves until the context is cancelled.
func (c *serversCommand) Run(ctx context.Context) error {
	if c.Site == "" {
		c.Site = c.FailureDomain
	}
	network := newNetwork(c)
	var servers []*backendServer
	for _, text := range c.Group {
		g, err := parseGroup(text)
		if err != nil {
			return err
		}
		for n := range g.count {
			s, err := c.start(g, n, network)
			if err != nil {
				return err
			}
			servers = append(servers, s)
		}
	}
	if err := c.register(servers); err != nil {
		return err
	}
	if err := announce(listingOf(servers)); err != nil {
		return err
	}
	return serveAll(ctx, servers)
}

func (c *serversCommand) start(g group, n int, network network) (*backendServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return newBackendServer(lovageyard.BackendServer{
		Name:          fmt.Sprintf("%s-%s-%d", c.Site, g.service, n+1),
		Service:       g.service,
		Site:          c.Site,
		FailureDomain: c.FailureDomain,
		Region:        c.Region,
		Address:       listener.Addr().String(),
		Slots:         g.slots,
		Connections:   g.connections,
		State:         lovageyard.StateLive,
	}, listener, g.mean, network), nil
}

func listingOf(servers []*backendServer) []lovageyard.BackendServer {
	var listing []lovageyard.BackendServer
	for _, s := range servers {
		listing = append(listing, s.BackendServer)
	}
	return listing
}

func (c *serversCommand) register(servers []*backendServer) error {
	if c.Platform == "" {
		return nil
	}
	body, err := json.Marshal(listingOf(servers))
	if err != nil {
		return errors.Wrap(err, "register")
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+c.Platform+"/standin/backend-servers", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "register")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "register")
	}
	return response.Body.Close()
}

func serveAll(ctx context.Context, servers []*backendServer) error {
	var running sync.WaitGroup
	failures := make(chan error, len(servers))
	for _, s := range servers {
		limited := netutil.LimitListener(s.listener, s.Connections)
		running.Go(func() { failures <- serve(ctx, limited, s) })
	}
	running.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// network holds the simulated delays between failure domains.
type network struct {
	domain      string
	region      string
	regions     map[string]string
	domainDelay time.Duration
	regionDelay time.Duration
}

func newNetwork(c *serversCommand) network {
	n := network{
		domain:      c.FailureDomain,
		region:      c.Region,
		regions:     make(map[string]string),
		domainDelay: c.DomainDelay,
		regionDelay: c.RegionDelay,
	}
	for _, pair := range c.Regions {
		domain, region, _ := strings.Cut(pair, "=")
		n.regions[domain] = region
	}
	return n
}

// delay returns the one-way delay from a failure domain.
func (n network) delay(from string) time.Duration {
	switch {
	case from == "" || from == n.domain:
		return 0
	case n.regions[from] == n.region:
		return n.domainDelay
	}
	return n.regionDelay
}
