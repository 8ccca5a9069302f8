package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
)

// machines is a stand-in for the platform's list of machines. It accepts no orders: no case
// that uses it has a reason for one.
type machines struct {
	w       *world
	address string
	server  *http.Server

	mu    sync.Mutex
	list  []*machine
	extra []json.RawMessage // entries of another writer, in the next list only
	read  int               // lists answered
}

type machine struct {
	Machine  string         `json:"machine"`
	Pool     string         `json:"pool"`
	State    string         `json:"state"`
	Zone     string         `json:"zone"`
	Labels   []string       `json:"labels"`
	Capacity map[string]int `json:"capacity"`
	ID       string         `json:"id,omitempty"`
}

func openMachines(w *world) (*machines, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &machines{w: w, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", m.serve)
	mux.HandleFunc("POST /machine-move", m.refuse)
	mux.HandleFunc("POST /machine-upkeep", m.refuse)
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(l) }()
	return m, nil
}

func (m *machines) close() { _ = m.server.Close() }

// set sets the entry of a machine.
func (m *machines) set(name, poolName, state, id string, labels []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.IndexFunc(m.list, func(x *machine) bool { return x.Machine == name })
	if i < 0 {
		m.list = append(m.list, &machine{Machine: name})
		i = len(m.list) - 1
	}
	*m.list[i] = machine{Machine: name, Pool: poolName, State: state, Zone: "bayangol", Labels: labels,
		Capacity: map[string]int{"cpu": workerCPU, "mem-mb": workerMem, "gpu": 0}, ID: id}
}

// addOnce adds an entry of another writer to the next list.
func (m *machines) addOnce(entry string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.extra = append(m.extra, json.RawMessage(entry))
}

// reads returns the number of lists answered.
func (m *machines) reads() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.read
}

func (m *machines) serve(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	entries := m.extra
	m.extra = nil
	m.read++
	if len(entries) > 0 {
		for _, e := range entries {
			m.w.note("platform: this list of machines holds beside the others the entry %s", e)
		}
	}
	for _, x := range m.list {
		data, err := json.Marshal(x)
		if err != nil {
			panic(err) // the entry can be encoded
		}
		entries = append(entries, data)
	}
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": entries})
}

func (m *machines) refuse(w http.ResponseWriter, r *http.Request) {
	m.w.note("platform: refused an order, %s", r.URL.Path)
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(map[string]string{"reason": "busy"})
}
