package untrusted

import "testing"

// testBodies lets a crowd send bodies to an interface. Guards against a process that holds
// what each client has sent, without a bound on the sum, and so runs out of memory.
func testBodies(t *testing.T, to target, bodies func(to target) load) {
	t.Helper()
	s := startSystem(t, manyDescriptors)
	c := newCrowd(t)
	c.send(to.address(s), to.request, bodies(to))
	s.settle()
	s.eventually("an ordinary request is answered", to.ordinary)
	s.checkAll()
}

func TestManyWholeBodiesOfCallers(t *testing.T) { testBodies(t, callers, wholeBodies) }

func TestManyWholeBodiesOfQueueCallers(t *testing.T) { testBodies(t, queueCallers, wholeBodies) }

func TestManyWholeBodiesOfConfigurations(t *testing.T) { testBodies(t, configurations, wholeBodies) }

func TestManyWholeBodiesOfReports(t *testing.T) { testBodies(t, reports, wholeBodies) }

func TestBodiesPieceByPieceOfCallers(t *testing.T) { testBodies(t, callers, bodiesInPieces) }

func TestBodiesPieceByPieceOfQueueCallers(t *testing.T) { testBodies(t, queueCallers, bodiesInPieces) }

func TestBodiesPieceByPieceOfConfigurations(t *testing.T) {
	testBodies(t, configurations, bodiesInPieces)
}

func TestBodiesPieceByPieceOfReports(t *testing.T) { testBodies(t, reports, bodiesInPieces) }

func TestBodiesStallingBeforeTheirEndOfCallers(t *testing.T) { testBodies(t, callers, stallingBodies) }

func TestBodiesStallingBeforeTheirEndOfQueueCallers(t *testing.T) {
	testBodies(t, queueCallers, stallingBodies)
}

func TestBodiesStallingBeforeTheirEndOfConfigurations(t *testing.T) {
	testBodies(t, configurations, stallingBodies)
}

func TestBodiesStallingBeforeTheirEndOfReports(t *testing.T) { testBodies(t, reports, stallingBodies) }

func TestLargeChunksStallingOfCallers(t *testing.T) { testBodies(t, callers, stallingLargeChunks) }

func TestLargeChunksStallingOfQueueCallers(t *testing.T) {
	testBodies(t, queueCallers, stallingLargeChunks)
}

func TestLargeChunksStallingOfConfigurations(t *testing.T) {
	testBodies(t, configurations, stallingLargeChunks)
}

func TestLargeChunksStallingOfReports(t *testing.T) { testBodies(t, reports, stallingLargeChunks) }

func TestSmallChunksStallingOfCallers(t *testing.T) { testBodies(t, callers, stallingSmallChunks) }

func TestSmallChunksStallingOfQueueCallers(t *testing.T) {
	testBodies(t, queueCallers, stallingSmallChunks)
}

func TestSmallChunksStallingOfConfigurations(t *testing.T) {
	testBodies(t, configurations, stallingSmallChunks)
}

func TestSmallChunksStallingOfReports(t *testing.T) { testBodies(t, reports, stallingSmallChunks) }

func TestBodiesAnnouncedFarOverLimitOfCallers(t *testing.T) {
	testBodies(t, callers, announcedOverLimit)
}

func TestBodiesAnnouncedFarOverLimitOfQueueCallers(t *testing.T) {
	testBodies(t, queueCallers, announcedOverLimit)
}

func TestBodiesAnnouncedFarOverLimitOfConfigurations(t *testing.T) {
	testBodies(t, configurations, announcedOverLimit)
}

func TestBodiesAnnouncedFarOverLimitOfReports(t *testing.T) {
	testBodies(t, reports, announcedOverLimit)
}

func TestBodiesSentFarOverLimitOfCallers(t *testing.T) { testBodies(t, callers, sentOverLimit) }

func TestBodiesSentFarOverLimitOfQueueCallers(t *testing.T) {
	testBodies(t, queueCallers, sentOverLimit)
}

func TestBodiesSentFarOverLimitOfConfigurations(t *testing.T) {
	testBodies(t, configurations, sentOverLimit)
}

func TestBodiesSentFarOverLimitOfReports(t *testing.T) { testBodies(t, reports, sentOverLimit) }

func TestManyWholeBodiesOfWaves(t *testing.T) { testBodies(t, waves, wholeBodies) }

func TestBodiesStallingBeforeTheirEndOfWaves(t *testing.T) { testBodies(t, waves, stallingBodies) }

func TestBodiesStallingBeforeTheirEndOfStateRequests(t *testing.T) {
	testBodies(t, stateRequests, stallingBodies)
}
