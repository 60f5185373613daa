# The fleet's policy: docs/operations/policy.md says what each key means. Checked with
#   bramblewharf policy check examples/policy.hcl --config examples/gateway.json
workload "lookup" {
  executions = 3
}

alone {
  workload "lookup" {}
}
