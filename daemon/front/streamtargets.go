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

// SeenVersions implements streams.SeenTargets. A group to or from which streams may have moved has had
// an unknown version.
func (t streamTargets) SeenVersions() (seen []streamversion.Seen, loadedAt time.Time, ok bool) {
	seen, loadedAt, ok = t.places.SeenVersions()
	for group, at := range t.configuration.Moved(time.Now().Add(-streamversion.Memory)) {
		seen = append(seen, streamversion.Seen{Group: group, Last: at, Observed: true})
	}
	return seen, loadedAt, ok
}

// RestoreVersions implements streams.SeenTargets.
func (t streamTargets) RestoreVersions(loadedAt, since time.Time, seen []streamversion.Seen) bool {
	return t.places.RestoreVersions(loadedAt, since, seen)
}
