package history

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// EncodeBody returns an answer body that names its request and the checksum of its payload. They are in the body, since
// the answer kept for a repeat has no headers of the endpoint.
func EncodeBody(id string, payload []byte) []byte {
	return append(fmt.Appendf(nil, "%s %016x\n", id, xxhash.Sum64(payload)), payload...)
}

// ReadAnswer fills in what a caller learned from a response: Verdict, Status, EchoID, Sum and StatedSum. A response
// below 400 counts as an answer even if its body is damaged, so that Check reports the damage.
func ReadAnswer(status int, body []byte) Answer {
	a := Answer{Verdict: Answered, Status: status}
	head, payload, _ := bytes.Cut(body, []byte("\n"))
	id, stated, found := bytes.Cut(head, []byte(" "))
	sum, err := strconv.ParseUint(string(stated), 16, 64)
	if found && err == nil && len(stated) == 16 {
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
	_ = json.Unmarshal(body, &refusal) // a body that is no JSON object says nothing
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
