package peer

import (
	"bytes"
	"encoding/gob"
	"net"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// recordedStream is what a controller of 2 December 2026 (b103dfb) named n2 sent: its hello
// and one message in which no field is empty. It is never written anew, since controllers of
// that version and of this one exchange messages while one replaces the other.
const recordedStream = "testdata/stream-b103dfb.gob"

// fill gives every field of a value a number, text or element of its own, by its position.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte{byte(*n), '{', '}'})
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		element := reflect.New(v.Type().Elem()).Elem()
		fill(element, n)
		v.SetMapIndex(reflect.ValueOf(textOf(*n)), element)
	case reflect.String:
		v.SetString(textOf(*n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*n) / 8)
	case reflect.Int:
		v.SetInt(int64(*n))
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	default:
		panic(v.Type())
	}
}

func textOf(n int) string { return string(rune('a'+n%26)) + string(rune('a'+n/26%26)) }

func filledMessage() core.Message {
	var m core.Message
	n := 0
	fill(reflect.ValueOf(&m).Elem(), &n)
	return m
}

// received is what arrives when a controller reads a stream.
func received(t *testing.T, stream []byte) []core.Message {
	t.Helper()
	here, there := net.Pipe()
	t.Cleanup(func() { here.Close() })
	go func() {
		_, _ = there.Write(stream)
		_, _ = there.Read(make([]byte, 1)) // the confirmation
		there.Close()
	}()
	require.NoError(t, here.SetDeadline(time.Now().Add(5*time.Second)))
	var got []core.Message
	_ = receive(here, []string{"n1", "n2"}, minMessageBytes, func(from int, m core.Message) {
		assert.Equal(t, 1, from)
		got = append(got, m)
	})
	return got
}

func TestAMessageOfTheVersionBeforeIsRead(t *testing.T) {
	stream, err := os.ReadFile(recordedStream)
	require.NoError(t, err)
	assert.Equal(t, []core.Message{filledMessage()}, received(t, stream))
}

func TestTheVersionBeforeReadsWhatIsSent(t *testing.T) {
	sent := sentBy(t, filledMessage())
	decoder := gob.NewDecoder(bytes.NewReader(sent))
	var h struct{ Label string }
	require.NoError(t, decoder.Decode(&h))
	assert.Equal(t, "n2", h.Label)
	var got, want recordedMessage
	require.NoError(t, decoder.Decode(&got))
	n := 0
	fill(reflect.ValueOf(&want).Elem(), &n)
	assert.Equal(t, want, got)
}

// sentBy is what n2 sends when it has one message for another controller.
func sentBy(t *testing.T, m core.Message) []byte {
	t.Helper()
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	require.NoError(t, encoder.Encode(hello{"n2"}))
	require.NoError(t, encoder.Encode(encode(m)))
	return stream.Bytes()
}

// The messages as b103dfb had them, by the names of their fields.
type (
	recordedMessage struct {
		Boot   uint64
		Gossip *recordedGossip
		Jobs   []recordedItem
		Slices []recordedItem
		Freed  []string
		Asks   []struct {
			Team        string
			Cores, Rank float64
		}
		Quotas []recordedItem
	}
	recordedItem struct {
		Key   string
		Value []byte
		Stamp uint64
	}
	recordedGossip struct {
		Seq       uint64
		Echo      map[string]uint64
		Withdrawn []recordedItem
		StoreOK   bool
		Reads     int
		Wants     struct{ Requests, Changes, Calls float64 }
		Parts     []recordedPart
		Heard     map[string]int
		CutOff    bool
	}
	recordedAmount struct{ Cores, Cards, Mem float64 }
	recordedOffer  struct {
		Type string
		Spot bool
	}
	recordedTally struct{ Up, Starting, Fetching, Waiting int }
	recordedPart  struct {
		Zone  string
		Token uint64
		Dark  bool
		Hosts []struct {
			Type    string
			Spot    bool
			Count   int
			Up      float64
			Used    recordedAmount
			For     float64
			FetchAt float64
		}
		Queue []struct {
			Type     string
			Priority int
			Seconds  float64
		}
		Images []struct {
			Image, Type string
			Share       float64
		}
		Scarce []recordedOffer
		Show   []struct {
			ID                          string
			Done, Running               int
			Starting, Fetching, Waiting int
			MissingS                    float64
			Why                         recordedReason
		}
		Used   map[string]recordedAmount
		Fill   map[string]float64
		Queues []struct {
			Part, Class, Team string
			Tally             recordedTally
			WaitS             float64
			Job               string
			Why               recordedReason
		}
	}
	recordedReason int
)
