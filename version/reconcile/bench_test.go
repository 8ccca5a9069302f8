package reconcile

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

// BenchmarkNext measures one round at the design scale, with a wave under way in
// every pool. It runs twice a second while the fleet applies nothing.
func BenchmarkNext(b *testing.B) {
	f := fleet.New()
	apply := func(c *fleetpb.Command) {
		data, _ := proto.Marshal(c)
		f.Apply(0, data)
	}
	changes := []*fleetpb.Change{poolChange(&fleetpb.Pool{Name: "spare", Spare: true})}
	waves := map[string][]string{}
	for i := range 16_000 {
		pool := fmt.Sprintf("p%02d", i%47)
		waves[pool] = append(waves[pool], fmt.Sprintf("h%05d", i))
		changes = append(changes, hostChange(fmt.Sprintf("h%05d", i), pool, fmt.Sprintf("z%02d", i%20), fmt.Sprintf("r%d", i/80)))
	}
	for pool, hosts := range waves {
		changes = append(changes, poolChange(&fleetpb.Pool{Name: pool, PromisedHosts: 300, SurviveRack: true, MaxOut: 5}), waveChange(pool, hosts))
	}
	apply(&fleetpb.Command{RequestId: "r", Actor: "o", Body: &fleetpb.Command_Configure{Configure: &fleetpb.Configure{Changes: changes}}})
	in := Input{Fleet: f, Waves: plan.DefaultWaveSettings()}
	for range 2 {
		for _, c := range Next(in) {
			apply(c)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		Next(in)
	}
}
