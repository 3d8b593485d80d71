package main

import (
	"fmt"
	"strings"
	"time"
)

// lineTokens are the data of the events of a text with paragraphs.
var lineTokens = []string{"Niveau", " de la cuve", " :", " 42 cm", "\n", "\n\n- flotteur", " rouille", "\n- jauge", " embuee", "\n\n"}

// wordTokens are those of a text without line feeds.
var wordTokens = []string{"Niveau", " de la cuve", " :", " 42 cm", ".", " Flotteur", " rouille", ",", " jauge", " embuee"}

// runNewlines plays one step whose samplers generate texts with line feeds, and compares
// what the trainer reads with what the samplers sent.
func runNewlines(w *world, trouble bool) (held bool, err error) {
	f := newEngines(w, "m0")
	tokens := wordTokens
	if trouble {
		tokens = lineTokens
	}
	f.events = func(string) int { return 20 }
	f.data = func(_ string, n int) string { return tokens[(n-1)%len(tokens)] }
	for n := range 4 {
		if _, err := f.start(zones[n%3], "4.2"); err != nil {
			return false, err
		}
	}
	const prefix = "/pufi791/"
	w.store.put("keyed.op", "config", configuration(3, []map[string]any{
		route("r-b", trainerHost, prefix, "rollout", "reader-models", map[string]any{
			"timeout_ms": 10000, "slo_ms": 500, "max_attempts": 3, "retention_s": 40.0, "result_deadline_ms": 7500, "single_version": false, "sticky": true, "resumable": true,
		}),
	}, []map[string]any{{
		"name": "reader-models", "health_path": "/healthz", "max_conns": 325, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": engineSlots, "kv_capacity": 65008, "models": []map[string]any{{"name": "m0"}}},
	}}))
	for n := range 3 {
		if _, err := w.startVM(n, ""); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	s, err := w.submitStep("7c41e09b52d6af01", w.vms, prefix, "m0", 1, 1, 6, 6, 4)
	if err != nil {
		return false, err
	}
	if !s.wait() {
		return false, fmt.Errorf("the step is not complete")
	}
	s.end()
	var sent []string
	for n := range f.events("") {
		sent = append(sent, f.data("", n+1))
	}
	want, wrong := strings.Join(sent, "\n"), 0
	for _, id := range s.items {
		w.record.add("text", "item", id, "state", s.results[id], "same", s.texts[id] == want, "bytes", len(s.texts[id]), "sent", len(want))
		if s.results[id] == "done" && s.texts[id] != want {
			wrong++
		}
	}
	w.record.add("sent", "text", fmt.Sprintf("%q", want))
	w.record.add("read", "text", fmt.Sprintf("%q", s.texts[s.items[0]]))
	w.record.add("judged", "items", len(s.items), "done-with-another-text", wrong)
	return wrong == 0, nil
}
