package caller

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"

	metrics "github.com/rcrowley/go-metrics"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/route"
)

// LookUp is the response body of a look-up.
type LookUp struct {
	Class   string `json:"class"`
	Version int64  `json:"version"`
	// KeepForMs is how long the response may be cached, in milliseconds.
	KeepForMs int64            `json:"keep-for-ms"`
	Instances []LookUpInstance `json:"instances"`
}

// LookUpInstance is one entry instance in a LookUp; instances are in order of preference.
type LookUpInstance struct {
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
}

func (h *Handler) lookUp(w http.ResponseWriter, r *http.Request, s *route.Snapshot) {
	metrics.GetOrRegisterCounter("look-ups", h.metrics).Inc(1)
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		fail(w, http.StatusMethodNotAllowed, lovageyard.NotRun("look-ups use GET", nil), 0)
		return
	}
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		fail(w, http.StatusBadRequest, lovageyard.NotRun("the query is malformed", nil), 0)
		return
	}
	name := query.Get("class")
	if name == "" {
		fail(w, http.StatusBadRequest, lovageyard.NotRun("class: a value is needed", nil), 0)
		return
	}
	if s.Classes.ByName(name) == nil {
		fail(w, http.StatusNotFound, lovageyard.NotRun("class: no class of that name", nil), 0)
		return
	}
	client := remoteAddr(r)
	if text := query.Get("client"); text != "" {
		client, err = netip.ParseAddr(text)
		if err != nil || client.Zone() != "" {
			fail(w, http.StatusBadRequest, lovageyard.NotRun("client: not an IP address", nil), 0)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answerTo(name, client, s))
}

func answerTo(name string, client netip.Addr, s *route.Snapshot) LookUp {
	ranking := s.LookUp(client)
	answer := LookUp{
		Class:     name,
		Version:   s.Version,
		KeepForMs: s.LookUpTTL.Milliseconds(),
		Instances: make([]LookUpInstance, 0, ranking.Count),
	}
	for _, position := range ranking.Positions[:ranking.Count] {
		i := s.Directory.Instance(position)
		answer.Instances = append(answer.Instances, LookUpInstance{
			Instance:      i.Name,
			Address:       i.CallerAddress,
			FailureDomain: i.FailureDomain,
		})
	}
	return answer
}
