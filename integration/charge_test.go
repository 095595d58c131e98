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

// platformFaults are the faults of the stand-in platform.
type platformFaults struct {
	Down        bool                `json:"down"`
	SlowBy      lovageyard.Duration `json:"slow-by"`
	LoseAnswers bool                `json:"lose-answers"`
}

// payer sends charges and repeats each with its key, at one instance after the other,
// until it knows what became of it.
type payer struct {
	yard   *yard
	client *http.Client

	mu sync.Mutex
	// fates counts the charges by what a payer knows in the end: "" for an answered one,
	// not-run if each of its requests was refused as that, and else may-have-run.
	fates map[lovageyard.Verdict]int
	// notRun are the keys that ended as not-run.
	notRun []string
}

// pay sends one charge; it gives up after a number of tries.
func (p *payer) pay(key string) {
	const tries = 6
	verdict := lovageyard.VerdictNotRun
	for try := range tries {
		status, said, err := p.try(p.yard.entries[try%len(p.yard.entries)], key)
		if err == nil && status == http.StatusOK {
			verdict = ""
			break
		}
		// A verdict speaks of one request: one that may have run is not undone by the next.
		if err != nil || said != lovageyard.VerdictNotRun {
			verdict = lovageyard.VerdictMayHaveRun
		}
		time.Sleep(pollEvery)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fates[verdict]++
	if verdict == lovageyard.VerdictNotRun {
		p.notRun = append(p.notRun, key)
	}
}

func (p *payer) try(e lovageyard.EntryInstance, key string) (status int, verdict lovageyard.Verdict, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.CallerAddress+"/charges/"+key, bytes.NewReader([]byte("{}")))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := p.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, "", err
	}
	return response.StatusCode, lovageyard.Verdict(response.Header.Get(lovageyard.VerdictHeader)), nil
}

// TestChargesRunAtMostOnceUnderFaults repeats charges with their keys while a fault comes
// and goes: no key runs twice, and one that ended as not run has not run.
func TestChargesRunAtMostOnceUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(y *yard)
		mend  func(y *yard)
	}{
		{"none", func(*yard) {}, func(*yard) {}},
		{"instance killed", func(y *yard) { y.daemons[0].signal(syscall.SIGKILL) }, func(*yard) {}},
		{"instance frozen", func(y *yard) { y.daemons[0].signal(syscall.SIGSTOP) }, func(y *yard) { y.daemons[0].signal(syscall.SIGCONT) }},
		{"platform down", func(y *yard) { y.platformFaults(platformFaults{Down: true}) }, func(y *yard) { y.platformFaults(platformFaults{}) }},
		{"platform's answers lost", func(y *yard) { y.platformFaults(platformFaults{LoseAnswers: true}) }, func(y *yard) { y.platformFaults(platformFaults{}) }},
		{"platform slow", func(y *yard) { y.platformFaults(platformFaults{SlowBy: lovageyard.Duration(300 * time.Millisecond)}) },
			func(y *yard) { y.platformFaults(platformFaults{}) }},
		{"instance killed while the platform is down", func(y *yard) {
			y.platformFaults(platformFaults{Down: true})
			y.daemons[0].signal(syscall.SIGKILL)
		}, func(y *yard) { y.platformFaults(platformFaults{}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			y := newYard(t)
			p := &payer{yard: y, client: &http.Client{Timeout: 3 * time.Second}, fates: make(map[lovageyard.Verdict]int)}
			var paying sync.WaitGroup
			const payers, charges = 4, 40
			halfway := make(chan struct{}, payers)
			for n := range payers {
				paying.Go(func() {
					for i := range charges {
						if i == charges/4 {
							halfway <- struct{}{}
						}
						p.pay(fmt.Sprintf("key-%d-%d", n, i))
					}
				})
			}
			for range payers {
				<-halfway
			}
			test.fault(y)
			time.Sleep(4 * time.Second)
			test.mend(y)
			paying.Wait()
			p.check()
		})
	}
}

func (y *yard) platformFaults(f platformFaults) {
	y.put("http://"+y.platform+"/standin/faults", f)
}

// check compares what the payers were told with what the servers ran.
func (p *payer) check() {
	c := p.yard.c
	runs := make(map[string]int)
	for _, s := range p.yard.servers {
		for key, n := range p.yard.counts(s).Keys {
			runs[key] += n
		}
	}
	for key, n := range runs {
		c.Check(n, qt.Equals, 1, qt.Commentf("%s ran %d times", key, n))
	}
	for _, key := range p.notRun {
		c.Check(runs[key], qt.Equals, 0, qt.Commentf("%s was not run, they said", key))
	}
	c.Check(len(runs) >= p.fates[""], qt.IsTrue)
	c.Check(p.fates[""] > 0, qt.IsTrue)
	c.Logf("fates by verdict: %v", p.fates)
}
