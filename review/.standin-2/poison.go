package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The requests, samplers and machines of the case.
const (
	poisonVMs      = 6
	poisonServers  = 8
	poisonRequests = 18
	// poisonRounds is how often each request comes, each time at another machine.
	poisonRounds = 5
	// crashBody begins the body of a request that crashes each sampler that begins to run it.
	crashBody = "crash "
	// poisonBack is how long a crashed sampler is away ("back after some seconds").
	poisonBack = 2 * time.Second
	// poisonGap is the time between two of the requests, if the first has crashed samplers.
	poisonGap = 1500 * time.Millisecond
	// stable is stable_ms, allowedRetries the number in the rule.
	stable         = 3 * time.Second
	allowedRetries = 3
)

// poisoned keeps the samplers running and when each request crashed one.
type poisoned struct {
	in      *installation
	mu      sync.Mutex
	reached map[string][]time.Time
	closed  bool
}

func (p *poisoned) tell(e samplerEvent) {
	if e.What != "crashes" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	path := strings.TrimPrefix(e.Path, "/files/")
	p.reached[path] = append(p.reached[path], time.Unix(0, e.At))
	p.in.record.printf("sampler %s begins request %s with the path %s and crashes (crash %d of this path)", e.Sampler, e.Request, e.Path, len(p.reached[path]))
}

// keep starts a sampler, and another one some seconds after it has crashed.
func (p *poisoned) keep(c samplerConfig) error {
	s, err := p.in.startSampler("files", c, p.tell)
	if err != nil {
		return err
	}
	go func() {
		_ = s.command.Wait()
		s.stop.Do(func() { close(s.stopped) })
		time.Sleep(poisonBack)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.closed {
			go func() {
				if err := p.keep(c); err != nil {
					p.in.record.printf("start of a sampler: %v", err)
				}
			}()
		}
	}()
	return nil
}

// playPoison sends requests that crash samplers again and again, each time at another
// machine, and checks the rule BUDGET.
func playPoison(r *record, trouble bool) (*verdict, error) {
	in, err := newInstallation(r, 174)
	if err != nil {
		return nil, err
	}
	defer in.stop()
	p := &poisoned{in: in, reached: map[string][]time.Time{}}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closed = true
	}()
	in.store.putJSON("keyed.op", "config", plainConfiguration())
	for range poisonServers {
		if err := p.keep(samplerConfig{Slots: 6, AnswerBytes: 800}); err != nil {
			return nil, err
		}
	}
	if err := in.startVMs(poisonVMs); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)

	answers := map[int]int{}
	for round := range poisonRounds {
		for n := range poisonRequests {
			name := fmt.Sprintf("doc-%02d", n)
			body := crashBody + name
			if !trouble {
				body = "file " + name
			}
			p.mu.Lock()
			before := len(p.reached[name])
			p.mu.Unlock()
			v := in.vms[(round+n)%poisonVMs]
			id := fmt.Sprintf("%s-%d", name, round)
			status, _, err := call(http.MethodPost, v.front, "files.example", "/files/"+name, map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "8000"}, []byte(body))
			answers[status]++
			r.printf("request %s for %s at %s: %d %v", id, name, v.name, status, err)
			time.Sleep(50 * time.Millisecond)
			p.mu.Lock()
			crashed := len(p.reached[name]) > before
			p.mu.Unlock()
			if crashed {
				time.Sleep(poisonGap)
			}
		}
	}
	r.printf("answers by status: %v", answers)
	v := &verdict{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, times := range p.reached {
		late := 0
		for _, at := range times[min(3, len(times)):] {
			if at.Sub(times[2]) > stable {
				late++
			}
		}
		r.printf("%s reached %d samplers, %d of them later than %d ms after it had crashed the third", name, len(times), late, stable.Milliseconds())
		if late > allowedRetries {
			v.add("BUDGET: request %s reached samplers in %d retries later than %d ms after it had crashed the third", name, late, stable.Milliseconds())
		}
	}
	return v, nil
}
