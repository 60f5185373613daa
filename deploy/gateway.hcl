# The operators' own settings of a gateway: bramblewharf serve --settings deploy/gateway.hcl
# What is left out has the default shown. What the platform states stands in its JSON configuration, not here.

bodies {
  # The largest text of a statement that is taken. 64 KiB are what every statement may have; nothing below matters until this
  # is more. On the platform it stays so: files count as memory there, and clients send no such texts.
  largest = "64 KiB"

  # A text beyond the ordinary size may come as slowly as so many bytes a second.
  slowest = "64 KiB"

  # Where neither memory nor files have room to keep a text: "stream" it through to one engine, once, or "reject" it.
  not_kept = "stream"

  # Of one text, and of all together. The pool is set apart from limits.memory_mb.
  memory {
    each = "1 MiB"
    pool = "8 MiB"
  }

  # files {
  #   dir       = "/var/spool/bramblewharf"  # a folder of its own is made below it
  #   each      = "64 MiB"
  #   pool      = "1 GiB"
  #   count     = 64      # files at once: so many descriptors are set apart from limits.sockets
  #   threads   = 2
  #   zstd      = false
  #   in_memory = false   # true where dir is a memory-backed file system: its files count in the memory pool too
  # }

  # workload "load" {
  #   not_kept = "reject"
  # }
}

# A fleet whose gateways share budgets: off unless there is a block. examples/fleet.hcl has one, docs/operations/fleet.md every key.
# On the platform it stays off: its page allows datagrams between gateways only where the deployment does, and at its own addresses.
# fleet { ... }                                # fleet.policy names the fleet's first policy: docs/operations/policy.md
# budget "NAME" { ... }
