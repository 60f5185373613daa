#!/bin/sh
# Builds the stand-ins and the cases of the second review, after the build of deploy/balancer.toml. Needs no
# network: the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/standins-2/main.rs
