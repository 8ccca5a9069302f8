package wire

import (
	"bytes"
	"net"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// helloConn is a connection from 127.0.0.1 that delivers data.
type helloConn struct {
	net.Conn
	data *bytes.Reader
}

func (c helloConn) Read(p []byte) (int, error) { return c.data.Read(p) }

func (c helloConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Guards against a Hello that makes the receiver panic, or that is accepted from a
// process that is not configured.
func FuzzHello(f *testing.F) {
	o := testOptions("s", map[string]string{"c": "127.0.0.1:1"})
	for _, process := range []string{"c", "x"} {
		var seed bytes.Buffer
		if _, err := protodelim.MarshalTo(&seed, &wirepb.Hello{Cluster: "test", Process: process, Protocol: Protocol}); err != nil {
			f.Fatal(err)
		}
		randomtest.Add(f, seed.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := o.receiveHello(helloConn{data: bytes.NewReader(data)})
		if err == nil && (h.Process != "c" || h.Cluster != "test") {
			t.Fatalf("accepted %v", h)
		}
	})
}
