package queue

// tree holds entries by key and then by arrival. It is a treap whose nodes are the entries,
// so that it allocates nothing; each node knows the number and the cost of its subtree.
type tree struct {
	root *Entry
}

func (t *tree) insert(e *Entry) {
	e.left, e.right = nil, nil
	t.root = insert(t.root, e)
}

func (t *tree) remove(e *Entry) {
	t.root = remove(t.root, e)
	e.left, e.right = nil, nil
}

func (t *tree) count() int { return countOf(t.root) }

func (t *tree) sum() work { return sumOf(t.root) }

// first returns the first entry, nil for none.
func (t *tree) first() *Entry {
	e := t.root
	for e != nil && e.left != nil {
		e = e.left
	}
	return e
}

// last returns the last entry, nil for none.
func (t *tree) last() *Entry {
	e := t.root
	for e != nil && e.right != nil {
		e = e.right
	}
	return e
}

// before returns the number and the cost of the entries before e, which need not be in the
// tree.
func (t *tree) before(e *Entry) (n int, cost work) {
	for node := t.root; node != nil; {
		if !before(node, e) {
			node = node.left
			continue
		}
		n += countOf(node.left) + 1
		cost += sumOf(node.left) + node.cost
		node = node.right
	}
	return n, cost
}

func before(a, b *Entry) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func countOf(e *Entry) int {
	if e == nil {
		return 0
	}
	return e.count
}

func sumOf(e *Entry) work {
	if e == nil {
		return 0
	}
	return e.sum
}

func (e *Entry) update() {
	e.count = countOf(e.left) + countOf(e.right) + 1
	e.sum = sumOf(e.left) + sumOf(e.right) + e.cost
}

func insert(node, e *Entry) *Entry {
	if node == nil || e.random > node.random {
		e.left, e.right = split(node, e)
		e.update()
		return e
	}
	if before(e, node) {
		node.left = insert(node.left, e)
	} else {
		node.right = insert(node.right, e)
	}
	node.update()
	return node
}

func remove(node, e *Entry) *Entry {
	if node == e {
		return merge(node.left, node.right)
	}
	if before(e, node) {
		node.left = remove(node.left, e)
	} else {
		node.right = remove(node.right, e)
	}
	node.update()
	return node
}

// split divides a tree into the entries before e and the others.
func split(node, e *Entry) (first, second *Entry) {
	if node == nil {
		return nil, nil
	}
	if before(node, e) {
		node.right, second = split(node.right, e)
		first = node
	} else {
		first, node.left = split(node.left, e)
		second = node
	}
	node.update()
	return first, second
}

// merge joins two trees, of which the first has the earlier entries.
func merge(first, second *Entry) *Entry {
	if first == nil {
		return second
	}
	if second == nil {
		return first
	}
	if first.random > second.random {
		first.right = merge(first.right, second)
		first.update()
		return first
	}
	second.left = merge(first, second.left)
	second.update()
	return second
}
