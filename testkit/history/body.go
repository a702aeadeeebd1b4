package history

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// EncodeBody returns an answer body that starts with the request ID and the checksum of the payload. They are in the body
// because an answer that is stored for repeated requests does not include the endpoint's headers.
func EncodeBody(id string, payload []byte) []byte {
	return append(fmt.Appendf(nil, "%s %016x\n", id, xxhash.Sum64(payload)), payload...)
}

// ParseAnswer parses a response and sets Verdict, Status, EchoID, Sum and StatedSum. A response with a status below 400 is
// Answered even if its body is corrupt, so that Check reports the corruption.
func ParseAnswer(status int, body []byte) Answer {
	a := Answer{Verdict: Answered, Status: status}
	head, payload, _ := bytes.Cut(body, []byte("\n"))
	id, statedSum, found := bytes.Cut(head, []byte(" "))
	sum, err := strconv.ParseUint(string(statedSum), 16, 64)
	if found && err == nil && len(statedSum) == 16 {
		a.EchoID, a.StatedSum, a.Sum = string(id), sum, xxhash.Sum64(payload)
		return a
	}
	if status < 400 {
		a.Sum, a.StatedSum = xxhash.Sum64(body), 0
		return a
	}
	var refusal struct {
		NotRun  bool   `json:"not_run"`
		Outcome string `json:"outcome"`
	}
	_ = json.Unmarshal(body, &refusal) // a body that is not a JSON object leaves the outcome unspecified
	switch {
	case refusal.NotRun:
		a.Verdict = NotRun
	case refusal.Outcome == "unknown":
		a.Verdict = Unknown
	default:
		a.Verdict = Refused
	}
	return a
}
