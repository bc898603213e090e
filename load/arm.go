package load

import (
	"fmt"
	"strings"
)

// Setting is a key and value that an arm sets in the operators' configuration.
type Setting struct {
	Key, Value string
}

// weightKey is a key of the batch profile; all other keys are set in the engine groups.
const weightKey = "batch_weight"

// Kinds of arms, as written in --arm.
const (
	kindOnline = "online"
	kindBatch  = "batch"
	kindBoth   = "both"
	kindDirect = "direct"
)

// ParseArm parses NAME:KEY=VALUE,KEY=VALUE. The keys kind (online, batch, both, direct)
// and base (the arm whose online tail latency is the reference) describe the arm; every
// other key is a setting that is published before the arm's rounds.
func ParseArm(text string) (Arm, error) {
	name, rest, _ := strings.Cut(text, ":")
	if name == "" {
		return Arm{}, fmt.Errorf("arm %q has no name", text)
	}
	arm := Arm{Name: name, Online: true, Batch: true}
	for _, part := range strings.Split(rest, ",") {
		key, value, found := strings.Cut(part, "=")
		if part == "" {
			continue
		}
		if !found {
			return Arm{}, fmt.Errorf("arm %s: %q is not KEY=VALUE", name, part)
		}
		if err := arm.set(key, value); err != nil {
			return Arm{}, err
		}
	}
	return arm, nil
}

func (a *Arm) set(key, value string) error {
	switch key {
	case "base":
		a.Base = value
	case "kind":
		a.Online = value == kindOnline || value == kindBoth || value == kindDirect
		a.Batch = value == kindBatch || value == kindBoth
		a.Direct = value == kindDirect
		if !a.Online && !a.Batch {
			return fmt.Errorf("arm %s: kind %q; allowed: %s, %s, %s, %s", a.Name, value, kindOnline, kindBatch, kindBoth, kindDirect)
		}
	default:
		a.Settings = append(a.Settings, Setting{key, value})
	}
	return nil
}

// withSettings returns the configuration text with the settings applied: the batch weight
// in the section of the batch profile, all others in the section of every engine group.
func withSettings(text, profile string, settings []Setting) string {
	for _, s := range settings {
		text = withSetting(text, profile, s)
	}
	return text
}

func withSetting(text, profile string, s Setting) string {
	var out []string
	var section []string
	flush := func() {
		if keyAppliesTo(section, profile, s.Key) {
			section = replaceKey(section, s)
		}
		out = append(out, section...)
		section = nil
	}
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "[") {
			flush()
		}
		section = append(section, line)
	}
	flush()
	return strings.Join(out, "\n")
}

// keyAppliesTo reports whether the key is set in the section.
func keyAppliesTo(section []string, profile, key string) bool {
	if len(section) == 0 {
		return false
	}
	if key == weightKey {
		return section[0] == "[profile "+profile+"]"
	}
	if !strings.HasPrefix(section[0], "[target-group ") {
		return false
	}
	for _, line := range section {
		if keyOf(line) == "kind" && strings.HasSuffix(strings.TrimSpace(line), "engine") {
			return true
		}
	}
	return false
}

// replaceKey removes the setting's key from the section and adds the setting right below
// the section's header.
func replaceKey(section []string, s Setting) []string {
	out := []string{section[0], s.Key + " = " + s.Value}
	for _, line := range section[1:] {
		if keyOf(line) != s.Key {
			out = append(out, line)
		}
	}
	return out
}

func keyOf(line string) string {
	key, _, _ := strings.Cut(line, "=")
	return strings.TrimSpace(key)
}
