package sqlcomment

import (
	"errors"
	"strconv"
	"strings"
	"testing"
)

// The texts go to clients, so they stay as they are.
func TestParseErrors(t *testing.T) {
	var length *LengthError
	var field *FieldError
	var value *ValueError
	for _, c := range []struct {
		text, want string
		is         error
		as         any
	}{
		{"SELECT 1", "the statement does not begin with a whole comment /* id=…,c=…,d=… */", ErrNoComment, nil},
		{"/* id=1,c=a */ S", "the statement does not begin with a whole comment /* id=…,c=…,d=… */", ErrNoComment, nil},
		{"/* id=1,c=a,d=1 */ S\x00", "the statement holds a zero byte", ErrZeroByte, nil},
		{"/* id=1,c=a,d=1,d=x */ S", "the comment names d twice", ErrDuplicateTimeout, nil},
		{"/* id=1, odd ,c=a */ S", `the comment holds "odd", which is not name=value`, nil, &field},
		{"/* id=1,c=a, d = 0x1p3 */ S", `the comment's d is "0x1p3", which is no number that fits`, strconv.ErrRange, &value},
		{"/* id=1,c=a,cluster=-1 */ S", `the comment's cluster is "-1", which is no number that fits`, strconv.ErrSyntax, &value},
		{"/* id=1,c=a,after=soon */ S", `the comment's after is "soon", which is no number that fits`, strconv.ErrSyntax, &value},
		{"/* id=1,c=a,d=1 */ " + strings.Repeat("x", MaxLength), "the statement has 163859 bytes, 163840 are allowed", nil, &length},
	} {
		_, err := Parse(c.text)
		if err == nil || err.Error() != c.want {
			t.Errorf("%.40q: got %v, want %s", c.text, err, c.want)
		}
		if c.is != nil && !errors.Is(err, c.is) {
			t.Errorf("%.40q: %v does not wrap %v", c.text, err, c.is)
		}
		if c.as != nil && !errors.As(err, c.as) {
			t.Errorf("%.40q: %v is a %T", c.text, err, err)
		}
	}
}
