// Package short gives names a form of four bytes, for datagrams in which each byte
// counts. Two of n names share one with a chance of n*n in nine billion.
package short

import "hash/fnv"

// Of returns the short form of a name.
func Of(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash takes everything
	return h.Sum32()
}
