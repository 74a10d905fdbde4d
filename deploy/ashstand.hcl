# The operator's file. On the platform all of it is off; docs/operators.md says what each key means.
log {
  level  = "info" # debug, info, warn, error
  format = "text" # text (key=value), json
}

admin {
  listen = "" # unix:PATH or a loopback address: where ashstand hosts, sessions and config show ask
}

# The Flight SQL front.
flight {
  listen      = "" # such as "127.0.0.1:31337"
  connections = 64 # clients at once; each may have 64 requests under way
  host_types  = [] # hosts whose type in discovery's list is one of these are reached over Flight SQL
}

# The front for transaction and session pooling.
sessions {
  listen = "" # such as "127.0.0.1:6432"
}

# What was learned, kept across restarts. The platform has no disk that outlives a pooler.
state {
  folder = "" # the absolute path of a folder
}

# The other poolers. The platform's may not talk to each other.
cluster {
  listen = "" # such as "10.0.0.4:7946"
}
