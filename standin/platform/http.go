package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	api "marjoramtiller.example/marjoramtiller/process/platform"
)

const maxBodyBytes = 64 << 10

// Handler serves the stand-in over HTTP with the interface that the client in
// process/platform calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /workers", func(w http.ResponseWriter, r *http.Request) {
		workers, err := p.Workers(r.Context())
		writeResponse(w, workers, err)
	})
	mux.HandleFunc("GET /tasks", func(w http.ResponseWriter, r *http.Request) {
		tasks, err := p.Tasks(r.Context())
		writeResponse(w, tasks, err)
	})
	mux.HandleFunc("POST /workers/{name}/reboot", withBody(func(r *http.Request, b api.StepRequest) error {
		return p.Reboot(r.Context(), r.PathValue("name"), b.Token)
	}))
	mux.HandleFunc("POST /workers/{name}/renew", withBody(func(r *http.Request, b api.StepRequest) error {
		return p.Renew(r.Context(), r.PathValue("name"), leaseDuration(b))
	}))
	mux.HandleFunc("POST /tasks/start", withBody(func(r *http.Request, b api.StepRequest) error {
		if b.Task == nil {
			return rejected("the request has no task")
		}
		return p.Start(r.Context(), *b.Task, leaseDuration(b), b.Token)
	}))
	mux.HandleFunc("POST /tasks/step", withBody(p.taskStep))
	return mux
}

func leaseDuration(b api.StepRequest) time.Duration {
	return time.Duration(b.LeaseMs) * time.Millisecond
}

func (p *Platform) taskStep(r *http.Request, b api.StepRequest) error {
	switch b.Step {
	case "checkpoint":
		return p.Checkpoint(r.Context(), b.Name, b.Token)
	case "throttle":
		return p.Throttle(r.Context(), b.Name, b.Token)
	case "stop":
		return p.Stop(r.Context(), b.Name, b.Token)
	}
	return rejected("unknown step " + b.Step)
}

func withBody(f func(*http.Request, api.StepRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var b api.StepRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b); err != nil {
			writeResponse(w, nil, rejected("cannot decode the request body: "+err.Error()))
			return
		}
		writeResponse(w, struct{}{}, f(r, b))
	}
}

func writeResponse(w http.ResponseWriter, body any, err error) {
	var failure *api.Error
	switch {
	case errors.As(err, &failure) && failure.Kind == api.NotFound:
		http.Error(w, failure.Detail, http.StatusNotFound)
	case errors.As(err, &failure):
		http.Error(w, failure.Detail, http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		// A write fails if the client has disconnected; the client repeats the call.
		_ = json.NewEncoder(w).Encode(body)
	}
}
