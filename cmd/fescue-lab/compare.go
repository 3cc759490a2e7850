package main

import (
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/fescuejunction/fescuejunction/internal/lab/compare"
)

func compareCommand() command {
	var metric, value string
	var bases []string
	var bound compare.Bound
	sub := flaggy.NewSubcommand("compare")
	sub.Description = "Compute the ratio of a metric in one load summary to its greatest value in others."
	sub.String(&metric, "m", "metric", "metric as a path of keys, such as all.latency.p99_ms")
	sub.StringSlice(&bases, "b", "base", "summary to compare with; repeatable")
	sub.String(&value, "v", "value", "summary to compare")
	sub.Float64(&bound.AtLeast, "", "at-least", "smallest allowed ratio")
	sub.Float64(&bound.AtMost, "", "at-most", "greatest allowed ratio")
	return command{parser: sub, run: func() error {
		ratio, v, base, err := compare.Ratio(metric, value, bases)
		if err != nil {
			return err
		}
		fmt.Printf("%s: %.3f / %.3f = %.3f\n", metric, v, base, ratio)
		return bound.Check(ratio)
	}}
}
