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

// The text form is HOST:START:RANDOM:SEQUENCE:EXPIRY:CODE with fixed-width
// lower-case hexadecimal numbers, so each key has exactly one text.
const (
	keyFields    = 6
	numberDigits = 16 // hexadecimal digits of a 64-bit number
	codeBytes    = 16 // truncated HMAC-SHA-256; 128 bits resist guessing within a key's lifetime
	maxHostBytes = 64
)

var errMalformedKey = errors.New("malformed key")

// Key names one request that may not be repeated and the only process that may run it.
type Key struct {
	Host        string
	Incarnation carobthread.Incarnation
	Sequence    uint64
	Expiry      carobthread.Instant
	Code        [codeBytes]byte
}

// String returns the text form.
func (key Key) String() string {
	return key.signed() + ":" + hex.EncodeToString(key.Code[:])
}

func (key Key) signed() string {
	text := make([]byte, 0, len(key.Host)+(keyFields-2)*(numberDigits+1))
	text = append(text, key.Host...)
	for _, number := range []uint64{uint64(key.Incarnation.Start), key.Incarnation.Random, key.Sequence, uint64(key.Expiry)} {
		text = append(text, ':')
		text = hex.AppendEncode(text, binary.BigEndian.AppendUint64(nil, number))
	}
	return string(text)
}

func (key Key) code(secret []byte) [codeBytes]byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key.signed()))
	return [codeBytes]byte(mac.Sum(nil)[:codeBytes])
}

func (key Key) authentic(secret []byte) bool {
	want := key.code(secret)
	return hmac.Equal(want[:], key.Code[:])
}

// ParseKey reads the text form; any deviation from the one text of a key is an error.
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
	code, err := hex.DecodeString(fields[5])
	if err != nil || len(code) != codeBytes {
		return Key{}, errMalformedKey
	}
	key.Code = [codeBytes]byte(code)
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
	for _, letter := range []byte(name) {
		switch {
		case 'a' <= letter && letter <= 'z', 'A' <= letter && letter <= 'Z', '0' <= letter && letter <= '9':
		case letter == '.', letter == '-', letter == '_':
		default:
			return false
		}
	}
	return true
}
