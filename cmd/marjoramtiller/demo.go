package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/examples"
	"marjoramtiller.example/marjoramtiller/process/embedded"
	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/settings"
	"marjoramtiller.example/marjoramtiller/standin/platform"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/report"
	"marjoramtiller.example/marjoramtiller/version/sheet"
)

// Durations and sizes of the demo.
const (
	demoLimit         = 55 * time.Second
	demoBootTime      = time.Second
	demoDrainDeadline = time.Second // after which the tasks of draining hosts are checkpointed
	demoControls      = 3
	demoEntries       = 6
	demoLedgerGroups  = 2
	demoPoll          = 100 * time.Millisecond
	demoWarmUp        = 2 * time.Second
	demoCoolDown      = 2 * time.Second
)

// demo runs the sample deployments of both users in this process: it applies their
// sheets, serves requests for every service while a maintenance wave runs, prints
// the reports, and returns an error if a guarantee was violated.
func demo(ctx context.Context, t *tool, args []string) error {
	a := t.arguments("demo")
	verbose := a.Bool("v", false, "write the logs of the processes to standard error")
	if err := a.parse(args, 0); err != nil {
		return err
	}
	log := zerolog.Nop()
	if *verbose {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	started := time.Now()
	output := &lockedWriter{w: t.out}
	errs := make([]error, len(demoUsers))
	var wg sync.WaitGroup
	for i, u := range demoUsers {
		wg.Go(func() {
			d := &deployment{user: u, out: output, log: log, started: started}
			errs[i] = d.run(ctx)
		})
	}
	wg.Wait()
	failed := false
	for i, err := range errs {
		if err != nil {
			failed = true
			fmt.Fprintf(t.out, "%s: FAILED: %v\n", demoUsers[i].name, err)
		}
	}
	if failed {
		return errors.New("a guarantee was violated or the demo could not finish; the FAILED lines name the cause")
	}
	fmt.Fprintf(t.out, "all guarantees held; %.0f s\n", time.Since(started).Seconds())
	return nil
}

// lockedWriter serializes writes, so that lines of concurrent deployments do not mix.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// deployment consists of the cluster, workers, backend servers and callers of one user.
type deployment struct {
	user    demoUser
	out     io.Writer
	log     zerolog.Logger
	started time.Time

	client   *client
	settings *settings.Client
	sheet    *sheet.Sheet
	cluster  *embedded.Cluster
	backends *demoBackends
}

func (d *deployment) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1f s  %-8s %s\n", time.Since(d.started).Seconds(), d.user.name, fmt.Sprintf(format, args...))
}

func (d *deployment) run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "marjoramtiller-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := d.load(); err != nil {
		return err
	}
	platformStandIn := platform.New(platform.Options{
		Seed: d.user.seed, Now: func() time.Duration { return time.Since(d.started) }, BootTime: demoBootTime,
	}, demoWorkers(d.sheet))
	platformServer := httptest.NewServer(platformStandIn.Handler())
	defer platformServer.Close()
	d.cluster, err = embedded.Start(embedded.Options{
		Name: d.user.name, Zones: d.user.zones, Controls: demoControls, Entries: demoEntries,
		LedgerGroups: demoLedgerGroups, DataFolder: folder, PlatformURL: platformServer.URL,
		DrainDeadline: demoDrainDeadline, Titles: d.settings.ReportTitles, Logger: d.log,
	})
	if err != nil {
		return err
	}
	result := d.serve(ctx, platformStandIn)
	if err := d.cluster.Close(); err != nil && result == nil {
		result = err
	}
	return result
}

// load reads the sample settings and the sample sheet of the user.
func (d *deployment) load() error {
	raw, err := examples.Files.ReadFile(d.user.name + "/client.ini")
	if err != nil {
		return err
	}
	if d.settings, err = settings.ParseClient(raw); err != nil {
		return err
	}
	raw, err = examples.Files.ReadFile(d.user.name + "/sheet.csv")
	if err != nil {
		return err
	}
	d.sheet, err = sheet.Parse(bytes.NewReader(raw), sheet.Options{Titles: d.settings.SheetTitles})
	return err
}

func (d *deployment) serve(ctx context.Context, platformStandIn *platform.Platform) error {
	d.settings.Control = d.cluster.Operators()
	d.client = newClient(d.settings)
	if err := d.applySheet(ctx); err != nil {
		return err
	}
	d.backends = newDemoBackends(d.user, d.cluster.Announcements(), platformStandIn)
	watch := newDemoWatch(d.client, d.backends)
	watchContext, stopWatch := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { watch.run(watchContext) })
	defer func() {
		stopWatch()
		wg.Wait()
		d.backends.stopAll()
	}()
	if err := watch.waitUntil(ctx, "every pool has its backend servers", watch.poolsServe); err != nil {
		return err
	}
	d.printf("%d backend servers are registered", d.backends.count())
	load := d.startLoad(ctx)
	pause(ctx, demoWarmUp)
	waveErr := d.runWave(ctx, watch)
	pause(ctx, demoCoolDown)
	records := load.finish()
	if waveErr != nil {
		return waveErr
	}
	if err := d.printReport(ctx); err != nil {
		return err
	}
	return d.checkGuarantees(records, watch)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// applySheet applies the sample sheet twice; the second time must change nothing.
func (d *deployment) applySheet(ctx context.Context) error {
	current, err := d.snapshot(ctx)
	if err != nil {
		return err
	}
	changes := d.sheet.Diff(current)
	if err := d.configure(ctx, current.GetVersion(), changes); err != nil {
		return err
	}
	current, err = d.snapshot(ctx)
	if err != nil {
		return err
	}
	if again := d.sheet.Diff(current); len(again) != 0 {
		return errors.Errorf("applying the same sheet a second time would make %d changes, want none", len(again))
	}
	d.printf("sheet applied: %d pools, %d hosts, %d jobs, %d waves, %d teams",
		len(d.sheet.Pools), len(d.sheet.Hosts), len(d.sheet.Jobs), len(d.sheet.Waves), len(d.sheet.Teams))
	return nil
}

func (d *deployment) snapshot(ctx context.Context) (*fleetpb.Snapshot, error) {
	current := &fleetpb.Snapshot{}
	return current, d.client.get(ctx, "/v1/configuration", current)
}

func (d *deployment) configure(ctx context.Context, base uint64, changes []*fleetpb.Change) error {
	raw, err := marshalChanges(changes)
	if err != nil {
		return err
	}
	_, err = d.client.send(ctx, "POST", "/v1/configuration", operator.ConfigurationRequest{
		RequestID: newRequestID(), Operator: "demo", BaseVersion: &base, Changes: raw,
	}, resendAlways)
	return explain(err)
}

// runWave starts the sheet's first wave now instead of at its date, and waits
// until all of its hosts are back.
func (d *deployment) runWave(ctx context.Context, watch *demoWatch) error {
	wave := proto.Clone(d.sheet.Waves[0]).(*fleetpb.Wave)
	wave.NotBeforeUnixMs = time.Now().UnixMilli()
	wave.DeadlineUnixMs = time.Now().Add(time.Hour).UnixMilli()
	current, err := d.snapshot(ctx)
	if err != nil {
		return err
	}
	change := &fleetpb.Change{Object: &fleetpb.Change_Wave{Wave: wave}}
	if err := d.configure(ctx, current.GetVersion(), []*fleetpb.Change{change}); err != nil {
		return err
	}
	d.printf("wave %s of %d hosts starts", wave.Name, len(wave.Hosts))
	started := time.Now()
	err = watch.waitUntil(ctx, "the wave is done", func(s *fleetpb.Snapshot) bool {
		for _, w := range s.GetWaves() {
			if w.GetName() == wave.Name {
				watch.printProgress(w, d.printf)
				return w.GetState() == fleetpb.WaveState_WAVE_STATE_DONE
			}
		}
		return false
	})
	if err == nil {
		d.printf("wave done after %.1f s", time.Since(started).Seconds())
	}
	return err
}

func (d *deployment) printReport(ctx context.Context) error {
	month := time.Now().UTC().Format("2006-01")
	answer := &fleetpb.Snapshot{}
	if err := d.client.get(ctx, "/v1/report?month="+month, answer); err != nil {
		return err
	}
	var text bytes.Buffer
	if err := report.WriteTable(&text, answer.GetFigures(), d.settings.ReportTitles); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\n%s: report of %s\n%s\n", d.user.name, month, text.String())
	return nil
}
