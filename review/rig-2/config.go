package main

import "fmt"

type route struct {
	Host, Prefix, Kind string
	TimeoutMs, GoalMs  int
	Priority           int
	Service            string
	Attempts           int
	Sticky             bool
	HomeRegions        []string
}

type service struct {
	HealthPath string
	MaxConns   int
	Proto      string
	TLS        bool `json:"Tls"`
	ColdS      float64
	ColdRateS  float64
}

type tenant struct {
	Keys     []string
	RateS    float64
	Burst    float64
	Priority int
}

func configuration(version int, routes map[string]route, services []string, tenants map[string]tenant) map[string]any {
	c := map[string]any{
		"Version": fmt.Sprintf("%08x", version),
		"Routes":  routes,
		"Limits":  map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	s := make(map[string]service)
	for _, name := range services {
		s[name] = service{HealthPath: "/healthz", MaxConns: 390, Proto: "h1", ColdS: 3, ColdRateS: 9.1}
	}
	c["Services"] = s
	if tenants != nil {
		c["Tenants"] = tenants
	}
	return c
}
