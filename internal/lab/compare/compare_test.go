package compare

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a comparison that passes although the ratio is outside the
// bound or a file lacks the metric.
func TestRatioAndBound(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a, b := file("a", `{"all":{"goodput":80}}`), file("b", `{"all":{"goodput":100}}`)
	v := file("v", `{"all":{"goodput":90}}`)
	ratio, _, _, err := Ratio("all.goodput", v, []string{a, b})
	if err != nil || ratio != 0.9 {
		t.Fatalf("ratio %v, %v; want 0.9 of the greatest base", ratio, err)
	}
	if (Bound{AtLeast: 0.95}).Check(ratio) == nil || (Bound{AtMost: 0.8}).Check(ratio) == nil || (Bound{AtLeast: 0.9, AtMost: 0.9}).Check(ratio) != nil {
		t.Error("bounds are not kept")
	}
	if _, _, _, err := Ratio("all.nosuch", v, []string{a}); err == nil {
		t.Error("a missing figure passed")
	}
}
