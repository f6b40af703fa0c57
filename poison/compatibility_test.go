package poison

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Datagrams that an earlier build encoded an hour after the start of its clock.
const (
	earlierComparison = "0401018004030201fcfdfeff"
	earlierReply      = "04020800090000000102030405060708090a0b0c0d0e0f10e290bf051817161514131211a09c0128272625242322210502ffee000000000000000000000000000001070000000000000000"
	earlierGrant      = "040800000000000000000000000000000099ffee000000000000000000000000000001070000000000000000"
)

const earlierNow = time.Hour

func earlierRecords() []Record {
	return []Record{
		{
			Digest:       Digest{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16},
			LastSurvived: earlierNow - 90*time.Second,
			Crashes: []Crash{
				{Incarnation: 0x1112131415161718, At: earlierNow - 20*time.Second},
				{Incarnation: 0x2122232425262728, At: earlierNow - 5*time.Millisecond, OnTrial: true},
			},
			published: true,
		},
		{
			Digest:       Digest{0xff, 0xee},
			LastSurvived: never,
			Crashes:      []Crash{{Incarnation: 7, At: earlierNow}},
		},
	}
}

// Guards against changes of the format of datagrams, which boxes of two builds exchange.
func TestDatagramsOfAnEarlierBuildAreDecodedAndEncodedAlike(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]Datagram{
		earlierComparison: {Compare: true, Checksums: Checksums{0: 0x01020304, 15: 0xfffefdfc}},
		earlierReply:      {Reply: true, Checksums: Checksums{3: 9}, Records: earlierRecords()},
		earlierGrant:      {TrialMessage: trialGrant, Trial: Digest{15: 0x99}, Records: earlierRecords()[1:]},
	} {
		buf, err := hex.DecodeString(text)
		is.NoErr(err)
		is.True(IsDatagram(buf))
		got, err := Decode(buf, earlierNow)
		is.NoErr(err)
		is.Equal(got, want)
		is.Equal(hex.EncodeToString(got.Encode(earlierNow)), text)
	}
}

// Guards against changes of the numbers and hashes that stand in datagrams.
func TestTrialMessagesAndHashesAreThoseOfAnEarlierBuild(t *testing.T) {
	is := is.New(t)
	is.Equal([]trialMessage{trialRequest, trialGrant, trialDenial}, []trialMessage{1, 2, 3})
	is.Equal(IncarnationOf(""), Incarnation(0xef46db3751d8e999))
	is.Equal(IncarnationOf("i-0042 1796200000000"), Incarnation(0xfdde40a95194567))
	c := Content{Method: "POST", Host: "chat.example", Target: "/v1/chat?a=b", Caller: "key", Body: []byte("{}")}
	is.Equal(c.Digest().String(), "4718b875add204eb757a37a1729c9776")
	is.Equal((&earlierRecords()[0]).checksum(), uint32(0x8e5b7614))
}
