package operator

import (
	"net/http"
	"net/netip"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Upper bounds of the capacity that a backend server may announce.
const (
	MaxSlots       = 4096
	MaxConnections = 65536
)

// Announcement is the body of POST /v1/announcements.
type Announcement struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Service     string `json:"service"`
	Address     string `json:"address"` // IP:port
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	BootID      string `json:"boot_id"`
	Leaving     bool   `json:"leaving"`
}

// AnnouncementAnswer is the response body of POST /v1/announcements.
type AnnouncementAnswer struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason"`
	RenewMs  uint32 `json:"renew_ms"`
	Drained  bool   `json:"drained"`
}

// toRequest validates the announcement and converts it to a wire request. It
// returns an error for the first invalid field.
func (a *Announcement) toRequest() (*wirepb.AnnounceRequest, error) {
	for _, id := range []struct{ field, value string }{
		{"name", a.Name}, {"host", a.Host}, {"service", a.Service}, {"boot_id", a.BootID},
	} {
		if err := checkID(id.field, id.value); err != nil {
			return nil, err
		}
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return nil, malformed("address \""+a.Address+"\" is not an IP address and port", "announce the address that entries can reach, such as 10.0.1.20:8080")
	}
	if a.Slots == 0 || a.Slots > MaxSlots {
		return nil, malformed("slots is missing or too large", "announce 1 to 4096 slots")
	}
	if a.Connections == 0 || a.Connections > MaxConnections {
		return nil, malformed("connections is missing or too large", "announce 1 to 65536 connections")
	}
	return &wirepb.AnnounceRequest{Leaving: a.Leaving, Server: &fleetpb.BackendServer{
		Name: a.Name, Host: a.Host, Service: a.Service, Address: address.String(),
		Slots: a.Slots, Connections: a.Connections, BootId: a.BootID, Leaving: a.Leaving,
	}}, nil
}

// NewAnnouncementHandler returns the handler of the announcement interface.
func NewAnnouncementHandler(announcer Announcer, logger zerolog.Logger) (http.Handler, error) {
	app := newApplication(logger)
	app.Post("/v1/announcements", func(ctx iris.Context) {
		answer, err := announce(ctx, announcer)
		if err == nil {
			err = writeJSON(ctx, answer)
		}
		if err != nil {
			writeProblem(ctx, logger, err)
		}
	})
	return app, errors.Wrap(app.Build(), "build the announcement interface")
}

func announce(ctx iris.Context, announcer Announcer) (*AnnouncementAnswer, error) {
	var announcement Announcement
	if err := readJSON(ctx, &announcement); err != nil {
		return nil, err
	}
	request, err := announcement.toRequest()
	if err != nil {
		return nil, err
	}
	response, err := announcer.Announce(ctx.Request().Context(), request)
	if err != nil {
		return nil, err
	}
	return &AnnouncementAnswer{
		Accepted: response.GetAccepted(), Reason: response.GetReason(),
		RenewMs: response.GetRenewMs(), Drained: response.GetDrained(),
	}, nil
}
