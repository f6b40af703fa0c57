package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/wire"
)

// The shape of the tree. A change of one organisation costs a head, the root, one
// branch and one leaf. With 600 organisations a leaf holds two or three; a box
// fetched 2,850 bytes a change with 8 branches of 8 leaves, and fetches 1,340 so.
const (
	branches        = 16  // branches of organisations below the root
	leavesPerBranch = 16  // leaves below a branch
	maxNodes        = 300 // more than a whole tree has; bounds what a reader fetches
)

// hashBytes is how much of a SHA-256 names a node. Whoever could make a second
// node of the same name would need 2^128 tries; the signer alone could make two at
// once, and is trusted with more than that.
const hashBytes = 16

// Hash names a node by its content.
type Hash string

// HashOf returns the hash of a node's bytes.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(base64.RawURLEncoding.EncodeToString(sum[:hashBytes]))
}

// node is one node of the tree: either kids or a part of the bundle.
type node struct {
	Kids          []Hash              `json:"kids,omitempty"`
	Regions       []wire.Region       `json:"regions,omitempty"`
	Services      []wire.Service      `json:"services,omitempty"`
	Priorities    []wire.Priority     `json:"priorities,omitempty"`
	Organisations []wire.Organisation `json:"organisations,omitempty"`
}

// Node is one node as it travels and as it reads. It never changes.
type Node struct {
	data []byte
	node node
}

// Data returns the bytes of the node.
func (n Node) Data() []byte { return n.data }

// Nodes holds nodes by their hash.
type Nodes map[Hash]Node

func (n Nodes) add(v node) (Hash, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return "", errors.Wrap(err, "bundle: node")
	}
	h := HashOf(data)
	n[h] = Node{
		data: data,
		node: v,
	}
	return h, nil
}

// Pack returns all nodes as one value, for a box that has none of them: it reads
// that once in place of each node.
func (n Nodes) Pack() ([]byte, error) {
	list := make([]string, 0, len(n))
	for _, h := range slices.Sorted(maps.Keys(n)) {
		list = append(list, string(n[h].data))
	}
	data, err := json.Marshal(list)
	return data, errors.Wrap(err, "bundle: pack")
}

// Unpack returns the bytes of the nodes of a value that Pack made, by their hash.
// What is not a node of the bundle at hand is never asked for.
func Unpack(data []byte) (map[Hash][]byte, error) {
	var list []string
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "bundle: unpack")
	}
	return ByHash(list), nil
}

// ByHash returns the bytes of nodes by their hash.
func ByHash(list []string) map[Hash][]byte {
	out := make(map[Hash][]byte, len(list))
	for _, data := range list {
		out[HashOf([]byte(data))] = []byte(data)
	}
	return out
}

// Split returns the tree of b, by content, and the hash of its root. The
// version stands in the head alone, so that unchanged parts keep their hash.
func Split(b wire.Bundle) (Hash, Nodes, error) {
	nodes := make(Nodes)
	base, err := nodes.add(node{
		Regions:    b.Regions,
		Services:   b.Services,
		Priorities: b.Priorities,
	})
	if err != nil {
		return "", nil, err
	}
	root := node{
		Kids: []Hash{base},
	}
	parts := partition(b.Organisations)
	for i := 0; i < branches; i++ {
		h, err := nodes.addBranch(parts[i*leavesPerBranch : (i+1)*leavesPerBranch])
		if err != nil {
			return "", nil, err
		}
		root.Kids = append(root.Kids, h)
	}
	h, err := nodes.add(root)
	return h, nodes, err
}

func (n Nodes) addBranch(parts [][]wire.Organisation) (Hash, error) {
	var branch node
	for _, part := range parts {
		h, err := n.add(node{
			Organisations: part,
		})
		if err != nil {
			return "", err
		}
		branch.Kids = append(branch.Kids, h)
	}
	return n.add(branch)
}

func partition(orgs []wire.Organisation) [][]wire.Organisation {
	parts := make([][]wire.Organisation, branches*leavesPerBranch)
	for _, org := range orgs {
		i := xxhash.Sum64String(org.Name) % uint64(len(parts))
		parts[i] = append(parts[i], org)
	}
	for _, part := range parts {
		slices.SortFunc(part, func(a, b wire.Organisation) int { return cmp.Compare(a.Name, b.Name) })
	}
	return parts
}

// Fetch returns the bytes of a node; the caller of Join checks them.
type Fetch func(h Hash) ([]byte, error)

// Join returns the bundle below root and the nodes it is made of. Nodes that are
// held already are neither fetched nor read again. Bytes that don't match their
// hash are refused.
func Join(version int, root Hash, held Nodes, fetch Fetch) (wire.Bundle, Nodes, error) {
	j := joiner{
		held:  held,
		fetch: fetch,
		nodes: make(Nodes),
	}
	j.bundle.Version = version
	if err := j.walk(root); err != nil {
		return wire.Bundle{}, nil, err
	}
	slices.SortFunc(j.bundle.Organisations, func(a, b wire.Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return j.bundle, j.nodes, nil
}

type joiner struct {
	held   Nodes
	fetch  Fetch
	nodes  Nodes
	bundle wire.Bundle
}

func (j *joiner) walk(h Hash) error {
	if _, ok := j.nodes[h]; ok {
		return nil // an empty leaf stands in many places
	}
	if len(j.nodes) >= maxNodes {
		return errors.New("bundle: too many nodes")
	}
	n, err := j.read(h)
	if err != nil {
		return errors.Wrapf(err, "bundle: node %s", h)
	}
	j.nodes[h] = n
	j.add(n.node)
	for _, kid := range n.node.Kids {
		if err := j.walk(kid); err != nil {
			return err
		}
	}
	return nil
}

func (j *joiner) read(h Hash) (Node, error) {
	if n, ok := j.held[h]; ok {
		return n, nil
	}
	data, err := j.fetch(h)
	if err != nil {
		return Node{}, err
	}
	if HashOf(data) != h {
		return Node{}, errors.New("bytes of another hash")
	}
	n := Node{
		data: data,
	}
	return n, json.Unmarshal(data, &n.node)
}

func (j *joiner) add(n node) {
	j.bundle.Regions = append(j.bundle.Regions, n.Regions...)
	j.bundle.Services = append(j.bundle.Services, n.Services...)
	j.bundle.Priorities = append(j.bundle.Priorities, n.Priorities...)
	j.bundle.Organisations = append(j.bundle.Organisations, n.Organisations...)
}
