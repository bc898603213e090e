package membership

import "tarragonhollow.example/tarragonhollow/core/splitmix"

// shuffle puts the names into a random order.
func shuffle(random *splitmix.Generator, names []string) {
	for i := len(names) - 1; i > 0; i-- {
		j := random.Below(i + 1)
		names[i], names[j] = names[j], names[i]
	}
}
