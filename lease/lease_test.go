package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"

	"github.com/havenrudder/havenrudder/lease"
)

func ExampleLease() {
	var l lease.Lease
	l.AddProof(lease.FreshnessProof{ // of a version that is not in force yet
		Version:     7,
		ConfirmedAt: 3 * time.Second,
	})
	age, _ := l.Age(4 * time.Second)
	fmt.Println(age == lease.Never)
	l.SetVersion(7)
	age, version := l.Age(4 * time.Second)
	fmt.Println(age, version)
	// Output:
	// true
	// 1s 7
}

type publication struct {
	version int
	at      time.Duration
}

// Guards against a lease that confirms the policy in force for a time at which a newer one was
// published, for proofs and versions that arrive late or in any order.
func TestALeaseNeverReachesPastAVersionThatIsNotInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l lease.Lease
		var published []publication
		now, inForce := time.Duration(0), 0
		newest := func() int { return len(published) }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				now++
				published = append(published, publication{
					version: newest() + 1,
					at:      now,
				})
			},
			"prove": func(t *rapid.T) {
				if newest() == 0 {
					t.Skip("nothing published")
				}
				of := published[rapid.IntRange(0, newest()-1).Draw(t, "version")]
				until := now // the last time at which the version was the newest
				if of.version < newest() {
					until = published[of.version].at - 1
				}
				l.AddProof(lease.FreshnessProof{
					Version:     of.version,
					ConfirmedAt: time.Duration(rapid.Int64Range(int64(of.at), int64(max(of.at, until))).Draw(t, "moment")),
				})
			},
			"hold": func(t *rapid.T) {
				version := rapid.IntRange(0, newest()).Draw(t, "held")
				inForce = max(inForce, version)
				l.SetVersion(version)
			},
			"": func(t *rapid.T) {
				now++
				age, version := l.Age(now)
				if version != inForce {
					t.Fatalf("version %d, %d is in force", version, inForce)
				}
				if age == lease.Never {
					return
				}
				for _, p := range published {
					if p.version > inForce && p.at <= now-age {
						t.Fatalf("lease of version %d as of %d, version %d was published at %d", inForce, now-age, p.version, p.at)
					}
				}
			},
		})
	})
}

func TestALeaseKeepsTheLatestProofs(t *testing.T) {
	is := is.New(t)
	var l lease.Lease
	for version := range 20 {
		l.AddProof(lease.FreshnessProof{
			Version:     version + 1,
			ConfirmedAt: time.Duration(version + 1),
		})
	}
	l.SetVersion(20)
	age, _ := l.Age(30)
	is.Equal(age, time.Duration(10))
}
