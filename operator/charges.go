package operator

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/charge"
)

// Settlement is the body of the request to settle a charge of unknown outcome. Operator is the
// name of the operator who decided whether the charge ran.
type Settlement struct {
	Ran      bool   `json:"ran"`
	Operator string `json:"operator"`
}

func (h *Handler) listCharges(w http.ResponseWriter, r *http.Request) {
	state := charge.State(r.URL.Query().Get("state"))
	switch state {
	case "", charge.Claimed, charge.Recorded, charge.Released, charge.Unknown:
	default:
		writeProblem(w, http.StatusBadRequest, errors.Errorf("state: %q is not claimed, recorded, released or unknown", state))
		return
	}
	claims, err := charge.List(r.Context(), h.store.table, state, h.timer.Now())
	if err != nil {
		writeProblem(w, http.StatusBadGateway, errors.Wrap(err, "the platform could not be read"))
		return
	}
	writeOK(w, claims)
}

func (h *Handler) showCharge(w http.ResponseWriter, r *http.Request) {
	claim, _, ok := h.readCharge(w, r)
	if ok {
		claim.State = claim.StateAt(h.timer.Now())
		writeOK(w, claim)
	}
}

func (h *Handler) readCharge(w http.ResponseWriter, r *http.Request) (c charge.Claim, version int64, ok bool) {
	key := charge.RowKey(r.PathValue("class"), r.PathValue("key"))
	c, version, err := charge.Get(r.Context(), h.store.table, key)
	if errors.Is(err, lovageyard.ErrNotFound) {
		writeProblem(w, http.StatusNotFound, errors.Errorf("charge %q does not exist", key))
		return c, 0, false
	}
	if err != nil {
		writeProblem(w, http.StatusBadGateway, errors.Wrap(err, "the platform could not be read"))
		return c, 0, false
	}
	return c, version, true
}

func (h *Handler) settleCharge(w http.ResponseWriter, r *http.Request) {
	var settlement Settlement
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settlement); err != nil || settlement.Operator == "" {
		writeProblem(w, http.StatusBadRequest, errors.New("settlement: ran, and the operator's name, are needed"))
		return
	}
	claim, version, ok := h.readCharge(w, r)
	if !ok {
		return
	}
	settled, err := charge.Settle(claim, settlement.Ran, settlement.Operator, h.timer.Now())
	if err != nil {
		writeProblem(w, http.StatusConflict, err)
		return
	}
	value, err := json.Marshal(settled)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, err)
		return
	}
	row := lovageyard.Write{Table: lovageyard.TableClaims, Key: charge.RowKey(claim.Class, claim.Key), Value: value}
	_, err = h.store.write(r.Context(), row, version)
	h.respondToWrite(w, settled, err)
}
