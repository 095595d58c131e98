package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"lovageyard.example/lovageyard"
)

// Timing of a run that plays refusals.
const (
	refusalStream = 6
	// brokenAnswerStream draws brokenAnswerFaults, so that the other draws of a seed stay the same.
	brokenAnswerStream = 7
	// spellTime is the time after which servers get other faults.
	spellTime = 5 * time.Second
	// minCutTime is the shortest time of a cut; an instance notices after a second that it reaches no server.
	minCutTime = 1500 * time.Millisecond
	// warmUpTime is the time in which requests are sent before the first fault.
	warmUpTime = 2 * time.Second
	// lateRunTime is how long after the last answer runs are counted.
	lateRunTime = 12 * time.Second
	// starvedTime and starvedPeriod are the times for which a starved instance stands still, and after which it does
	// so again.
	starvedTime   = 90 * time.Millisecond
	starvedPeriod = 110 * time.Millisecond
)

// Kinds of faults that only runs of refusals have.
const (
	faultySpell       kind = "faulty-servers"
	starveInstance    kind = "starve-instance"
	cutFromServers    kind = "cut-from-servers"
	freezeServer      kind = "freeze-server"
	restartAsOther    kind = "restart-as-other"
	refuseConnections kind = "refuse-connections"
)

// refusalKinds are drawn beside the faults of the servers.
var refusalKinds = []kind{
	pauseInstance, killInstance, restartInstance, starveInstance, cutFromStore, storeHangs, storeDown,
	cutFromServers, cutFromServers, freezeServer, restartAsOther, refuseConnections,
}

// refusalPlan returns a plan of faults of servers, in spells that follow each other, and of others beside them.
func refusalPlan(seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, refusalStream))
	var plan []fault
	for at := warmUpTime; at < span; at += spellTime {
		plan = append(plan, fault{At: at, Kind: faultySpell, Target: random.IntN(1 << 16), Duration: spellTime})
	}
	for at := warmUpTime; at < span; at += time.Duration(700+random.IntN(1800)) * time.Millisecond {
		f := fault{At: at, Kind: refusalKinds[random.IntN(len(refusalKinds))], Target: random.IntN(1 << 16)}
		f.Duration = time.Duration(500+random.IntN(3500)) * time.Millisecond
		if f.At+f.Duration < span {
			plan = append(plan, f)
		}
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}

// refusalRun is a run that plays refusals: charges at servers whose faults concern single connections and bytes.
type refusalRun struct {
	deployment *deployment
	ledger     *ledger
	cuts       *cuts
	servers    []*faultyServer
	options    options
}

// runRefusals plays one seed and returns its report. Each request that broke a promise leaves a file with its history.
func runRefusals(o options, p programs, seed uint64, out string) (report, error) {
	deploymentOptions := o
	deploymentOptions.Servers, deploymentOptions.Heavy = 0, false
	d, err := newDeployment(p, out, deploymentOptions, newChecker())
	if err != nil {
		if d != nil {
			d.Close()
		}
		return report{}, err
	}
	r := &refusalRun{deployment: d, ledger: newLedger(), cuts: newCuts(), options: o}
	err = r.play(seed)
	for _, s := range r.servers {
		s.stop()
	}
	harnessErrors := d.Close()
	if err != nil {
		return report{}, err
	}
	return r.report(seed, out, harnessErrors)
}

// report judges the run and writes its cases.
func (r *refusalRun) report(seed uint64, out string, harnessErrors []string) (report, error) {
	lines, ids := r.ledger.brokenPromises()
	result := report{seed: seed, counts: r.ledger.counts, causes: lines, harnessErrors: harnessErrors, violations: r.ledger.violations}
	for _, id := range ids[:min(len(ids), maxViolations)] {
		result.violations = append(result.violations, id+" broke a promise, see cases/"+id+".txt")
	}
	return result, r.ledger.writeCases(out, ids)
}

// play starts the servers, sends requests and injects the plan of a seed.
func (r *refusalRun) play(seed uint64) error {
	if err := r.startServers(); err != nil {
		return err
	}
	callers := newRefusalCallers(r.deployment, r.ledger, r.options, seed)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		callers.send(r.options.Span)
	}()
	start := time.Now()
	for _, f := range refusalPlan(seed, r.options.Span) {
		if r.options.Show {
			fmt.Println(f)
		}
		time.Sleep(time.Until(start.Add(f.At)))
		r.ledger.planf("plan: %s", f)
		r.deployment.runningFaults.Go(func() {
			if err := r.inject(f); err != nil {
				r.deployment.recordHarnessError(err)
			}
		})
	}
	r.deployment.runningFaults.Wait()
	<-answered
	time.Sleep(lateRunTime)
	return nil
}

// startServers starts and registers the servers, and waits until the instances serve.
func (r *refusalRun) startServers() error {
	for n := range r.options.Servers {
		entry := lovageyard.BackendServer{
			Name: fmt.Sprint("f-", n), Service: service, FailureDomain: domains[n%len(domains)].name, Slots: r.options.Slots,
			State: lovageyard.StateLive, Incarnation: time.Now().UnixMilli(),
		}
		s, err := startFaultyServer(entry, r.options.Work, r.ledger, r.cuts)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
		r.deployment.store.PutServer(s.current())
	}
	time.Sleep(settleTime / 2)
	return nil
}

// inject applies a fault, waits for its duration and undoes it.
func (r *refusalRun) inject(f fault) error {
	i := r.deployment.instances[f.Target%len(r.deployment.instances)]
	s := r.servers[f.Target%len(r.servers)]
	switch f.Kind {
	case faultySpell:
		r.setFaults(rand.New(rand.NewPCG(uint64(f.Target), refusalStream)), rand.New(rand.NewPCG(uint64(f.Target), brokenAnswerStream)))
	case starveInstance:
		for end := time.Now().Add(f.Duration); time.Now().Before(end); time.Sleep(starvedPeriod - starvedTime) {
			i.signal(syscall.SIGSTOP)
			time.Sleep(starvedTime)
			i.signal(syscall.SIGCONT)
		}
	case cutFromServers:
		r.cuts.cutOff(i.process(), f.Duration+minCutTime, f.Target%2 == 0)
	case freezeServer:
		s.freeze(f.Duration)
	case restartAsOther:
		return r.restartAsOther(s, fmt.Sprintf("%s-%d", s.current().Name, f.At.Milliseconds()))
	case refuseConnections:
		s.stop()
		time.Sleep(f.Duration)
		return s.restartAs(s.current().Name)
	default:
		return r.deployment.inject(f)
	}
	return nil
}

// restartAsOther starts a server again at its address under another name, and removes its entry later.
func (r *refusalRun) restartAsOther(s *faultyServer, name string) error {
	before := s.current().Name
	s.stop()
	if err := s.restartAs(name); err != nil {
		return err
	}
	r.deployment.store.PutServer(s.current())
	time.Sleep(time.Second)
	r.deployment.store.RemoveServer(before)
	return nil
}

// setFaults draws the faults of all servers: a quarter are sound, the others inject one to three, and half of all
// inject a further one.
func (r *refusalRun) setFaults(random, further *rand.Rand) {
	for n, s := range r.servers {
		shares := make(map[string]float64)
		if random.IntN(4) > 0 {
			for range 1 + random.IntN(3) {
				name := drawnFaults[random.IntN(len(drawnFaults))]
				if r.options.Fault != "" {
					name = r.options.Fault
				}
				shares[name] = 0.02 + 0.4*random.Float64()*random.Float64()
			}
			// Second answers matter most beside refusals.
			if shares[disturbExtraLate] > 0 || shares[disturbExtraNoID] > 0 {
				shares[rejectMarked] = 0.45
			}
		}
		if r.options.Fault == "" && further.IntN(2) == 0 {
			shares[brokenAnswerFaults[further.IntN(len(brokenAnswerFaults))]] = 0.02 + 0.2*further.Float64()
		}
		s.setShares(shares)
		r.ledger.planf("plan: f-%d injects %v", n, shares)
	}
}

// process returns the process ID of the current incarnation.
func (i *instance) process() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.command.Process.Pid
}

// refusalSettings replace the limits that are so low that most refused requests are not repeated.
var refusalSettings = []string{"--retry-ratio", "0.2", "--retry-slack", "64", "--cold-slack", "100"}
