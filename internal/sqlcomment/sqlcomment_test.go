package sqlcomment

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	text := "/* id=9b1f,c=basket,d=480,r=1,cluster=2,after=1767225600123 */ SELECT payload FROM entries WHERE ref = 'o''k'"
	s, err := Parse(text)
	if err != nil || s.Class != "basket" || s.Group != 2 || s.TimeoutMillis != 480 || s.MinPosition != 1767225600123 || !s.IsRetry || s.SessionKey != "o'k" {
		t.Fatalf("%+v, %v", s, err)
	}
	// Guards against a rewrite that touches more than d: hosts refuse a form that no client sent.
	if got, want := string(s.AppendWithTimeout(nil, 80.9)), strings.Replace(text, "d=480", "d=80", 1); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := string(s.AppendWithTimeout(nil, 0.2)); !strings.Contains(got, ",d=1,") {
		t.Errorf("less than a millisecond: %q", got)
	}
	s, err = Parse("/* id=d=7, c=a , d= 12 ,x=y */ SELECT 'd=12'")
	if got := string(s.AppendWithTimeout(nil, 5)); err != nil || got != "/* id=d=7, c=a , d= 5 ,x=y */ SELECT 'd=12'" {
		t.Errorf("spaces: %q, %v", got, err)
	}
}

func TestParseRejects(t *testing.T) {
	for _, text := range []string{
		"", "SELECT 1", "/* c=a,d=1", "/* c=a */ SELECT 1", "/* d=1 */ SELECT 1", "/* c=a,d= */ S",
		"/* c=a,d=-1 */ S", "/* c=a,d=NaN */ S", "/* c=a,d=1e300 */ S", "/* c=a,d=0x1p3 */ S", "/* c=a,d=1,d=2 */ S",
		"/* c=a,d=1,cluster=-1 */ S", "/* c=a,d=1,after=soon */ S", "/* c=a,d=1,odd */ S", "/* c=a,d=1 */ S\x00",
		"/* c=a,d=1 */ " + strings.Repeat("x", MaxLength),
	} {
		if _, err := Parse(text); err == nil {
			t.Errorf("%.40q was taken", text)
		}
	}
}

// FuzzParse checks that nothing panics, and that what is taken changes in d alone.
func FuzzParse(f *testing.F) {
	f.Add("/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT payload FROM entries WHERE ref = '7f'")
	f.Add("/* c=a,d= 1 */")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		out := string(s.AppendWithTimeout(nil, 77))
		again, err := Parse(out)
		if err != nil || again.TimeoutMillis != 77 || again.Class != s.Class || again.Group != s.Group || again.SessionKey != s.SessionKey {
			t.Fatalf("%q became %q: %+v, %v", text, out, again, err)
		}
	})
}
