package inbound

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against reservations beyond the budget, large ones that leave no room for small
// ones, and bytes that stay reserved after all were released.
func TestReservationsStayInsideTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget(1600)
		held := make([]int64, rapid.IntRange(1, 30).Draw(t, "requests"))
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(held)-1).Draw(t, "request")
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				b.release(held[i])
				held[i] = 0
				continue
			}
			n := int64(rapid.IntRange(0, 400).Draw(t, "bytes"))
			if b.reserve(held[i], n) {
				held[i] += n
			}
			checkBudget(t, b, held)
		}
		for _, bytes := range held {
			b.release(bytes)
		}
		if b.used != 0 || b.usedLarge != 0 {
			t.Fatalf("%d bytes, %d of them large, are reserved after all were released", b.used, b.usedLarge)
		}
	})
}

func checkBudget(t *rapid.T, b *budget, held []int64) {
	var small, large, largeCount int64
	for _, bytes := range held {
		if bytes > b.smallBytes {
			large, largeCount = large+bytes, largeCount+1
		} else {
			small += bytes
		}
	}
	if b.used != small+large || b.usedLarge != large {
		t.Fatalf("the budget counts %d bytes, %d of them large; the requests hold %d and %d", b.used, b.usedLarge, small+large, large)
	}
	if largeCount > 1 && large > b.largeLimit {
		t.Fatalf("%d large reservations hold %d of %d bytes", largeCount, large, b.largeLimit)
	}
	if small > b.limit {
		t.Fatalf("small reservations hold %d of %d bytes", small, b.limit)
	}
	if small+b.smallBytes <= b.limit-b.largeLimit && b.missing(0, b.smallBytes) > 0 {
		t.Fatal("large reservations leave no room for a small one")
	}
}

// Guards against a request inside the limits that a small machine never serves.
func TestSingleLargeReservationIsServed(t *testing.T) {
	is := is.New(t)
	b := newBudget(1000)
	is.True(b.reserve(0, 5000))
	is.True(b.reserve(5000, 5000))
	is.True(!b.reserve(0, 500)) // a second large one
	b.release(10000)
	is.True(b.reserve(0, 500))
}
