package executor

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"

	"carobthread"
)

// The text form of a key is HOST:START:RANDOM:SEQUENCE:EXPIRY:MAC. Numbers are
// lower-case hexadecimal with a fixed width, so each key has exactly one text form.
const (
	keyFields    = 6
	numberDigits = 16 // hexadecimal digits of a 64-bit number
	macBytes     = 16 // truncated HMAC-SHA-256; 128 bits resist guessing within a key's lifetime
	maxHostBytes = 64
)

var errMalformedKey = errors.New("malformed key")

// Key identifies a request that may not be repeated and the only process that may run it.
type Key struct {
	Host        string
	Incarnation carobthread.Incarnation
	Sequence    uint64
	Expiry      carobthread.Instant
	MAC         [macBytes]byte
}

// String returns the text form of the key.
func (key Key) String() string {
	return key.signedText() + ":" + hex.EncodeToString(key.MAC[:])
}

func (key Key) signedText() string {
	text := make([]byte, 0, len(key.Host)+(keyFields-2)*(numberDigits+1))
	text = append(text, key.Host...)
	for _, number := range []uint64{uint64(key.Incarnation.Start), key.Incarnation.Random, key.Sequence, uint64(key.Expiry)} {
		text = append(text, ':')
		text = hex.AppendEncode(text, binary.BigEndian.AppendUint64(nil, number))
	}
	return string(text)
}

func (key Key) computeMAC(secret []byte) [macBytes]byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key.signedText()))
	return [macBytes]byte(mac.Sum(nil)[:macBytes])
}

func (key Key) authentic(secret []byte) bool {
	want := key.computeMAC(secret)
	return hmac.Equal(want[:], key.MAC[:])
}

// ParseKey parses the text form of a key and accepts only the canonical text that String returns.
func ParseKey(text string) (Key, error) {
	fields := strings.Split(text, ":")
	if len(fields) != keyFields || !validHost(fields[0]) {
		return Key{}, errMalformedKey
	}
	var numbers [keyFields - 2]uint64
	for i := range numbers {
		number, err := parseNumber(fields[i+1])
		if err != nil {
			return Key{}, err
		}
		numbers[i] = number
	}
	key := Key{
		Host:        fields[0],
		Incarnation: carobthread.Incarnation{Start: carobthread.Instant(numbers[0]), Random: numbers[1]},
		Sequence:    numbers[2],
		Expiry:      carobthread.Instant(numbers[3]),
	}
	mac, err := hex.DecodeString(fields[5])
	if err != nil || len(mac) != macBytes {
		return Key{}, errMalformedKey
	}
	key.MAC = [macBytes]byte(mac)
	if key.String() != text {
		return Key{}, errMalformedKey
	}
	return key, nil
}

func parseNumber(text string) (uint64, error) {
	if len(text) != numberDigits {
		return 0, errMalformedKey
	}
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errMalformedKey
	}
	return number, nil
}

func validHost(name string) bool {
	if name == "" || len(name) > maxHostBytes {
		return false
	}
	for _, character := range []byte(name) {
		switch {
		case 'a' <= character && character <= 'z', 'A' <= character && character <= 'Z', '0' <= character && character <= '9':
		case character == '.', character == '-', character == '_':
		default:
			return false
		}
	}
	return true
}
