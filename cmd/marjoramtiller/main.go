// Command marjoramtiller is the operators' command-line tool.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2 // invalid arguments, settings or sheet
	exitConflict = 3 // another change was accepted first
	exitUnknown  = 4 // the change may or may not take effect
)

const defaultSettings = "/etc/marjoramtiller/client.ini"

const usage = `usage: marjoramtiller COMMAND [flags] [arguments]

  sheet check FILE               check a sheet
  sheet apply [-yes] FILE        show the difference; with -yes apply it
  demo [-v]                      run both sample deployments in this process
  placement                      propose an assignment of hosts to pools
  report -month YYYY-MM [-csv]   print the monthly figures
  status                         print versions, pools and waves
  config show                    print the configuration as JSON
  wave pause [-reason TEXT] NAME
  wave resume NAME
  host move -to POOL [-epoch N] NAME
  voters list
  voters add-learner|promote|remove ID
  queues                         print the queues of jobs
  runs [-queue QUEUE]            print the runs that may be executing
  machines                       print the machines, their pools and workers
  waves                          print the progress of the waves over machines
  job submit -queue QUEUE [-id ID] FILE
  job state -queue QUEUE ID
  job cancel -queue QUEUE ID
  bench                          print the metrics of both users' workloads
                                 with their baselines and targets
  dump                           print the state of a control process as JSON
  settings check [-program control|entry|client] FILE

Every command takes -settings FILE (default ` + defaultSettings + `).
Exit codes: 0 done, 1 failed, 2 invalid arguments, settings or sheet,
3 conflict with another change, 4 outcome unknown.
`

// usageError reports invalid arguments, settings or an invalid sheet.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message + "; see marjoramtiller help" }

// tool holds the outputs, the request id generator and the client constructor of
// the commands.
type tool struct {
	out    io.Writer
	errOut io.Writer
	newID  func() string
	open   func(s *settings.Client) *client
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	t := &tool{out: os.Stdout, errOut: os.Stderr, newID: newRequestID, open: newClient}
	code := t.main(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }

type command func(ctx context.Context, t *tool, args []string) error

var commands = map[string]command{
	"sheet check":        sheetCheck,
	"sheet apply":        sheetApply,
	"placement":          placement,
	"report":             monthlyReport,
	"status":             status,
	"config show":        configShow,
	"wave pause":         wavePause,
	"wave resume":        waveResume,
	"host move":          hostMove,
	"voters list":        votersList,
	"voters add-learner": voterCommand(operator.AddLearner),
	"voters promote":     voterCommand(operator.Promote),
	"voters remove":      voterCommand(operator.RemoveVoter),
	"queues":             jobQueues,
	"runs":               jobRuns,
	"machines":           jobMachines,
	"waves":              jobWaves,
	"job submit":         jobSubmit,
	"job state":          jobState,
	"job cancel":         jobCancel,
	"bench":              bench,
	"demo":               demo,
	"dump":               dump,
	"settings check":     settingsCheck,
}

func (t *tool) main(ctx context.Context, args []string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" {
		fmt.Fprint(t.out, usage)
		return exitOK
	}
	run, rest := findCommand(args)
	if run == nil {
		fmt.Fprintf(t.errOut, "unknown command %q\n\n%s", strings.Join(args[:min(2, len(args))], " "), usage)
		return exitUsage
	}
	err := run(ctx, t, rest)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(t.errOut, err)
	}
	return exitCode(err)
}

func findCommand(args []string) (command, []string) {
	if run, ok := commands[args[0]]; ok {
		return run, args[1:]
	}
	if len(args) > 1 {
		if run, ok := commands[args[0]+" "+args[1]]; ok {
			return run, args[2:]
		}
	}
	return nil, nil
}

func exitCode(err error) int {
	var (
		problem     *operator.Problem
		unreachable *unreachableError
		invalid     *usageError
	)
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &problem) && problem.Status == http.StatusConflict:
		return exitConflict
	case errors.As(err, &unreachable) && unreachable.unknown:
		return exitUnknown
	case errors.As(err, &invalid):
		return exitUsage
	}
	return exitFailed
}

// arguments is the flag set of a command with the flags that all commands share.
type arguments struct {
	*flag.FlagSet
	settingsPath *string
}

func (t *tool) arguments(name string) *arguments {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(t.errOut)
	return &arguments{f, f.String("settings", defaultSettings, "settings `file`")}
}

// parse parses the flags and requires exactly count arguments after them.
func (a *arguments) parse(args []string, count int) error {
	if err := a.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return &usageError{err.Error()}
	}
	if a.NArg() != count {
		return &usageError{fmt.Sprintf("%s needs %d argument(s) after its flags, got %d", a.Name(), count, a.NArg())}
	}
	return nil
}

func (a *arguments) settings() (*settings.Client, error) {
	data, err := settings.ReadFile(*a.settingsPath)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	s, err := settings.ParseClient(data)
	if err != nil {
		return nil, &usageError{*a.settingsPath + ": " + err.Error()}
	}
	return s, nil
}

// connect parses the arguments, reads the settings file and opens a client.
func (t *tool) connect(a *arguments, args []string, count int) (*settings.Client, *client, error) {
	if err := a.parse(args, count); err != nil {
		return nil, nil, err
	}
	s, err := a.settings()
	if err != nil {
		return nil, nil, err
	}
	return s, t.open(s), nil
}
