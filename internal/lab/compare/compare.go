// Package compare compares a metric of one load summary with the same metric
// of other summaries.
package compare

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Read returns the number at a path of keys such as "all.latency.p99_ms" in
// a JSON file.
func Read(file, metric string) (float64, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, errkind.Wrap(errkind.InvalidSettings, err, "read summary")
	}
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return 0, errkind.Wrap(errkind.InvalidSettings, err, "summary %s", file)
	}
	for key := range strings.SplitSeq(metric, ".") {
		object, _ := value.(map[string]any)
		value = object[key]
	}
	number, ok := value.(float64)
	if !ok {
		return 0, errkind.New(errkind.InvalidSettings, "summary %s has no number %s", file, metric)
	}
	return number, nil
}

// Ratio returns the metric in file divided by its greatest value in the base
// files.
func Ratio(metric, file string, bases []string) (ratio, value, base float64, err error) {
	if value, err = Read(file, metric); err != nil {
		return 0, 0, 0, err
	}
	for _, b := range bases {
		v, err := Read(b, metric)
		if err != nil {
			return 0, 0, 0, err
		}
		base = max(base, v)
	}
	if base <= 0 {
		return 0, 0, 0, errkind.New(errkind.InvalidSettings, "%s is not positive in any base", metric)
	}
	return value / base, value, base, nil
}

// Bound is the allowed range of a ratio. A limit of zero is not checked.
type Bound struct{ AtLeast, AtMost float64 }

// Check returns an error if the ratio is outside the bound.
func (b Bound) Check(ratio float64) error {
	if b.AtLeast > 0 && ratio < b.AtLeast {
		return fmt.Errorf("ratio %.3f is below the bound %.3f", ratio, b.AtLeast)
	}
	if b.AtMost > 0 && ratio > b.AtMost {
		return fmt.Errorf("ratio %.3f is above the bound %.3f", ratio, b.AtMost)
	}
	return nil
}
