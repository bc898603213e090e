package front

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/streamversion"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// streamTargets is what is known of the versions of targets, for streams.
type streamTargets struct {
	places        *places.Places
	configuration *Configuration
}

// Versions implements streams.Targets. Where streams may have moved between groups, one that
// is resumed may have begun at another group, and so at a version that this one never had.
func (t streamTargets) Versions(group string) places.GroupVersions {
	v := t.places.Versions(group)
	v.Several = v.Several || t.configuration.MovedSince(group, time.Now().Add(-streamversion.Memory))
	return v
}
