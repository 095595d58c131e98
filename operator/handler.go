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

// maxBody bounds the body of an operator's request.
const maxBody = 1 << 20

// Controller answers from control state.
type Controller interface {
	Status(ctx context.Context) (Status, error)
	Explain(ctx context.Context, class string, client netip.Addr) (Explanation, error)
	// Poll makes a change that was just accepted known at once.
	Poll()
}

// Handler serves the operators' interface.
type Handler struct {
	mux        *http.ServeMux
	controller Controller
	store      *store
	timer      lovageyard.Timer
}

// NewHandler returns a handler that writes to a table.
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

// ServeHTTP answers one request of an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) health(w http.ResponseWriter, r *http.Request) {
	status, err := h.controller.Status(r.Context())
	if err != nil {
		problem(w, http.StatusServiceUnavailable, err)
		return
	}
	if status.State != lovageyard.StateLive {
		problem(w, http.StatusServiceUnavailable, errors.New("leaving"))
		return
	}
	reply(w, Health{State: status.State, Version: status.Version})
}

// Health is the answer to a health check.
type Health struct {
	State   lovageyard.InstanceState `json:"state"`
	Version int64                    `json:"version"`
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.controller.Status(r.Context())
	if err != nil {
		problem(w, http.StatusServiceUnavailable, err)
		return
	}
	reply(w, status)
}

func (h *Handler) listClasses(w http.ResponseWriter, r *http.Request) {
	status, err := h.controller.Status(r.Context())
	if err != nil {
		problem(w, http.StatusServiceUnavailable, err)
		return
	}
	reply(w, status.Classes)
}

func (h *Handler) showClass(w http.ResponseWriter, r *http.Request) {
	row, err := h.store.table.Read(r.Context(), lovageyard.TableClasses, r.PathValue("name"))
	if errors.Is(err, lovageyard.ErrNotFound) {
		problem(w, http.StatusNotFound, errors.Errorf("class %q does not exist", r.PathValue("name")))
		return
	}
	if err != nil {
		problem(w, http.StatusBadGateway, errors.Wrap(err, "the platform could not be read"))
		return
	}
	known, err := classOf(row)
	if err != nil {
		problem(w, http.StatusInternalServerError, err)
		return
	}
	reply(w, known)
}

func (h *Handler) putClass(w http.ResponseWriter, r *http.Request) {
	version, err := versionOf(r)
	if err != nil {
		problem(w, http.StatusBadRequest, err)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		problem(w, http.StatusBadRequest, errors.Wrap(err, "body"))
		return
	}
	c, err := class.Decode(body)
	if err != nil {
		problem(w, http.StatusUnprocessableEntity, err)
		return
	}
	if c.Name != r.PathValue("name") {
		problem(w, http.StatusUnprocessableEntity, errors.Errorf("name: %q is not the name in the path", c.Name))
		return
	}
	value, err := json.Marshal(c)
	if err != nil {
		problem(w, http.StatusInternalServerError, err)
		return
	}
	write := lovageyard.Write{Table: lovageyard.TableClasses, Key: c.Name, Value: value}
	accepted, err := h.store.write(r.Context(), write, version)
	h.answerWrite(w, VersionedClass{Version: accepted, Class: c}, err)
}

func (h *Handler) deleteClass(w http.ResponseWriter, r *http.Request) {
	version, err := versionOf(r)
	if err != nil {
		problem(w, http.StatusBadRequest, err)
		return
	}
	write := lovageyard.Write{Table: lovageyard.TableClasses, Key: r.PathValue("name"), Delete: true}
	accepted, err := h.store.write(r.Context(), write, version)
	h.answerWrite(w, Accepted{Version: accepted}, err)
}

// Accepted is the answer to a write that took effect.
type Accepted struct {
	Version int64 `json:"version"`
}

func versionOf(r *http.Request) (int64, error) {
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
		problem(w, http.StatusBadRequest, errors.Wrap(err, "order"))
		return
	}
	if !order.EmptyBy.IsZero() && order.EmptyBy.Before(h.timer.Now()) {
		problem(w, http.StatusUnprocessableEntity, errors.New("empty-by: the time has passed"))
		return
	}
	h.orderSite(w, r, lovageyard.SiteOrder{
		Site:      r.PathValue("name"),
		Draining:  true,
		EmptyBy:   order.EmptyBy,
		OrderedAt: h.timer.Now(),
	})
}

func (h *Handler) restore(w http.ResponseWriter, r *http.Request) {
	h.orderSite(w, r, lovageyard.SiteOrder{Site: r.PathValue("name"), OrderedAt: h.timer.Now()})
}

func (h *Handler) orderSite(w http.ResponseWriter, r *http.Request, order lovageyard.SiteOrder) {
	status, err := h.controller.Status(r.Context())
	if err != nil {
		problem(w, http.StatusServiceUnavailable, err)
		return
	}
	if !knowsSite(status, order.Site) {
		problem(w, http.StatusNotFound, errors.Errorf("site %q is not on the platform's list", order.Site))
		return
	}
	version, err := h.store.version(r.Context(), lovageyard.TableSites, order.Site)
	if err != nil {
		problem(w, http.StatusBadGateway, errors.Wrap(err, "the platform could not be read"))
		return
	}
	value, err := json.Marshal(order)
	if err != nil {
		problem(w, http.StatusInternalServerError, err)
		return
	}
	write := lovageyard.Write{Table: lovageyard.TableSites, Key: order.Site, Value: value}
	_, err = h.store.write(r.Context(), write, version)
	h.answerWrite(w, order, err)
}

func knowsSite(s Status, site string) bool {
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
		problem(w, http.StatusBadRequest, errors.New("client: not an IP address"))
		return
	}
	explanation, err := h.controller.Explain(r.Context(), r.URL.Query().Get("class"), client)
	if err != nil {
		problem(w, http.StatusServiceUnavailable, err)
		return
	}
	reply(w, explanation)
}

// answerWrite answers a write: accepted, lost to another operator, or of unknown outcome.
func (h *Handler) answerWrite(w http.ResponseWriter, accepted any, err error) {
	var conflict *lovageyard.ConflictError
	switch {
	case err == nil:
		h.controller.Poll()
		reply(w, accepted)
	case errors.As(err, &conflict):
		p := Problem{Error: conflict.Error(), Verdict: lovageyard.VerdictNotRun}
		if winner, err := classOf(conflict.Row); err == nil && conflict.Row.Table == lovageyard.TableClasses {
			p.Winner = &winner
		}
		write(w, http.StatusConflict, p)
	case errors.Is(err, lovageyard.ErrUnknownOutcome):
		write(w, http.StatusGatewayTimeout, Problem{Error: err.Error(), Verdict: lovageyard.VerdictMayHaveRun})
	default:
		problem(w, http.StatusBadGateway, err)
	}
}

func classOf(row lovageyard.Row) (VersionedClass, error) {
	known := VersionedClass{Version: row.Version}
	err := json.Unmarshal(row.Value, &known.Class)
	return known, errors.Wrap(err, "class "+row.Key)
}

func problem(w http.ResponseWriter, status int, err error) {
	write(w, status, Problem{Error: err.Error(), Verdict: lovageyard.VerdictNotRun})
}

func reply(w http.ResponseWriter, value any) {
	write(w, http.StatusOK, value)
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
