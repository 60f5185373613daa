# For trying it out: texts up to 64 MiB, beyond 256 KiB each in files below /tmp.
bodies {
  largest = "64 MiB"
  memory {
    each = "256 KiB"
    pool = "4 MiB"
  }
  files {
    dir  = "/tmp"
    each = "64 MiB"
    pool = "512 MiB"
  }
}
