#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not be played. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-rig ] && [ -x target/marjoramtiller-platform ] || exit 2
exec target/review-rig -record "$here/record.txt" reborn
