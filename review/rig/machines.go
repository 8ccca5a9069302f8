package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
)

// machines is a stand-in for the platform's service of machines. All machines are in
// the one pool, so that no move is possible, and no case has a wave.
type machines struct {
	address string

	mu       sync.Mutex
	executor map[string]string // by machine
}

func (r *rig) openMachines() (*machines, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(r.ip(platformHost, 0), "0"))
	if err != nil {
		return nil, err
	}
	m := &machines{address: listener.Addr().String(), executor: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", m.serveList)
	mux.HandleFunc("POST /machine-move", refuse)
	mux.HandleFunc("POST /machine-upkeep", refuse)
	go func() { _ = http.Serve(listener, mux) }()
	return m, nil
}

// set records the executor of a machine; an empty one means that the machine is down.
func (m *machines) set(machine, executor string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.executor[machine] = executor
}

func (m *machines) serveList(w http.ResponseWriter, _ *http.Request) {
	type machine struct {
		Machine  string         `json:"machine"`
		Pool     string         `json:"pool"`
		State    string         `json:"state"`
		Zone     string         `json:"zone"`
		Labels   []string       `json:"labels"`
		Capacity map[string]int `json:"capacity"`
		ID       string         `json:"id"`
	}
	list := []machine{}
	m.mu.Lock()
	for name, id := range m.executor {
		state := "up"
		if id == "" {
			state = "down"
		}
		list = append(list, machine{Machine: name, Pool: serviceName, State: state, Zone: zoneName, Labels: []string{"a", "r1-1"},
			Capacity: map[string]int{"cpu": 64000, "mem-mb": 262144, "gpu": 0}, ID: id})
	}
	m.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Machine < list[j].Machine })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": list, "next-page-token": nil})
}

// refuse answers an order for a machine that is not possible: 400, there is no other pool
// and no wave.
func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }
