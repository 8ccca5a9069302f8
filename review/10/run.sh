#!/bin/bash
# Plays the case "reserved" of the second review; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-rig-2 -record review/10/record.txt reserved
