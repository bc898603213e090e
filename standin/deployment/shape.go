// Package deployment runs the stand-ins of a whole deployment in one process, on free
// loopback ports: the platform's log, host list and weight store, the model engines
// and the plain services, each with its own listener. The try command, the load tool
// and tests use it.
package deployment

import (
	"fmt"
	"strings"

	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/standin/service"
)

// Names of the known deployments, which are those of the first users.
const (
	DaNang   = "da-nang"
	Isarwerk = "isarwerk"
)

// Shape describes a deployment: its targets, profiles and zones.
type Shape struct {
	// Name is the deployment's name.
	Name string
	// Zones are its availability zones.
	Zones []string
	// Model is the model that the engines serve; Engines is the number of engines.
	Model   string
	Engines int
	// Service names the plain service; Services is the number of its targets.
	Service  string
	Services int
	// ChatProfile is repeatable and online, ActionProfile non-repeatable and
	// online, BatchProfile repeatable and batch.
	ChatProfile, ActionProfile, BatchProfile string
	// ActionPath is the path of the service's non-repeatable call.
	ActionPath string
	// ExamplePrompt is the text of an example chat request, ExampleAction the JSON
	// body of an example non-repeatable call.
	ExamplePrompt, ExampleAction string
	// Due is the batch profile's due time, as written in the configuration.
	Due string
	// BatchWeight trades online tail latency (0) against batch throughput (1).
	BatchWeight float64
	// EngineOptions and ServiceOptions are the stand-ins' options.
	EngineOptions  engine.Options
	ServiceOptions service.Options
}

// Names lists the known deployments.
func Names() []string { return []string{DaNang, Isarwerk} }

// ShapeOf returns the shape of a known deployment.
func ShapeOf(name string) (Shape, error) {
	switch name {
	case DaNang:
		return daNang(), nil
	case Isarwerk:
		return isarwerk(), nil
	}
	return Shape{}, fmt.Errorf("unknown deployment %q; allowed: %s", name, strings.Join(Names(), ", "))
}

func daNang() Shape {
	s := Shape{
		Name:          DaNang,
		Zones:         []string{"hai-chau", "son-tra", "ngu-hanh", "lien-chieu"},
		Model:         "ordering",
		Engines:       10,
		Service:       "kitchen-tickets",
		Services:      4,
		ChatProfile:   "room-chat",
		ActionProfile: "place-order",
		BatchProfile:  "prep-sheets",
		ActionPath:    "/orders",
		ExamplePrompt: "Is there pho today?",
		ExampleAction: `{"room":12,"dish":"pho"}`,
		Due:           "6h",
		BatchWeight:   0,
	}
	return s.withStandins()
}

func isarwerk() Shape {
	s := Shape{
		Name:          Isarwerk,
		Zones:         []string{"garching-a", "garching-b", "freising-1", "muc-ost"},
		Model:         "drawing-reader",
		Engines:       20,
		Service:       "register-lookup",
		Services:      4,
		ChatProfile:   "sheet-lookup",
		ActionProfile: "stamp-revision",
		BatchProfile:  "bundle-index",
		ActionPath:    "/revisions",
		ExamplePrompt: "Which revision of sheet A-101 is current?",
		ExampleAction: `{"sheet":"A-101","revision":"C"}`,
		Due:           "8h",
		BatchWeight:   0.6,
	}
	return s.withStandins()
}

func (s Shape) withStandins() Shape {
	s.EngineOptions = engine.DefaultOptions()
	s.EngineOptions.Model = s.Model
	s.EngineOptions.Version = "1"
	s.ServiceOptions = service.DefaultOptions()
	s.ServiceOptions.Name = s.Service
	return s
}

// ConfigText returns the operators' configuration file for the given targets. The
// addresses of each list are assigned to the zones round-robin.
func (s Shape) ConfigText(engines, services []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[profile %s]\nurgency = online\nrepeatable = true\ndeadline = 30s\nretries = 2\nslo_availability = 0.995\nslo_first_token = 850ms\nslo_between_tokens = 51ms\nslo_latency_share = 0.95\n\n", s.ChatProfile)
	fmt.Fprintf(&b, "[profile %s]\nurgency = online\nrepeatable = false\ndeadline = 10s\nretries = 2\nslo_availability = 0.995\n\n", s.ActionProfile)
	fmt.Fprintf(&b, "[profile %s]\nurgency = batch\nrepeatable = true\ndeadline = 60s\nretries = 3\ndue = %s\nbatch_weight = %g\nslo_due_share = 0.99\n\n", s.BatchProfile, s.Due, s.BatchWeight)
	fmt.Fprintf(&b, "[target-group %s]\nkind = engine\nmodel = %s\nslots = %d\naddresses = %s\n\n", s.Model, s.Model, s.EngineOptions.Slots, s.addressList(engines))
	fmt.Fprintf(&b, "[target-group %s]\nkind = service\nslots = 32\naddresses = %s\n", s.Service, s.addressList(services))
	return b.String()
}

// addressList formats the addresses as a comma-separated list of ADDRESS@ZONE.
func (s Shape) addressList(addresses []string) string {
	list := make([]string, len(addresses))
	for i, address := range addresses {
		list[i] = address + "@" + s.Zone(i)
	}
	return strings.Join(list, ", ")
}

// Zone returns the availability zone of the i-th host. Zones are assigned round-robin.
func (s Shape) Zone(i int) string { return s.Zones[i%len(s.Zones)] }
