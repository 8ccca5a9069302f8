package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"time"
	"unicode/utf8"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/httpserver"
	"marjoramtiller.example/marjoramtiller/connection/inbound"
)

// Upper bounds of a request's size.
const (
	MaxBodyBytes      = 32 << 20 // configuration changes: a sheet of sheet.MaxBytes as JSON
	MaxSmallBodyBytes = 16 << 10 // bodies of all other requests
	decodedFactor     = 3        // memory of the decoded form for each byte of a body
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// newApplication returns an iris application with its own log disabled. Errors
// of routing and panics of handlers are answered with problem documents.
func newApplication(logger zerolog.Logger) *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithFireMethodNotAllowed, iris.WithoutBodyConsumptionOnUnmarshal)
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		writeProblem(ctx, logger, &NotFoundError{Kind: "path", Name: ctx.Path()})
	})
	app.OnErrorCode(http.StatusMethodNotAllowed, func(ctx iris.Context) {
		writeProblem(ctx, logger, &Problem{Type: TypeMalformed, Title: "method is not allowed", Status: http.StatusMethodNotAllowed, Remedy: "see docs/operators.md for the methods of each path"})
	})
	app.UseRouter(func(ctx iris.Context) {
		defer func() {
			if cause := recover(); cause != nil {
				writeProblem(ctx, logger, errors.Errorf("panic: %v", cause))
			}
		}()
		ctx.Next()
	})
	return app
}

// readBody returns the request body, or an error if it is larger than limit
// bytes.
func readBody(ctx iris.Context, limit int64) ([]byte, error) {
	data, err := inbound.ReadBody(ctx.ResponseWriter(), ctx.Request(), inbound.BodyLimits{MaxBytes: limit, DecodedFactor: decodedFactor})
	switch {
	case err == nil:
		return data, nil
	case inbound.StatusOf(err) == http.StatusRequestEntityTooLarge:
		return nil, bodyTooLarge()
	case inbound.StatusOf(err) == http.StatusServiceUnavailable:
		return nil, &Problem{Type: TypeUnavailable, Title: "no memory is left for the request, which changed nothing", Status: http.StatusServiceUnavailable, Remedy: "send it again shortly"}
	default:
		return nil, malformed("the body cannot be read: "+err.Error(), "send it again with the same request id")
	}
}

// readJSON decodes the body of a small request. It rejects unknown members,
// because most of them are misspelt names of known ones.
func readJSON(ctx iris.Context, into any) error {
	data, err := readBody(ctx, MaxSmallBodyBytes)
	if err != nil {
		return err
	}
	return decodeStrict(data, into)
}

func writeJSON(ctx iris.Context, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	ctx.ResponseWriter().Header().Set("Content-Type", "application/json")
	_, _ = ctx.Write(data)
	return nil
}

func writeProto(ctx iris.Context, m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	ctx.ResponseWriter().Header().Set("Content-Type", "application/json")
	_, _ = ctx.Write(data)
	return nil
}

func checkID(field, value string) error {
	if !idPattern.MatchString(value) {
		return malformed(fmt.Sprintf("%s %q is missing or not a valid name", field, value), "use 1 to 128 letters, digits, '-', '_' and '.'")
	}
	return nil
}

// checkPathName returns an error for a name in a path that no command can hold.
func checkPathName(name string) error {
	if !utf8.ValidString(name) {
		return malformed(fmt.Sprintf("the name %q in the path is not UTF-8", name), "correct the path")
	}
	return nil
}

// ListenOptions set the address, the time limits and the logger of a server.
type ListenOptions struct {
	Address        netip.AddrPort
	RequestTimeout time.Duration // for reading a request; writing its response has twice this time
	IdleTimeout    time.Duration
	Limits         *inbound.Limits // of what clients send; may be nil
	Connections    int             // largest number of open connections; 0 means that there is no limit
	Logger         zerolog.Logger
}

// Listen starts a server that serves handler, one of the two interfaces of this package.
func Listen(o ListenOptions, handler http.Handler) (*httpserver.Server, error) {
	return httpserver.Listen(httpserver.Options{
		Name: "operators and announcements", Setting: "[listeners]", Address: o.Address,
		ReadTimeout: o.RequestTimeout, WriteTimeout: 2 * o.RequestTimeout, IdleTimeout: o.IdleTimeout, Logger: o.Logger,
		Limits: o.Limits, Connections: o.Connections,
	}, handler)
}
