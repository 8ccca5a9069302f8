package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	replacements   = 4
	replaceEvery   = 10 * time.Second // over catch-up-s (4) after the successor's start
	successorAfter = time.Second
)

// replaceCore plays machines of the core that are removed for good, one after the other, each
// time the one that leads, and are replaced by empty ones at other addresses. Rule CONFIG.
func replaceCore(w *world) (verdict, error) {
	if err := w.bringUp(4, func(string) time.Duration { return time.Second }); err != nil {
		return verdict{}, err
	}
	accepted := []string{}
	for i := range replacements {
		path := prefix + newID()
		if err := w.submit(path, `{"spec":"x","steps":[{"count":2,"cpu":4000,"mem-mb":1024,"estimated-ms":1000}]}`); err != nil {
			return verdict{}, err
		}
		accepted = append(accepted, path)
		began := time.Now()
		if w.trouble {
			if err := w.replaceLeader(i); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(time.Until(began.Add(replaceEvery)))
	}
	w.note("the last disruption is over")
	ended := time.Now()
	read, known := 0, 0
	for time.Since(ended) < 30*time.Second && (read == 0 || known < len(accepted)) {
		for _, p := range w.controls {
			if code, body := w.get(p, "/configuration"); code == http.StatusOK {
				read++
			} else {
				w.note("operator: GET /configuration at %s: %d %.120s", p.name, code, body)
			}
		}
		known = 0
		for i, path := range accepted {
			if code, _ := w.ask(i, http.MethodGet, path, ""); code == http.StatusOK {
				known++
			}
		}
		time.Sleep(time.Second)
	}
	w.history()
	if read == 0 {
		return verdict{true, fmt.Sprintf("CONFIG: %.0f s after the last replacement no machine of the core answers a read of the config (and %d of %d accepted jobs can be asked for), although the 5 machines of the core run",
			time.Since(ended).Seconds(), known, len(accepted))}, nil
	}
	return verdict{false, fmt.Sprintf("the config is read back, and %d of %d accepted jobs are known", known, len(accepted))}, nil
}

// get sends an operator's read to one control process and follows a redirection, if any.
func (w *world) get(p *proc, path string) (int, string) {
	return w.call(http.MethodGet, w.control(p), "", path, "")
}

// leader returns the control process that the others redirect to, nil if there is none.
func (w *world) leader() *proc {
	client := &http.Client{Timeout: callTimeout, Transport: w.client.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, p := range w.controls {
		resp, err := client.Get("http://" + w.control(p) + "/wave-get/1")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if to := resp.Header.Get("Location"); resp.StatusCode == http.StatusTemporaryRedirect {
			for _, other := range w.controls {
				if strings.HasPrefix(to, "http://"+w.control(other)+"/") {
					return other
				}
			}
		}
	}
	return nil
}

// replaceLeader removes the leader's machine for good and adds another one with an empty disk
// at a new address.
func (w *world) replaceLeader(number int) error {
	var gone *proc
	if !waitFor(5*time.Second, func() bool { gone = w.leader(); return gone != nil }) {
		return fmt.Errorf("no leader was found before replacement %d", number+1)
	}
	w.stop(gone)
	w.removed = append(w.removed, gone)
	w.note("machine %s, which led, is removed for good", gone.name)
	time.Sleep(successorAfter)
	i := slices.Index(w.controls, gone)
	n := 6 + number
	w.setCore(slices.Delete(w.core(), i, i+1))
	next := &proc{name: fmt.Sprintf("core-%d", n), role: "control", ip: fmt.Sprintf("127.%d.1.%d", w.octet, n)}
	if err := os.Mkdir(filepath.Join(w.dir, next.name), 0o700); err != nil {
		return err
	}
	// Its seeds are machines of the operator's list; the first three of the others.
	if err := w.start(next, false); err != nil {
		return err
	}
	w.setCore(append(w.core(), next))
	return nil
}
