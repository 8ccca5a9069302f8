package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of the platform, from the pages' bounds.
const (
	migrationTime   = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
)

// machine is a machine of the platform.
type machine struct {
	name, pool, kind, rack, state, id string
	executor                          *executor
	lives                             int
}

// machineOrder is a call for a machine that the platform has received.
type machineOrder struct {
	path, machine, holder, fence string
	at                           time.Time
}

// platform is the machine service.
type platform struct {
	rig      *rig
	address  string
	mu       sync.Mutex
	machines []*machine
	done     map[string]bool // upkeeps that have begun, by wave and machine
	orders   []machineOrder
	// orderTime is the time that it takes for the answer to an order.
	orderTime time.Duration
}

func (r *rig) newPlatform(pools map[string]int) *platform {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("listen for the platform: %v", err)
	}
	p := &platform{rig: r, address: l.Addr().String(), done: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-move", p.order)
	mux.HandleFunc("POST /machine-upkeep", p.order)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}).Serve(l) }()
	n := 0
	for _, pool := range sortedKeys(pools) {
		for range pools[pool] {
			n++
			p.machines = append(p.machines, &machine{name: fmt.Sprintf("m-%02d", n), pool: pool, kind: "a", rack: fmt.Sprintf("r-%d", n/4)})
		}
	}
	return p
}

// lose ends the executor of a machine for good.
func (p *platform) lose(m *machine) {
	p.mu.Lock()
	e := m.executor
	m.state, m.id, m.executor = "down", "", nil
	p.mu.Unlock()
	e.end("crashed, lost for good")
}

// bringUp starts the next life of a machine.
func (p *platform) bringUp(m *machine) {
	p.mu.Lock()
	m.lives++
	id := fmt.Sprintf("i-%s-%d", m.name, m.lives)
	p.mu.Unlock()
	e := p.rig.newExecutor(id, m)
	p.mu.Lock()
	defer p.mu.Unlock()
	m.state, m.id, m.executor = "up", id, e
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []map[string]any{}
	for _, m := range p.machines {
		list = append(list, map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z-1", "id": m.id,
			"labels": []string{m.kind, m.rack}, "capacity": map[string]int{"cpu": executorCPU, "mem-mb": executorMemory, "gpu": 0}})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": list, "next-page-token": nil})
}

func (p *platform) order(w http.ResponseWriter, req *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    uint64 `json:"wave"`
	}
	if err := json.NewDecoder(req.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer func(d time.Duration) { p.mu.Unlock(); time.Sleep(d); p.mu.Lock() }(p.orderTime)
	var m *machine
	for _, x := range p.machines {
		if x.name == b.Machine {
			m = x
		}
	}
	p.orders = append(p.orders, machineOrder{req.URL.Path, b.Machine, req.Header.Get("X-Duty-Holder"), req.Header.Get("X-Fencing-Token"), time.Now()})
	p.rig.note("platform: %s %s (pool %q, wave %d) by %s, token %s", req.URL.Path, b.Machine, b.Pool, b.Wave, req.Header.Get("X-Duty-Holder"), req.Header.Get("X-Fencing-Token"))
	key := fmt.Sprint(b.Wave, "/", b.Machine)
	switch {
	case m == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case b.Pool == "" && p.done[key], b.Pool != "" && m.pool == b.Pool:
		_, _ = w.Write([]byte("{}"))
		return
	case m.state != "up":
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"reason":"busy"}`))
		return
	}
	pause := maintenanceTime
	if b.Pool == "" {
		p.done[key], m.state = true, "upkeep"
	} else {
		m.state, m.pool, pause = "moving", b.Pool, migrationTime
	}
	ended := m.executor
	m.id, m.executor = "", nil
	go ended.end("ended by " + req.URL.Path)
	time.AfterFunc(pause, func() { p.bringUp(m) })
	_, _ = w.Write([]byte("{}"))
}
