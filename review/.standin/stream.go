package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["cut-event"] = cutEvent }

const (
	streamEvents   = 40
	eventInterval  = 60 * time.Millisecond
	halfEventPause = 30 * time.Millisecond
)

func eventText(attempt string, n int) string { return fmt.Sprintf("%s piece %d", attempt, n) }

// samplerProcess is a sampler of its own process. It prints its id and address. A sampler of
// the kind "unframed" streams answers that have no length and end with their channel, the
// others stream in chunks. Each event leaves in two parts. A sampler of the kind "crashing"
// crashes with the first event of poisonBody, one of the kind "crashing-early" before it
// answers.
func samplerProcess(arguments []string) {
	kind := arguments[0]
	s := newSampler("talkers", 12, 12)
	s.run = func(c *channel, q *request) {
		crash := func() {
			fmt.Printf("crash %s\n", q.attempt)
			os.Exit(1)
		}
		poison := string(q.body) == poisonBody
		if poison && kind == "crashing-early" {
			crash()
		}
		if kind == "plain" {
			time.Sleep(25 * time.Millisecond)
			if poison {
				crash()
			}
			s.answer(c, q, http.StatusOK, http.Header{"X-Server-Stamp": {"stamp-" + q.attempt}}, []byte("answer to "+q.attempt))
			return
		}
		framing := "Transfer-Encoding: chunked"
		write := func(text string) error {
			_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
			return err
		}
		if kind == "unframed" {
			framing = "Connection: close"
			write = func(text string) error {
				_, err := io.WriteString(c, text)
				return err
			}
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\n%s\r\n\r\n", q.attempt, q.attempt, framing)
		for n := 1; n <= streamEvents; n++ {
			text := eventText(q.attempt, n)
			if write(fmt.Sprintf("id: %d\ndata: %s", n, text[:len(text)/2])) != nil {
				break
			}
			time.Sleep(halfEventPause)
			if write(text[len(text)/2:]+"\n\n") != nil {
				break
			}
			if poison && kind == "crashing" {
				crash()
			}
			time.Sleep(eventInterval - halfEventPause)
		}
		if kind == "unframed" {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	s.listen()
	fmt.Printf("%s %s\n", s.id, s.address)
	// The process ends with its parent.
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// cutEvent: a sampler is killed while it streams answers without a length. The part of an
// event that it had sent must not reach the consumer as the end of a complete answer.
func cutEvent(folder string) {
	const consumers = 24
	st, err := startStore()
	if err != nil {
		cannotRun("store: %v", err)
	}
	st.put("keyed.op", "config", streamConfig())
	var children []*child
	for range 3 {
		children = append(children, startChild(st, "unframed", func(string, string) {}))
	}
	vms := []*vm{newVM(0, folder, st.address), newVM(1, folder, st.address)}
	for _, v := range vms {
		v.waitReady(15 * time.Second)
	}
	time.Sleep(time.Second)

	var state sync.Mutex
	var violations []string
	complete, broken, refused, atBoundary := 0, 0, 0, 0
	stream := func(n, k int) {
		id := fmt.Sprintf("%02d-%05d", n, k)
		r, _ := http.NewRequest(http.MethodPost, "http://"+vms[n%len(vms)].front+"/talk/"+id, strings.NewReader("talk "+id))
		r.GetBody = nil
		r.Host = "talk.example"
		r.Header.Set("X-Attempt-Id", id)
		r.Header.Set("X-Deadline-Ms", "8000")
		response, err := newClient(12 * time.Second).Do(r)
		state.Lock()
		defer state.Unlock()
		if err != nil {
			broken++
			note("consumer %s: no answer: %v", id, err)
			return
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			refused++
			note("consumer %s: status %d", id, response.StatusCode)
			return
		}
		state.Unlock()
		data, err := io.ReadAll(response.Body)
		state.Lock()
		events := strings.Count(string(data), "\n\n")
		rest := string(data[strings.LastIndex(string(data), "\n\n")+2*min(1, events):])
		switch {
		case err != nil:
			broken++
			note("consumer %s: %d events, then the channel broke: %v", id, events, err)
		case events == streamEvents && rest == "":
			complete++
			note("consumer %s: complete, %d events", id, events)
		case rest == "":
			atBoundary++
			note("consumer %s: ends as complete after event %d of %d, between two events", id, events, streamEvents)
		default:
			violations = append(violations, fmt.Sprintf("MIXED, ORDER: answer %s ends as complete within event %d of %d: its last bytes are %s", id, events+1, streamEvents, strconv.Quote(rest)))
		}
	}
	var group sync.WaitGroup
	for n := range consumers {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
			stream(n, 0)
			stream(n, 1)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		note("sampler %s is killed", children[0].id)
		_ = children[0].command.Process.Kill()
	}
	group.Wait()
	note("%d answers complete, %d broken off, %d refused, %d end as complete between two events, %d within an event", complete, broken, refused, atBoundary, len(violations))
	verdict("MIXED", violations)
}
