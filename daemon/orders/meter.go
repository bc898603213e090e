package orders

import "github.com/VictoriaMetrics/metrics"

// meter counts orders by their result.
type meter struct {
	accepted, failed, notSent, outlived *metrics.Counter
}

func newMeter(set *metrics.Set) *meter {
	count := func(result string) *metrics.Counter {
		return set.GetOrCreateCounter(`tarragonhollow_orders_total{result="` + result + `"}`)
	}
	return &meter{
		accepted: count("accepted"),
		failed:   count("failed"),
		notSent:  count("not_sent"),
		outlived: set.GetOrCreateCounter("tarragonhollow_orders_outlived_tenure_total"),
	}
}
