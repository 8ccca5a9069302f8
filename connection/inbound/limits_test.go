package inbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

const (
	testMaxBody = 64 << 10
	testBudget  = 512 << 10
)

// served is a server that counts the bodies that it has read.
type served struct {
	address string
	limits  *Limits
	bodies  atomic.Int64
	release chan struct{} // each request to /wait ends when it receives from it
}

func serve(t *testing.T, budget int64, maxConnections int) *served {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: BufferSizes(SmallBuffers)}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &served{address: ln.Addr().String(), limits: New(Options{BudgetBytes: budget, Logger: zerolog.Nop()}), release: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: 3 * time.Second}
	go func() {
		_ = s.limits.Serve(server, ln, ServeOptions{Name: "test", MaxConnections: maxConnections, WriteTimeout: time.Second})
	}()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *served) handle(w http.ResponseWriter, r *http.Request) {
	data, err := ReadBody(w, r, BodyLimits{MaxBytes: testMaxBody, DecodedFactor: 1})
	if err != nil {
		http.Error(w, err.Error(), StatusOf(err))
		return
	}
	if r.URL.Path == "/wait" {
		<-s.release
	}
	s.bodies.Add(1)
	fmt.Fprint(w, len(data))
}

func (s *served) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// stall sends a body of n bytes but for its last one.
func (s *served) stall(t *testing.T, n int, chunked bool) net.Conn {
	t.Helper()
	c := s.dial(t)
	if chunked {
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", n)
	} else {
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", n)
	}
	_, _ = c.Write(make([]byte, n-1))
	return c
}

func (s *served) post(t *testing.T, n int) (status int, retryAfter string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := client.Post("http://"+s.address, "", strings.NewReader(strings.Repeat("x", n)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not reached: ", what)
		}
	}
}

func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against many stalled bodies of legal size that fill the memory, that keep small
// requests out meanwhile, or that keep large ones out for as long as they stand still.
func TestStalledBodiesGiveWay(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked=%v", chunked), func(t *testing.T) {
			is := is.New(t)
			s := serve(t, testBudget, 0)
			for range 30 {
				s.stall(t, testMaxBody, chunked)
				is.True(s.limits.memory.reserved() <= testBudget)
			}
			status, _ := s.post(t, 1000)
			is.Equal(status, http.StatusOK)
			eventually(t, "a large body is served", func() bool {
				status, _ := s.post(t, testMaxBody)
				return status == http.StatusOK
			})
		})
	}
}

// Guards against a body that is waited for without end, and against memory that is not
// released afterwards.
func TestStalledBodyIsCutOff(t *testing.T) {
	is := is.New(t)
	s := serve(t, testBudget, 0)
	c := s.stall(t, 1000, false)
	is.Equal(readStatus(t, c), http.StatusBadRequest)
	eventually(t, "all memory is released", func() bool { return s.limits.memory.reserved() == 0 })
	is.Equal(s.bodies.Load(), int64(0))
}

// Guards against reading a body that is too long, and against an answer that its sender
// can't read.
func TestTooLongBodiesAreRefused(t *testing.T) {
	is := is.New(t)
	s := serve(t, testBudget, 0)
	status, _ := s.post(t, testMaxBody+1)
	is.Equal(status, http.StatusRequestEntityTooLarge)
	c := s.dial(t)
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", int64(1)<<40)
	is.Equal(readStatus(t, c), http.StatusRequestEntityTooLarge)
	c = s.dial(t)
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", 4*testMaxBody)
	go func() { _, _ = c.Write(make([]byte, 4*testMaxBody)) }()
	is.Equal(readStatus(t, c), http.StatusRequestEntityTooLarge)
	is.Equal(s.bodies.Load(), int64(0))
}

// Guards against a refusal without room that does not tell when to return, or that is
// carried out all the same.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	is := is.New(t)
	s := serve(t, testBudget, 0)
	filled := s.limits.newRequest()
	is.True(filled.reservation.grow(testBudget, 0))
	status, retryAfter := s.post(t, testMaxBody)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(retryAfter, "1")
	status, _ = s.post(t, 1000) // small ones have a part of their own
	is.Equal(status, http.StatusOK)
	filled.reservation.release()
	status, _ = s.post(t, testMaxBody)
	is.Equal(status, http.StatusOK)
	is.Equal(s.bodies.Load(), int64(2))
}

// Guards against a crowd of idle connections that keeps others out, and against closing a
// connection whose request is handled.
func TestIdleConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	s := serve(t, testBudget, 4)
	handled := s.dial(t)
	fmt.Fprint(handled, "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxx")
	eventually(t, "the request is handled", func() bool { return s.limits.memory.reserved() > 0 })
	for range 20 {
		s.dial(t)
	}
	status, _ := s.post(t, 10)
	is.Equal(status, http.StatusOK)
	s.release <- struct{}{}
	is.Equal(readStatus(t, handled), http.StatusOK)
}

// Guards against headers of many short lines, which take many times their bytes.
func TestManyHeaderLinesAreBounded(t *testing.T) {
	is := is.New(t)
	s := serve(t, testBudget, 0)
	var lines strings.Builder
	for i := range 2500 {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	for range 20 {
		c := s.dial(t)
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n"+lines.String())
	}
	eventually(t, "the headers are read", func() bool { return s.limits.memory.reserved() > testBudget/4 })
	is.True(s.limits.memory.reserved() <= testBudget)
	status, _ := s.post(t, 10)
	is.Equal(status, http.StatusOK)
}

// Guards against memory that is counted for connections that have been closed.
func TestClosedConnectionsHoldNothing(t *testing.T) {
	s := serve(t, testBudget, 3)
	for i := range 50 {
		c := s.dial(t)
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\nx: y\r\n")
		if i%2 == 0 {
			_ = c.Close()
		}
	}
	eventually(t, "the rest is released after the header timeout", func() bool {
		s.limits.memory.mu.Lock()
		defer s.limits.memory.mu.Unlock()
		return s.limits.memory.budget.used == 0 && s.limits.memory.incoming.Len() == 0
	})
}

// Guards against a log line for each refused request.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	l := New(Options{Logger: zerolog.New(&log)})
	for range 1000 {
		l.metrics.refused(refusedFull)
	}
	is.True(strings.Count(log.String(), "\n") <= 2) // the second may have changed
	is.True(strings.Contains(log.String(), `"refused_full":1`))
}

// Guards against a crowd of requests for large answers that its clients do not read, and
// against an answer that holds memory after it was sent.
func TestUnreadAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	l := New(Options{BudgetBytes: 4 << 20, Logger: zerolog.Nop()})
	handler := l.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := BuildAnswer(w, r, func() ([]byte, error) { return make([]byte, 1<<20), nil })
		if err != nil {
			http.Error(w, err.Error(), StatusOf(err))
			return
		}
		_, _ = w.Write(data)
	}))
	release := make(chan struct{})
	statuses := make(chan int, 10)
	for range cap(statuses) {
		go func() {
			w := &unreadWriter{ResponseRecorder: httptest.NewRecorder(), release: release}
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			statuses <- w.Code
		}()
	}
	for range cap(statuses) - 3 { // three fit into the part of large requests
		is.Equal(<-statuses, http.StatusServiceUnavailable)
	}
	is.True(l.memory.reserved() <= 4<<20)
	close(release)
	for range 3 {
		is.Equal(<-statuses, http.StatusOK)
	}
	is.Equal(l.memory.reserved(), int64(0))
}

// unreadWriter does not accept a large answer before release is closed.
type unreadWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
}

func (w *unreadWriter) Write(data []byte) (int, error) {
	if len(data) > 1000 {
		<-w.release
	}
	return w.ResponseRecorder.Write(data)
}
