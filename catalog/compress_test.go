package catalog_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// transfer encodes and decodes an update, and returns its encoded size.
func transfer(t testing.TB, news catalog.ChangeSet) (got catalog.ChangeSet, bytes int) {
	t.Helper()
	is := is.New(t)
	p, err := news.Encode()
	is.NoErr(err)
	data, err := json.Marshal(p)
	is.NoErr(err)
	var out catalog.EncodedChangeSet
	is.NoErr(json.Unmarshal(data, &out))
	got, err = out.Decode()
	is.NoErr(err)
	return got, len(data)
}

func TestLargeUpdatesAreCompressed(t *testing.T) {
	is := is.New(t)
	for _, replicas := range []int{0, 10, 4000} {
		news := catalog.ChangeSet{
			Snapshot: &catalog.Snapshot{
				Revision:  7,
				Replicas:  []catalog.Replica{},
				Evacuated: []string{"hall"},
			},
			PolicyVersion: 3,
			Revision:      7,
		}
		for n := range replicas {
			r := plainReplica(fmt.Sprintf("i-%08x", n*2654435761), 0)
			r.Addr = fmt.Sprintf("10.%d.64.%d:8308", n%28, n/28)
			news.Snapshot.Replicas = append(news.Snapshot.Replicas, r)
		}
		got, bytes := transfer(t, news)
		is.Equal(got, news)
		is.True(bytes < 400+30*replicas || replicas < 100)
	}
	_, err := catalog.EncodedChangeSet{
		Compressed: []byte("nothing"),
	}.Decode()
	is.True(err != nil)
}

// Guards against a short message that takes any amount of memory once it is decompressed.
func TestADecompressedMessageIsBound(t *testing.T) {
	is := is.New(t)
	const most = 8 << 20
	for _, bytes := range []int{most / 2, most + 1} {
		news := catalog.ChangeSet{
			Snapshot: &catalog.Snapshot{},
		}
		for n := range 100 { // enough to be compressed
			r := plainReplica(fmt.Sprintf("i-%d", n), 0)
			r.Addr = strings.Repeat("x", bytes/100)
			news.Snapshot.Replicas = append(news.Snapshot.Replicas, r)
		}
		encoded, err := news.Encode()
		is.NoErr(err)
		is.True(len(encoded.Compressed) > 0 && len(encoded.Compressed) < bytes/100)
		_, err = encoded.Decode()
		is.Equal(err == nil, bytes < most)
	}
}

const longestName = 200 // bytes of a published name at most

func TestFourThousandReplicasWithTheLongestNamesReachFollowers(t *testing.T) {
	for _, sign := range []string{"x", "<", "&", `"`, `\`, "\u2028"} {
		t.Run(sign, func(t *testing.T) {
			is := is.New(t)
			name := strings.Repeat(sign, longestName/len(sign))
			var all catalog.Snapshot
			for n := range 4000 {
				all.Replicas = append(all.Replicas, catalog.Replica{
					ID:      fmt.Sprint(n, strings.Repeat("<", 40)),
					Service: name,
					Build:   name,
					Addr:    "127.0.0.1:1",
					Domain:  "hall",
					Region:  "north",
				})
			}
			got, _ := transfer(t, catalog.ChangeSet{
				Snapshot: &all,
			})
			is.Equal(len(got.Snapshot.Replicas), len(all.Replicas))
			is.Equal(got.Snapshot.Replicas[0], all.Replicas[0])
		})
	}
}
