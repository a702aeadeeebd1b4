package history

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a corrupt answer or an error answer that is parsed as something else.
func TestReadAnswer(t *testing.T) {
	whole := EncodeBody("r1", []byte("payload\nwith lines"))
	for name, tc := range map[string]struct {
		status       int
		body         string
		verdict      Verdict
		echo         string
		sumMatches   bool
		skipSumCheck bool
	}{
		"whole":              {200, string(whole), Answered, "r1", true, false},
		"endpoint's error":   {404, string(whole), Answered, "r1", true, false},
		"cut in payload":     {200, string(whole[:len(whole)-3]), Answered, "r1", false, false},
		"cut in head":        {200, string(whole[:5]), Answered, "", false, false},
		"empty":              {200, "", Answered, "", false, false},
		"not run":            {503, `{"error":{"kind":"refused"},"not_run":true}`, NotRun, "", false, true},
		"unknown":            {504, `{"not_run":false,"outcome":"unknown"}`, Unknown, "", false, true},
		"other error":        {409, `{"error":{"kind":"conflict"}}`, Refused, "", false, true},
		"error without JSON": {502, "bad gateway", Refused, "", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := ParseAnswer(tc.status, []byte(tc.body))
			assert.Equal(t, a.Verdict, tc.verdict)
			assert.Equal(t, a.EchoID, tc.echo)
			assert.Assert(t, tc.skipSumCheck || (a.Sum == a.StatedSum) == tc.sumMatches)
		})
	}
}
