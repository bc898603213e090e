package waitqueue

// expiries is a heap of entries, ordered by the time at which they expire; see
// container/heap.
type expiries[V any] []*Entry[V]

func (x expiries[V]) Len() int           { return len(x) }
func (x expiries[V]) Less(i, j int) bool { return x[i].expires.Before(x[j].expires) }

func (x expiries[V]) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].position, x[j].position = i, j
}

// Push implements heap.Interface.
func (x *expiries[V]) Push(e any) {
	entry := e.(*Entry[V])
	entry.position = len(*x)
	*x = append(*x, entry)
}

// Pop implements heap.Interface.
func (x *expiries[V]) Pop() any {
	old := *x
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*x = old[:len(old)-1]
	return last
}
