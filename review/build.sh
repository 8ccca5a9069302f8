#!/bin/sh
# Builds the stand-ins that the scripts start, into the folder that the deploy file's
# build uses too.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
