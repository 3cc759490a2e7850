package dispatch

import (
	"testing"
	"time"
)

// Guards against a dispatcher that starts again and spreads the objects over all targets:
// it took runs with objects that the targets still cached for runs without, found that
// objects make no difference, and requests ran four times as long for seconds.
func TestRestartedDispatcherLearnsWhatObjectsSave(t *testing.T) {
	const restart = 20
	for _, perSecond := range []float64{300, 450, 600} {
		for seed := range uint64(4) {
			o := steadyAtKerala(perSecond)
			o.seed, o.overrun, o.restartAt = seed+1, Overran, restart*time.Second
			seconds := o.run(34 * time.Second)
			before := share(seconds, 10, restart)
			for from := restart + 3; from+2 <= 33; from++ {
				if got := share(seconds, from, from+2); got < before-0.1 {
					t.Errorf("%.0f requests a second, seed %d: %.2f are in time %d s after the restart, %.2f before it", perSecond, seed, got, from-restart, before)
				}
			}
		}
	}
}
