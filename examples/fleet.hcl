# The operators' settings of one gateway of three that share a budget; docs/operations/fleet.md says what each key means.
fleet {
  name     = "maps"
  key_file = "/etc/bramblewharf/fleet.key"
  listen   = "127.0.0.1:7200"
  places   = 3
  place    = 0
  seats    = ["127.0.0.1:7200", "127.0.0.1:7201", "127.0.0.1:7202"]
  seat     = 0
  lease    = "2s"
  status   = "/run/bramblewharf/fleet.json"
}

budget "acme" {
  customer      = "acme"
  at_once       = "statements"
  whole         = 40
  floor_percent = 25
}

# Executions after a statement's first, of all gateways together.
budget "further" {
  further       = true
  per_second    = "statements"
  whole         = 20
  burst         = "2s"
}
