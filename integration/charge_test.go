package integration

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// platformFaults is the body of the call that sets the faults of the standin platform.
type platformFaults struct {
	Down        bool                `json:"down"`
	SlowBy      lovageyard.Duration `json:"slow-by"`
	LoseAnswers bool                `json:"lose-answers"`
}

// chargeClient sends charges. It repeats each with the same idempotency key, at one instance after the
// other, until the charge is answered or the attempts are used up.
type chargeClient struct {
	deployment *deployment
	client     *http.Client

	mu sync.Mutex
	// results counts the charges by final verdict: "" for an answered charge, not-run if every attempt was
	// refused as not run, and may-have-run otherwise.
	results map[lovageyard.Verdict]int
	// notRun holds the keys whose final verdict is not-run.
	notRun []string
}

// charge sends one charge, with a bounded number of attempts, and records its final verdict.
func (cc *chargeClient) charge(key string) {
	const attempts = 6
	verdict := lovageyard.VerdictNotRun
	for attempt := range attempts {
		status, attemptVerdict, err := cc.send(cc.deployment.entries[attempt%len(cc.deployment.entries)], key)
		if err == nil && status == http.StatusOK {
			verdict = ""
			break
		}
		// A verdict is about one attempt only. If an earlier attempt may have run, a later one that is refused as
		// not run does not change that.
		if err != nil || attemptVerdict != lovageyard.VerdictNotRun {
			verdict = lovageyard.VerdictMayHaveRun
		}
		time.Sleep(pollInterval)
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.results[verdict]++
	if verdict == lovageyard.VerdictNotRun {
		cc.notRun = append(cc.notRun, key)
	}
}

func (cc *chargeClient) send(e lovageyard.EntryInstance, key string) (status int, verdict lovageyard.Verdict, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.CallerAddress+"/charges/"+key, bytes.NewReader([]byte("{}")))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := cc.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, "", err
	}
	return response.StatusCode, lovageyard.Verdict(response.Header.Get(lovageyard.VerdictHeader)), nil
}

// TestChargesRunAtMostOnceUnderFaults repeats charges with their idempotency keys while a fault is
// injected and removed: no key may run twice, and none whose verdict is not-run may have run.
func TestChargesRunAtMostOnceUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   func(d *deployment)
		restore func(d *deployment)
	}{
		{"none", func(*deployment) {}, func(*deployment) {}},
		{"instance killed", func(d *deployment) { d.daemons[0].signal(syscall.SIGKILL) }, func(*deployment) {}},
		{"instance frozen", func(d *deployment) { d.daemons[0].signal(syscall.SIGSTOP) }, func(d *deployment) { d.daemons[0].signal(syscall.SIGCONT) }},
		{"platform down", func(d *deployment) { d.setPlatformFaults(platformFaults{Down: true}) }, func(d *deployment) { d.setPlatformFaults(platformFaults{}) }},
		{"answers of the platform lost", func(d *deployment) { d.setPlatformFaults(platformFaults{LoseAnswers: true}) }, func(d *deployment) { d.setPlatformFaults(platformFaults{}) }},
		{"platform slow", func(d *deployment) {
			d.setPlatformFaults(platformFaults{SlowBy: lovageyard.Duration(300 * time.Millisecond)})
		},
			func(d *deployment) { d.setPlatformFaults(platformFaults{}) }},
		{"instance killed while the platform is down", func(d *deployment) {
			d.setPlatformFaults(platformFaults{Down: true})
			d.daemons[0].signal(syscall.SIGKILL)
		}, func(d *deployment) { d.setPlatformFaults(platformFaults{}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			cc := &chargeClient{deployment: d, client: &http.Client{Timeout: 3 * time.Second}, results: make(map[lovageyard.Verdict]int)}
			var sending sync.WaitGroup
			const clients, charges = 4, 40
			underLoad := make(chan struct{}, clients)
			for n := range clients {
				sending.Go(func() {
					for i := range charges {
						if i == charges/4 {
							underLoad <- struct{}{}
						}
						cc.charge(fmt.Sprintf("key-%d-%d", n, i))
					}
				})
			}
			for range clients {
				<-underLoad
			}
			test.fault(d)
			time.Sleep(4 * time.Second)
			test.restore(d)
			sending.Wait()
			cc.check()
		})
	}
}

func (d *deployment) setPlatformFaults(f platformFaults) {
	d.put("http://"+d.platform+"/standin/faults", f)
}

// runsByKey returns how often the servers ran the request of each idempotency key.
func (d *deployment) runsByKey() map[string]int {
	runs := make(map[string]int)
	for _, s := range d.servers {
		for key, n := range d.counts(s).Keys {
			runs[key] += n
		}
	}
	return runs
}

// check compares the verdicts that the clients received with what the servers ran.
func (cc *chargeClient) check() {
	c := cc.deployment.c
	runs := cc.deployment.runsByKey()
	for key, n := range runs {
		c.Check(n, qt.Equals, 1, qt.Commentf("%s ran %d times", key, n))
	}
	for _, key := range cc.notRun {
		c.Check(runs[key], qt.Equals, 0, qt.Commentf("%s ran despite the verdict not-run", key))
	}
	c.Check(len(runs) >= cc.results[""], qt.IsTrue)
	c.Check(cc.results[""] > 0, qt.IsTrue)
	c.Logf("charges by final verdict: %v", cc.results)
}
