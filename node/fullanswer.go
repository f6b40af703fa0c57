package node

import (
	"encoding/base64"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	fullRate  = 1_000_000              // bytes of whole catalogs, in base64, that a box sends a second: half of a link of 20 Mbit/s
	fullBurst = 400_000                // of these at once: three catalogs of 6,000 replicas
	fullFor   = 500 * time.Millisecond // for which one that was encoded is told again: what has changed since is asked for next
)

// fullAnswers is the catalog as it was told last to a box that knew nothing, encoded.
type fullAnswers struct {
	mu      sync.Mutex
	encoded catalog.EncodedNews
	lapses  int           // that the box had told of by then
	read    int64         // when the publisher was read with nothing newer, in nanoseconds since the start
	at      time.Duration // when it was; 0 for never
	bucket  *byteBucket
}

func newFullAnswers() *fullAnswers {
	return &fullAnswers{
		bucket: newByteBucket(fullRate, fullBurst),
	}
}

// giveCatalog answers another box's question for what changed after a revision.
func (n *Node) giveCatalog(after int64) (catalog.EncodedNews, error) {
	var news catalog.News
	all := false
	read := n.lastRead.Load() // before what is told, which is at least as new
	err := n.state.Do(func(s *state) {
		if all = s.content.TellsAll(after); !all {
			news = s.content.Since(after)
		}
	})
	switch {
	case err != nil:
		return catalog.EncodedNews{}, err
	case all:
		return n.giveAll(after)
	}
	out, err := news.Encode()
	out.Read = n.readingAge(read)
	return out, err
}

// readingAge returns the age of a reading as another box is told it; 0 for one that is of no
// use to it.
func (n *Node) readingAge(read int64) catalog.Millis {
	age := n.now() - time.Duration(read)
	if age > tellAge {
		return 0
	}
	return max(catalog.Millis(age.Milliseconds()), 1)
}

// giveAll returns all of the catalog, encoded once for all that ask at about the same time,
// or how long to wait where it would fill the link.
func (n *Node) giveAll(after int64) (out catalog.EncodedNews, err error) {
	w := n.fullAnswers
	w.mu.Lock()
	defer w.mu.Unlock()
	if wait := w.bucket.take(0, n.now()); wait > 0 {
		out.Wait = catalog.Millis(wait.Milliseconds() + 1)
		return out, nil
	}
	if err := n.encodeAll(w, after); err != nil {
		return catalog.EncodedNews{}, err
	}
	w.bucket.take(base64.StdEncoding.EncodedLen(len(w.encoded.Compressed)), n.now())
	out = w.encoded
	out.Read = n.readingAge(w.read)
	return out, nil
}

// encodeAll encodes all of the catalog, unless that was done just now and nothing is in doubt
// or was since.
func (n *Node) encodeAll(w *fullAnswers, after int64) error {
	var news catalog.News
	again := false
	err := n.state.Do(func(s *state) {
		again = w.at > 0 && n.now()-w.at < fullFor && w.lapses == s.content.Lapses() && !s.content.Doubtful()
		if !again {
			w.read = n.lastRead.Load()
			news = s.content.Since(after)
			w.lapses = s.content.Lapses()
		}
	})
	if err != nil || again {
		return err
	}
	w.at = 0
	if w.encoded, err = news.Encode(); err == nil && len(news.Doubts) == 0 {
		w.at = n.now()
	}
	return err
}
