package document

import "testing"

// Guards against a document that causes a panic in the parser or the validation,
// and against a problem that does not name the file and the line.
func FuzzParseValidate(f *testing.F) {
	f.Add([]byte("team: platform\nregions: [{name: n, data_centres: [n1, n2]}]\nlinks: [{from: n, to: n, bytes_per_second: 1}]\n"))
	f.Add([]byte("team: kerala\nservices: [{name: rota, data_centres: [n1], slots_per_target: 2, routes: [{path: /, once: true}]}]\nshifts: [{name: s, cap: 1}]\n"))
	f.Add([]byte("team: kerala\nteam: x\nservices: [null]\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Add([]byte("team: [1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		src, problems := Parse("kerala", data)
		if (src == nil) != (len(problems) > 0) {
			t.Fatalf("source %v with problems %v", src, problems)
		}
		if src != nil {
			problems = Validate([]*Source{src})
		}
		for _, p := range problems {
			if p.File != "kerala" || p.Line < 1 || p.Message == "" {
				t.Errorf("problem without a file, line or message: %+v", p)
			}
		}
		if src != nil {
			for _, s := range src.Section.Services {
				s.WithDefaults()
			}
		}
	})
}
