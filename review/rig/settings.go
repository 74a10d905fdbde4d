package main

// muscat are settings as a pooler of the site muscat-catchup gets them, with figures inside the site's ranges.
const muscat = `{
 "areas": ["hall-a", "hall-b", "hall-c"], "balancers": 3, "index": 0, "zone": "hall-a",
 "clients": {"marks_retry": true}, "discovery": "automatic", "service_type": "replicas",
 "deductions": {"cross_zone": 0.01, "late_fail": 0.08, "probe": 0.04, "waste": 0.11},
 "domain": {"answers_stamped": true, "catch_up_wait_ms": 0, "class_read": ["bounded", "session", "any", "write"],
  "commit_waits": false, "origin_time_ms": 0, "role_in_list": "late", "staleness_bound_ms": [200, 0, 0, 0],
  "token_mode": "carried", "when_behind": "off"},
 "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0, "worst_window": 0.3},
 "models": ["std-4core"],
 "obligations": {"answer_slack_ms": 20, "ask_within_ms": 10000, "cold_from": 0.24, "fall_ms": 1500, "overload_factor": 3,
  "ramp_time_ms": 15000, "stop_sending_within_ms": 1000},
 "over_share_worth": 0.1, "period_ms": 5,
 "policy_limits": {"conn_idle_ms": 15000, "connect_timeout_ms": 250, "cpu_us_per_request": 0, "cpu_us_per_s": 400000,
  "max_open": 20000, "max_retry_after_ms": 2000, "may_cancel": true, "most_tries": 8, "multiplex": 1,
  "parallel_tries": true, "peers": false, "probes": true, "retry_after": true},
 "projects": [],
 "report": {"fields": ["x0", "x1", "inflight", "util"], "how": "on_probe"},
 "request_classes": [
  {"name": "browse", "aim_ms": 300, "deadline_ms": 1000, "effect": "idempotent", "group": "all", "late_share": 0.2, "stream": false, "window_ms": 5000, "worth": 1},
  {"name": "my-library", "aim_ms": 300, "deadline_ms": 750, "effect": "idempotent", "group": "all", "late_share": 0, "stream": false, "window_ms": 5000, "worth": 3},
  {"name": "report", "aim_ms": 7500, "deadline_ms": 15000, "effect": "idempotent", "group": "all", "late_share": 0.2, "stream": false, "window_ms": 5000, "worth": 4},
  {"name": "donate", "aim_ms": 1000, "deadline_ms": 2000, "effect": "at_most_once", "group": "all", "late_share": 0.3, "stream": false, "window_ms": 5000, "worth": 3}],
 "tier": 0, "tiers": ["catchup-db"], "weight_kind": "nominal", "worth_by": "request"}`

// sessionPool is the operator's file with the front for pooled sessions.
const sessionPool = `
sessions {
  listen = "%s"
  pool "apps" {
    mode              = "transaction"
    size              = 8
    read_only         = "browse"
    read_write        = "donate"
    selects_read_only = true
    group             = 1
  }
}
`
