package view

import "testing"

// keralaView has the size of grown Kerala with 1,400 more routes.
func keralaView() *View { return viewOf(100, 200, 1408) }

func BenchmarkKeralaPageOfSmallChange(b *testing.B) {
	v := keralaView()
	for b.Loop() {
		v.Page(At(7000), 32<<10)
	}
}

func BenchmarkKeralaSinceOfSmallChange(b *testing.B) {
	v := keralaView()
	for b.Loop() {
		v.Since(7000)
	}
}

func BenchmarkKeralaWholePage(b *testing.B) {
	v := keralaView()
	for b.Loop() {
		v.Page(Position{}, 1<<40)
	}
}

func BenchmarkKeralaWholeSince(b *testing.B) {
	v := keralaView()
	for b.Loop() {
		v.Since(0)
	}
}
