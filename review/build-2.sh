#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. The programs of the
# project are built with the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig-2 ./review/rig-2
