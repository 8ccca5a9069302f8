package executor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Machines is a stand-in for the machine service.
type Machines struct {
	Address string
	// OnExecutorEnd is called when a move or an upkeep ends a machine's executor.
	OnExecutorEnd func(machine, executor string)
	// OddEntries are entries of another writer, which the list holds before the others.
	OddEntries []json.RawMessage
	// ListDelay is the age of a machine list when it is returned.
	ListDelay time.Duration
	// LoseAnswer reports whether the connection of an order that was carried out is
	// closed without a response.
	LoseAnswer func(path, machine string) bool

	server           *http.Server
	mu               sync.Mutex
	machines         []*Machine
	orders           []Order
	completedUpkeeps map[string]bool // by wave and machine
}

// Machine is an entry of the machine list.
type Machine struct {
	Name  string `json:"machine"`
	Pool  string `json:"pool"`
	State string `json:"state"`
	ID    string `json:"id"`
}

// Order is a move or upkeep order that was carried out. Holder and Fence are the
// values of its X-Duty-Holder and X-Fencing-Token headers.
type Order struct {
	Path, Machine, Pool, Holder, Fence string
}

// OpenMachines starts a machine service that listens on a loopback address.
func OpenMachines(machines ...*Machine) (*Machines, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Machines{Address: l.Addr().String(), machines: machines, completedUpkeeps: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", m.serveList)
	mux.HandleFunc("POST /machine-move", m.serveOrder)
	mux.HandleFunc("POST /machine-upkeep", m.serveOrder)
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(l) }()
	return m, nil
}

// Close stops the service.
func (m *Machines) Close() { _ = m.server.Close() }

// Orders returns the orders that were carried out.
func (m *Machines) Orders() []Order {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.orders)
}

// BringUp sets a machine's state to up, with a new executor.
func (m *Machines) BringUp(machine, executor string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.machines {
		if x.Name == machine {
			x.State, x.ID = "up", executor
		}
	}
}

// TakeDown sets a machine's state to down, without an executor.
func (m *Machines) TakeDown(machine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.machines {
		if x.Name == machine {
			x.State, x.ID = "down", ""
		}
	}
}

func (m *Machines) serveList(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	var entries [][]byte
	for _, odd := range m.OddEntries {
		entries = append(entries, odd)
	}
	for _, x := range m.machines {
		entry, err := json.Marshal(x)
		if err != nil {
			panic(err) // the type can be encoded
		}
		entries = append(entries, entry)
	}
	m.mu.Unlock()
	time.Sleep(m.ListDelay)
	// Odd entries may be nested too deeply for the encoder.
	_, _ = w.Write([]byte(`{"machines":[`))
	_, _ = w.Write(bytes.Join(entries, []byte(",")))
	_, _ = w.Write([]byte(`],"next-page-token":null}`))
}

func (m *Machines) serveOrder(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    uint64 `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	upkeep := fmt.Sprint(b.Wave, b.Machine)
	if b.Pool == "" && m.completedUpkeeps[upkeep] {
		m.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{}) // repeated order: this upkeep was carried out before
		return
	}
	i := slices.IndexFunc(m.machines, func(x *Machine) bool { return x.Name == b.Machine })
	if i < 0 || m.machines[i].State != "up" {
		m.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]any{"reason": "busy"})
		return
	}
	x := m.machines[i]
	ended := x.ID
	x.State, x.ID = "upkeep", ""
	if b.Pool == "" {
		m.completedUpkeeps[upkeep] = true
	} else {
		x.State, x.Pool = "moving", b.Pool
	}
	m.orders = append(m.orders, Order{Path: r.URL.Path, Machine: b.Machine, Pool: b.Pool,
		Holder: r.Header.Get("X-Duty-Holder"), Fence: r.Header.Get("X-Fencing-Token")})
	m.mu.Unlock()
	if m.OnExecutorEnd != nil {
		m.OnExecutorEnd(b.Machine, ended)
	}
	if m.LoseAnswer != nil && m.LoseAnswer(r.URL.Path, b.Machine) {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{})
}
