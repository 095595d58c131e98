package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/class"
)

// maxBody is the maximum size of the body of an operator's request.
const maxBody = 1 << 20

// Controller provides the state of the instance. control.Control implements it.
type Controller interface {
	Status(ctx context.Context) (Status, error)
	Explain(ctx context.Context, class string, client netip.Addr) (Explanation, error)
	// Poll triggers an immediate read of the platform, after a write was accepted.
	Poll()
}

// Handler is the http.Handler of the operators' interface.
type Handler struct {
	mux        *http.ServeMux
	controller Controller
	store      *store
	timer      lovageyard.Timer
}

// NewHandler returns a handler that reads the instance's state from c, reads and writes operators'
// rows in table, and exports the metrics in registry.
func NewHandler(c Controller, table lovageyard.Table, timer lovageyard.Timer, registry metrics.Registry) *Handler {
	h := &Handler{
		mux:        http.NewServeMux(),
		controller: c,
		store:      &store{table: table},
		timer:      timer,
	}
	h.mux.HandleFunc("GET /healthz", h.health)
	h.mux.HandleFunc("GET /status", h.status)
	h.mux.HandleFunc("GET /classes", h.listClasses)
	h.mux.HandleFunc("GET /classes/{name}", h.showClass)
	h.mux.HandleFunc("PUT /classes/{name}", h.putClass)
	h.mux.HandleFunc("DELETE /classes/{name}", h.deleteClass)
	h.mux.HandleFunc("POST /sites/{name}/drain", h.drain)
	h.mux.HandleFunc("POST /sites/{name}/restore", h.restore)
	h.mux.HandleFunc("GET /charges", h.listCharges)
	h.mux.HandleFunc("GET /charges/{class}/{key}", h.showCharge)
	h.mux.HandleFunc("POST /charges/{class}/{key}/settle", h.settleCharge)
	h.mux.HandleFunc("GET /explain", h.explain)
	h.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	})
	return h
}

// ServeHTTP serves one request of an operator. Bodies are limited to maxBody bytes.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) health(w http.ResponseWriter, r *http.Request) {
	status, err := h.controller.Status(r.Context())
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err)
		return
	}
	if status.State != lovageyard.StateLive {
		writeProblem(w, http.StatusServiceUnavailable, errors.New("leaving"))
		return
	}
	writeOK(w, Health{State: status.State, Version: status.Version})
}

// Health is the response to a health check of a live instance.
type Health struct {
	State   lovageyard.InstanceState `json:"state"`
	Version int64                    `json:"version"`
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.controller.Status(r.Context())
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err)
		return
	}
	writeOK(w, status)
}

func (h *Handler) listClasses(w http.ResponseWriter, r *http.Request) {
	status, err := h.controller.Status(r.Context())
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err)
		return
	}
	writeOK(w, status.Classes)
}

func (h *Handler) showClass(w http.ResponseWriter, r *http.Request) {
	row, err := h.store.table.Read(r.Context(), lovageyard.TableClasses, r.PathValue("name"))
	if errors.Is(err, lovageyard.ErrNotFound) {
		writeProblem(w, http.StatusNotFound, errors.Errorf("class %q does not exist", r.PathValue("name")))
		return
	}
	if err != nil {
		writeProblem(w, http.StatusBadGateway, errors.Wrap(err, "the platform could not be read"))
		return
	}
	current, err := decodeClass(row)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, err)
		return
	}
	writeOK(w, current)
}

func (h *Handler) putClass(w http.ResponseWriter, r *http.Request) {
	version, err := parseVersion(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, errors.Wrap(err, "body"))
		return
	}
	c, err := class.Decode(body)
	if err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, err)
		return
	}
	if c.Name != r.PathValue("name") {
		writeProblem(w, http.StatusUnprocessableEntity, errors.Errorf("name: %q is not the name in the path", c.Name))
		return
	}
	value, err := json.Marshal(c)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, err)
		return
	}
	write := lovageyard.Write{Table: lovageyard.TableClasses, Key: c.Name, Value: value}
	accepted, err := h.store.write(r.Context(), write, version)
	h.respondToWrite(w, VersionedClass{Version: accepted, Class: c}, err)
}

func (h *Handler) deleteClass(w http.ResponseWriter, r *http.Request) {
	version, err := parseVersion(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	write := lovageyard.Write{Table: lovageyard.TableClasses, Key: r.PathValue("name"), Delete: true}
	accepted, err := h.store.write(r.Context(), write, version)
	h.respondToWrite(w, Accepted{Version: accepted}, err)
}

// Accepted is the response to a deletion that took effect; Version is the version of the change.
type Accepted struct {
	Version int64 `json:"version"`
}

func parseVersion(r *http.Request) (int64, error) {
	text := r.URL.Query().Get("version")
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		return 0, errors.Errorf("version: %q is not the version that was read, or 0 for a new class", text)
	}
	return version, nil
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	var order DrainOrder
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&order); err != nil && err != io.EOF {
		writeProblem(w, http.StatusBadRequest, errors.Wrap(err, "order"))
		return
	}
	if !order.EmptyBy.IsZero() && order.EmptyBy.Before(h.timer.Now()) {
		writeProblem(w, http.StatusUnprocessableEntity, errors.New("empty-by: the time has passed"))
		return
	}
	h.writeSiteOrder(w, r, lovageyard.SiteOrder{
		Site:      r.PathValue("name"),
		Draining:  true,
		EmptyBy:   order.EmptyBy,
		OrderedAt: h.timer.Now(),
	})
}

func (h *Handler) restore(w http.ResponseWriter, r *http.Request) {
	h.writeSiteOrder(w, r, lovageyard.SiteOrder{Site: r.PathValue("name"), OrderedAt: h.timer.Now()})
}

func (h *Handler) writeSiteOrder(w http.ResponseWriter, r *http.Request, order lovageyard.SiteOrder) {
	status, err := h.controller.Status(r.Context())
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err)
		return
	}
	if !hasSite(status, order.Site) {
		writeProblem(w, http.StatusNotFound, errors.Errorf("site %q is not on the platform's list", order.Site))
		return
	}
	version, err := h.store.version(r.Context(), lovageyard.TableSites, order.Site)
	if err != nil {
		writeProblem(w, http.StatusBadGateway, errors.Wrap(err, "the platform could not be read"))
		return
	}
	value, err := json.Marshal(order)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, err)
		return
	}
	write := lovageyard.Write{Table: lovageyard.TableSites, Key: order.Site, Value: value}
	_, err = h.store.write(r.Context(), write, version)
	h.respondToWrite(w, order, err)
}

func hasSite(s Status, site string) bool {
	for _, p := range s.Pools {
		if p.Site == site {
			return true
		}
	}
	return false
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	client, err := netip.ParseAddr(r.URL.Query().Get("client"))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, errors.New("client: not an IP address"))
		return
	}
	explanation, err := h.controller.Explain(r.Context(), r.URL.Query().Get("class"), client)
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err)
		return
	}
	writeOK(w, explanation)
}

// respondToWrite responds to a write according to its error: accepted if it is nil, or else in conflict
// with another write, of unknown outcome, or failed.
func (h *Handler) respondToWrite(w http.ResponseWriter, accepted any, err error) {
	var conflict *lovageyard.ConflictError
	switch {
	case err == nil:
		h.controller.Poll()
		writeOK(w, accepted)
	case errors.As(err, &conflict):
		p := Problem{Error: conflict.Error(), Verdict: lovageyard.VerdictNotRun}
		if winner, err := decodeClass(conflict.Row); err == nil && conflict.Row.Table == lovageyard.TableClasses {
			p.Winner = &winner
		}
		writeJSON(w, http.StatusConflict, p)
	case errors.Is(err, lovageyard.ErrUnknownOutcome):
		writeJSON(w, http.StatusGatewayTimeout, Problem{Error: err.Error(), Verdict: lovageyard.VerdictMayHaveRun})
	default:
		writeProblem(w, http.StatusBadGateway, err)
	}
}

func decodeClass(row lovageyard.Row) (VersionedClass, error) {
	c := VersionedClass{Version: row.Version}
	err := json.Unmarshal(row.Value, &c.Class)
	return c, errors.Wrap(err, "class "+row.Key)
}

func writeProblem(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, Problem{Error: err.Error(), Verdict: lovageyard.VerdictNotRun})
}

func writeOK(w http.ResponseWriter, value any) {
	writeJSON(w, http.StatusOK, value)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
