package cost

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const planText = `{
  "name": "join",
  "aim": 100,
  "steps": [
    {"name": "a", "sql": "select 1", "class": "report", "all": true, "rows": 10},
    {"name": "b", "statement": "00112233445566778899aabbccddeeff", "class": "report",
     "group": 3, "fresh": "bounded", "bound": 50, "after": ["a"]}
  ],
  "alternatives": [
    {"name": "other", "steps": [{"name": "a", "sql": "select 2", "class": "report"}]}
  ]
}`

func TestParsePlan(t *testing.T) {
	p, err := ParsePlan("p.json", []byte(planText))
	require.NoError(t, err)
	require.Equal(t, "join", p.Name)
	require.Equal(t, Step{Name: "a", Statement: NewFingerprint("select 9"), Class: "report", AllGroups: true, Rows: 10, Freshness: "any"}, p.Steps[0])
	require.Equal(t, []string{"a"}, p.Steps[1].After)
	require.Equal(t, "00112233445566778899aabbccddeeff", p.Steps[1].Statement.String())
	require.Len(t, p.Alternatives, 1)
}

func TestPlanErrorsNameTheirLocation(t *testing.T) {
	for change, want := range map[string]string{
		`"aim": 100|"aim": "soon"`:               `p.json:3: aim: it is soon; allowed is a number`,
		`"aim": 100|"aims": 100`:                 `p.json:3: aims: the key is unknown; allowed are aim, alternatives, name, steps`,
		`"rows": 10|"rows": -1`:                  `p.json:5: steps[0].rows: it is -1; allowed is a number from 0 to 1e15`,
		`"rows": 10|"rows": 10, "rows": 1`:       `p.json:5: steps[0].rows: the key stands there twice`,
		`"00112233445566778899aabbccddeeff"|"x"`: `p.json:6: steps[1].statement: it is "x"; allowed is 32 hex digits`,
		`"group": 3|"group": 1.5`:                `p.json:7: steps[1].group: it is 1.5; allowed is a whole number`,
		`"bounded"|"new"`:                        `p.json:7: steps[1].fresh: it is "new"; allowed is write, fresh, session, bounded, any`,
		`["a"]}|["z"]}`:                          `p.json:7: steps[1].after: it is "z"; allowed is the name of another step`,
		`["a"]}|["b"]}`:                          `p.json:7: steps[1].after: plan "join": steps wait for each other: b`,
		`"name": "b"|"name": "a"`:                `p.json:6: steps[1].name: it is "a"; allowed is a name that no other step has`,
		`"sql": "select 2", |`:                   `p.json:10: alternatives[0].steps[0]: it names its statement 0 times`,
		`"rows": 10}|"rows": 10`:                 `p.json:6: steps[0]: `,
		`"name": "other", |"alternatives": [], `: `p.json:10: alternatives[0].alternatives: an alternative has none of its own`,
		`"steps": [{"name": "a", "sql"|"steps2": [{"name": "a", "sql"`: `p.json:10: alternatives[0].steps2: the key is unknown`,
	} {
		from, to, _ := strings.Cut(change, "|")
		require.Contains(t, planText, from)
		_, err := ParsePlan("p.json", []byte(strings.Replace(planText, from, to, 1)))
		var fault *PlanFileError
		require.ErrorAs(t, err, &fault, change)
		require.Contains(t, err.Error(), want, change)
	}
	_, err := ParsePlan("p.json", []byte(planText+"{}"))
	require.ErrorContains(t, err, "something stands behind the plan")
	_, err = ParsePlan("p.json", []byte(planText[:40]))
	require.ErrorContains(t, err, "p.json:4: the text ends before the plan does")
	var cycle *CycleError
	_, err = ParsePlan("p.json", []byte(strings.Replace(planText, `["a"]}`, `["b"]}`, 1)))
	require.ErrorAs(t, err, &cycle)
}

func FuzzParsePlan(f *testing.F) {
	f.Add([]byte(planText))
	f.Add([]byte(`{"steps":[{"after":[{}]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if p, err := ParsePlan("p", b); err == nil {
			require.NoError(t, p.Validate())
		} else {
			var fault *PlanFileError
			require.ErrorAs(t, err, &fault)
			require.Positive(t, fault.Line)
		}
	})
}
