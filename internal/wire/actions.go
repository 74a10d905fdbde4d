package wire

import (
	"strconv"
	"time"

	"ashstand/routing"
)

// messageNames holds the simulator's message name for each kind of action.
var messageNames = [...]string{
	routing.ActSend:      "TRANSMIT",
	routing.ActCancel:    "CANCEL",
	routing.ActReject:    "REFUSE",
	routing.ActFail:      "FINISH_ERROR",
	routing.ActTimer:     "NOTIFY_ME",
	routing.ActProbe:     "ASK_LOAD",
	routing.ActSubscribe: "KEEP_INFORMED",
	routing.ActFetch:     "FETCH",
	routing.ActCloseIdle: "CLOSE",
}

// AppendActions appends the lines for an instance's actions to b and returns the extended buffer.
func AppendActions(b []byte, instance int, actions []routing.Action) []byte {
	for i := range actions {
		b = append(b, messageNames[actions[i].Kind]...)
		b = append(b, " who="...)
		b = strconv.AppendInt(b, int64(instance), 10)
		b = appendFields(b, &actions[i])
		b = append(b, '\n')
	}
	return b
}

func appendFields(b []byte, a *routing.Action) []byte {
	switch a.Kind {
	case routing.ActSend:
		b = appendText(b, " call=", a.ID)
		b = appendText(b, " host=", a.Host)
		if a.Timeout > 0 {
			b = appendMillis(b, " max_wait_ms=", a.Timeout)
		}
	case routing.ActCancel:
		b = appendText(b, " call=", a.ID)
		b = strconv.AppendInt(append(b, " hop="...), int64(a.Attempt), 10)
	case routing.ActReject:
		b = appendText(b, " call=", a.ID)
		if a.RetryAfter > 0 {
			b = appendMillis(b, " stay_away_ms=", a.RetryAfter)
		}
	case routing.ActFail:
		b = appendText(b, " call=", a.ID)
	case routing.ActTimer:
		b = appendMillis(b, " at_ms=", a.At)
		b = strconv.AppendUint(append(b, " nonce="...), a.Timer, 10)
	case routing.ActProbe, routing.ActCloseIdle:
		b = appendText(b, " host=", a.Host)
	case routing.ActSubscribe:
		b = append(b, " on=1"...)
	}
	return b
}

func appendText(b []byte, field, text string) []byte { return append(append(b, field...), text...) }

func appendMillis(b []byte, field string, d time.Duration) []byte {
	return strconv.AppendFloat(append(b, field...), float64(d.Microseconds())/1e3, 'f', 3, 64)
}
