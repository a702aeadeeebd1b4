package settings

import "github.com/verbenakeel/verbenakeel/tlsconf"

// Remedies for problems with the keys of section tls.
const (
	certRemedy = "name the PEM file with this process's certificate"
	keyRemedy  = "name the PEM file with the certificate's private key"
	caRemedy   = "name the PEM file with the authorities that sign certificates"
)

// checkTLS reports the missing keys of a section tls that has only some of them.
func checkTLS(f tlsconf.Files, lines map[string]int) []Problem {
	if !f.On() {
		return nil
	}
	var problems []Problem
	for _, k := range []struct{ name, value, remedy string }{
		{"tls.cert", f.Cert, certRemedy}, {"tls.key", f.Key, keyRemedy}, {"tls.ca", f.CA, caRemedy},
	} {
		// A key with an empty value was already reported by its parser.
		if k.value == "" && lines[k.name] == 0 {
			problems = append(problems, Problem{Key: k.name, Message: "is missing beside other keys of [tls]", Remedy: k.remedy + ", or remove the section"})
		}
	}
	return problems
}
