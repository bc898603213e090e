package waitqueue

import "tarragonhollow.example/tarragonhollow/core/splitmix"

// tree is an ordered set of entries that knows the position of each: a treap whose nodes
// count their descendants. Heaps would not give the last entry, which a full queue
// refuses, nor the number of entries ahead, from which the expected wait follows.
type tree[V any] struct {
	less func(a, b *Entry[V]) bool
	root *node[V]
}

type node[V any] struct {
	entry       *Entry[V]
	priority    uint64
	size        int
	left, right *node[V]
}

func (n *node[V]) count() int {
	if n == nil {
		return 0
	}
	return n.size
}

func (n *node[V]) updated() *node[V] {
	n.size = 1 + n.left.count() + n.right.count()
	return n
}

func (t *tree[V]) len() int { return t.root.count() }

// insert adds an entry. The priorities that balance the tree follow from the entries'
// sequence numbers, so that a run can be repeated.
func (t *tree[V]) insert(e *Entry[V]) {
	ahead, behind := t.split(t.root, e)
	n := &node[V]{entry: e, priority: splitmix.Mix(e.sequence), size: 1}
	t.root = merge(merge(ahead, n), behind)
}

// remove removes an entry of the tree.
func (t *tree[V]) remove(e *Entry[V]) { t.root = t.without(t.root, e) }

func (t *tree[V]) without(n *node[V], e *Entry[V]) *node[V] {
	switch {
	case n == nil:
		return nil
	case n.entry == e:
		return merge(n.left, n.right)
	case t.less(e, n.entry):
		n.left = t.without(n.left, e)
	default:
		n.right = t.without(n.right, e)
	}
	return n.updated()
}

// split divides a subtree into the entries before e and the others.
func (t *tree[V]) split(n *node[V], e *Entry[V]) (ahead, behind *node[V]) {
	if n == nil {
		return nil, nil
	}
	if t.less(n.entry, e) {
		n.right, behind = t.split(n.right, e)
		return n.updated(), behind
	}
	ahead, n.left = t.split(n.left, e)
	return ahead, n.updated()
}

// merge joins two subtrees; all entries of a precede those of b.
func merge[V any](a, b *node[V]) *node[V] {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = merge(a.right, b)
		return a.updated()
	default:
		b.left = merge(a, b.left)
		return b.updated()
	}
}

// ahead counts the entries before e.
func (t *tree[V]) ahead(e *Entry[V]) int {
	count := 0
	for n := t.root; n != nil; {
		if t.less(n.entry, e) {
			count += 1 + n.left.count()
			n = n.right
		} else {
			n = n.left
		}
	}
	return count
}

// first returns the first entry, nil for none.
func (t *tree[V]) first() *Entry[V] {
	n := t.root
	if n == nil {
		return nil
	}
	for n.left != nil {
		n = n.left
	}
	return n.entry
}

// last returns the last entry, nil for none.
func (t *tree[V]) last() *Entry[V] {
	n := t.root
	if n == nil {
		return nil
	}
	for n.right != nil {
		n = n.right
	}
	return n.entry
}

// walk visits the entries in order until visit returns false.
func (n *node[V]) walk(visit func(*Entry[V]) bool) bool {
	return n == nil || n.left.walk(visit) && visit(n.entry) && n.right.walk(visit)
}
