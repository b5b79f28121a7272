package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"
)

// A token is the base64url form of the instance's name, its incarnation, the
// nonce, the time of issue, and the HMAC-SHA256 over these and the tenant. The
// numbers are big-endian. The nonce is a counter of the tokens of the process.
const (
	tokenNumbers = 3 * 8
	tokenSuffix  = tokenNumbers + sha256.Size
)

// Issuer is the daemon process that issued a token.
type Issuer struct {
	Instance    string
	Incarnation uint64
}

type token struct {
	issuer Issuer
	nonce  uint64
	issued time.Time
	signed []byte
	mac    []byte
}

// ParseToken returns the issuer that a token names, or false when it is malformed.
// It doesn't verify the token, which only the issuer can.
func ParseToken(text string) (Issuer, bool) {
	t, ok := parse(text)
	return t.issuer, ok
}

func parse(text string) (token, bool) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= tokenSuffix {
		return token{}, false
	}
	name := len(raw) - tokenSuffix
	numbers := raw[name : name+tokenNumbers]
	return token{
		issuer: Issuer{string(raw[:name]), binary.BigEndian.Uint64(numbers)},
		nonce:  binary.BigEndian.Uint64(numbers[8:]),
		issued: time.Unix(0, int64(binary.BigEndian.Uint64(numbers[16:]))),
		signed: raw[:name+tokenNumbers],
		mac:    raw[name+tokenNumbers:],
	}, true
}

// Issue returns a new token, which identifies one call of a tenant.
func (t *Table) Issue(now time.Time, tenant string) string {
	t.nonce++
	raw := []byte(t.self.Instance)
	raw = binary.BigEndian.AppendUint64(raw, t.self.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, t.nonce)
	raw = binary.BigEndian.AppendUint64(raw, uint64(now.UnixNano()))
	raw = append(raw, t.sign(raw, tenant)...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

func (t *Table) sign(raw []byte, tenant string) []byte {
	h := hmac.New(sha256.New, t.secret)
	h.Write(raw)
	h.Write([]byte(tenant))
	return h.Sum(nil)
}

// verify reports whether this process issued the token for the tenant.
func (t *Table) verify(k token, tenant string) bool {
	return k.issuer == t.self && hmac.Equal(k.mac, t.sign(k.signed, tenant))
}
