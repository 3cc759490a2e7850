package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	readBackServices = 8
	usualColdStart   = 3.0
	otherColdStart   = 4.1
)

// readBackConfig is the part of a configuration that is compared.
type readBackConfig struct {
	Version   int `json:"version"`
	Resources []struct {
		Kind     string `json:"resourceKind"`
		Metadata struct {
			Name string `json:"name"`
		} `json:"metadata"`
		Spec struct {
			ColdStartS float64 `json:"coldStartS"`
		} `json:"spec"`
	} `json:"resources"`
}

// runReadBack sends a configuration and reads it back at each control machine.
func runReadBack(w *world) (bool, error) {
	if err := w.startAll(6, 1); err != nil {
		return false, err
	}
	coldStart := usualColdStart
	if w.trouble {
		coldStart = otherColdStart
	}
	op := newOperator(w)
	resources := append(baseRoutes(4, 2000), serviceResource(service), limitsResource())
	sent := map[string]float64{service: usualColdStart}
	for i := range readBackServices {
		name := fmt.Sprintf("service-%d", i)
		sent[name] = coldStart + float64(i)
		s := serviceResource(name).(map[string]any)
		s["spec"].(map[string]any)["coldStartS"] = sent[name]
		resources = append(resources, s)
	}
	if err := op.put(resources, 20*time.Second); err != nil {
		return false, err
	}
	w.log("version %d was acknowledged; coldStartS as sent: %v", op.version, sent)
	time.Sleep(configApply)
	different := 0
	for _, m := range w.cores {
		status, data, err := op.once(m, http.MethodGet, "/fescuejunction/Config.Get", "", nil)
		if err != nil || status != http.StatusOK {
			w.log("%s: status %d, error %v", m.name, status, err)
			continue
		}
		var got readBackConfig
		if err := json.Unmarshal(data, &got); err != nil {
			return false, err
		}
		for _, r := range got.Resources {
			if r.Kind != "services" {
				continue
			}
			if want := sent[r.Metadata.Name]; got.Version == op.version && r.Spec.ColdStartS != want {
				different++
				w.log("%s: version %d, service %s has coldStartS %v, %v was sent", m.name, got.Version, r.Metadata.Name, r.Spec.ColdStartS, want)
			}
		}
	}
	w.log("values that were read back under the same version and differ: %d", different)
	return different > 0, nil
}
