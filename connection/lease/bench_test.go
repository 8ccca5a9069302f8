package lease

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

var benchSizes = []int{160, 1600, 16000}

// sizedLeader has sessions of n entries and heartbeats of n backend servers.
func sizedLeader(n int) *Leader {
	l := NewLeader(0, nil, nil)
	for i := range n {
		id := SessionID{fmt.Sprintf("entry-%05d", i), "boot"}
		_ = l.Report(Report{ID: id, AckedVersion: 1}, 0)
		_ = l.Answered(id, 0)
		_ = l.Heartbeat(fmt.Sprintf("server-%05d", i), "boot", 0)
	}
	return l
}

func BenchmarkReportAndInForce(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			l := sizedLeader(n)
			id := SessionID{"entry-00001", "boot"}
			b.ReportAllocs()
			for i := time.Duration(0); b.Loop(); i++ {
				_ = l.Report(Report{ID: id, AckedVersion: 2}, i)
				_ = l.Answered(id, i)
				l.InForce(2, i)
			}
		})
	}
}

func BenchmarkMaySend(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := NewServing()
			y := Sync{Term: 1, ConfigLease: ConfigLease, Full: true}
			for i := range n {
				y.Live = append(y.Live, LiveServer{Name: fmt.Sprintf("server-%05d", i), Lease: ServerLease})
			}
			s.Synced(y, 0)
			b.ReportAllocs()
			for b.Loop() {
				s.MaySend("server-00001", time.Second)
			}
		})
	}
}

// BenchmarkMemoryPerEntry reports the live heap of a leader for each pair of an
// entry session and a backend server's heartbeat.
func BenchmarkMemoryPerEntry(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			used := 0.0
			for b.Loop() {
				before := liveBytes()
				l := sizedLeader(n)
				used = float64(liveBytes()-before) / float64(n)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(used, "bytes/entry-and-server")
		})
	}
}

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
