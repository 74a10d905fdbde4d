package migration

import (
	"encoding/json"

	"ashstand/internal/cluster/jobs"
)

// result is what a deed returned.
type result struct {
	Found
	findings Findings
	held     []Straggler
	verified Verified
	version  int
	taken    *Taken
	unfenced bool // the home had failed over since it was fenced
}

// after is what a deed that was done leaves. The state holds no clock but that of the announcement.
func after(a Act, r result) (jobs.Result, error) {
	s, d := a.State, a.Data
	begun := Begun{At: d.At, Token: a.Told}
	p := jobs.Result{}
	if d.Lost != "" {
		s.Lost = keep(append(s.Lost, clip(d.Lost)))
	}
	switch a.Name {
	case DeedCheck:
		if s.Findings = r.findings.bounded(); len(s.Findings.Refusing()) > 0 {
			s.Held = "the check refuses"
		} else {
			s.Phase, s.Held = Checked, ""
		}
	case DeedPublish:
		if s.Published = r.taken == nil; r.taken != nil {
			s.Held = clip(r.taken.Error())
		}
	case DeedSubscribe:
		again := s.Copy.Again
		if d.Again {
			again++
			s.note("copied anew: the slot or what had been passed on died with a failover, or the copy differed")
		}
		s.Phase, s.Copy = Copying, Copy{Again: again}
		s.anew(r.Lines)
	case DeedCopy:
		s.Copy.After, s.Copy.All, s.Copy.Rows, s.Copy.Begun = r.Copied.After, r.Copied.All, r.Copied.Rows, begun
	case DeedMark:
		if s.Phase != Switched {
			s.Phase = CatchingUp
		}
		s.Doubt = s.Doubt || d.Doubt
		s.Lines, s.Compare = r.Lines, Compare{Begun: begun}
	case DeedCompare:
		c := &s.Compare
		c.After, c.All, c.Ranges, c.Hot = r.Compared.After, r.Compared.All, c.Ranges+r.Compared.Equal, c.Hot+r.Compared.Hot
		s.differ(r.Compared.Differ)
	case DeedPause:
		s.Phase, s.Reverse, s.Stragglers = Closing, d.Reverse, nil
		s.Pause = &Pause{Begun: begun, Version: r.version}
	case DeedClose:
		pause := *s.Pause
		pause.Closes++
		pause.Closed, pause.Verified = r.Closed, false
		if s.Pause, s.Stragglers = &pause, straggling(r.held); r.Closed != nil {
			s.Phase = Verifying
		} else {
			s.Phase = Closing
		}
	case DeedVerify:
		pause := *s.Pause
		pause.Ranges, pause.Reads = r.verified.Ranges, r.verified.Reads
		switch {
		case r.verified.Lines.Home != pause.Closed.Line:
			pause.Closed, s.Phase = nil, Closing
			s.note("the home failed over while it was verified: it is closed again")
		case len(r.verified.Differ) > 0:
			s.Doubt = s.Doubt || r.verified.Lines != s.Lines
			s.Differ = differing(r.verified.Differ)
		case !r.verified.Late:
			pause.Verified = true
		}
		s.Pause = &pause
	case DeedSwitch:
		if r.unfenced {
			pause := *s.Pause
			pause.Closed, pause.Verified = nil, false
			s.Pause, s.Phase = &pause, Closing
			s.note("the home failed over before the switch: it is closed again")
			break
		}
		s.Pause, s.Tries = nil, 0
		if s.Reverse {
			s.Phase, s.Reverse = Clearing, false
		} else {
			s.Phase = Switched
		}
	case DeedReopen:
		s.Pause = nil
		s.Tries++
		s.Rested = begun
		s.note("the pause was taken back: %s", d.Why)
		if d.Back != "" {
			s.Back = d.Back
		}
		switch {
		case s.Reverse:
			s.Phase, s.Reverse = Switched, false
		case s.Back != "":
			s.Phase = Clearing
		default:
			s.Phase = CatchingUp
		}
		if s.Phase == Clearing {
			break
		}
		if s.differ(s.Differ); d.Held != "" {
			s.Held = d.Held
		} else if s.Tries >= a.Plan.Tries && s.Held == "" {
			s.Held = "as many pauses were taken back as the plan allows"
		}
	case DeedFeed:
		if s.Fed = true; d.Again {
			s.note("the old home is copied anew from the new one")
		}
		s.anew(r.Lines)
	case DeedAccept:
		s.Phase = Accepted
	case DeedFinish:
		s.Phase = Done
		p.Finished, p.Reason = true, "accepted"
	case DeedClear:
		s.Phase, s.Back = TakenBack, d.Back
		p.Finished, p.Reason = true, "taken back: "+d.Back
	case DeedEnd:
		s.Phase, s.Back = TakenBack, d.Back
		p.Finished, p.Reason = true, "taken back: "+d.Back
	case DeedHold:
		s.Held = d.Held
	case DeedBack:
		s.Back, s.Held = d.Back, ""
	case DeedDrop:
		s.note("%s means nothing while it is %s", d.Why, s.Phase)
	case DeedResume:
		s.Held, s.Tries = "", 0
		s.Again = s.Again || len(s.Differ) > 0
	default:
		return p, &Unreadable{Work: a.Work, Err: errNoDeed(a.Name)}
	}
	if len(s.Copy.After) > mostCursor || len(s.Compare.After) > mostCursor {
		return p, &Unreadable{Work: a.Work, Err: errNoDeed("with a place to go on from of that length")}
	}
	var err error
	p.State, err = json.Marshal(s)
	return p, err
}

// anew is what a copy that begins, or a feeding back, makes of what rested on the one before.
func (s *State) anew(lines Lines) {
	s.Lines, s.Doubt, s.Again, s.Differ, s.Compare = lines, false, false, nil, Compare{}
}

// differ takes what was found. After a failover the copy is begun anew; otherwise an operator has to say so.
func (s *State) differ(found []Difference) {
	if len(found) == 0 {
		return
	}
	if s.Differ = differing(found); s.Doubt {
		s.Again = true
	} else {
		s.Held = "the copy differs: " + clip(found[0].Error())
	}
}

// cut leaves what a state has room for.
func cut[T any](all []T) []T { return all[:min(len(all), mostNamed)] }

func differing(all []Difference) (out []Difference) {
	for _, d := range cut(all) {
		out = append(out, Difference{clip(d.Kind), clip(d.Table), clip(d.Range), clip(d.Home), clip(d.Other)})
	}
	return out
}

func straggling(all []Straggler) (out []Straggler) {
	for _, g := range cut(all) {
		out = append(out, Straggler{g.PID, clip(g.User), clip(g.Kind), clip(g.Age)})
	}
	return out
}

type errNoDeed string

func (e errNoDeed) Error() string { return "there is no deed " + string(e) }
