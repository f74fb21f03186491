#!/usr/bin/env bash
# Plays the case; exits with 1 if a rule was broken, 0 if all held and 2 if it couldn't run. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standins ] && [ -x ../../target/carobthreadd ] || { echo "build first: the deploy file's build line and review/build.sh"; exit 2; }
exec ../bin/standins fractional-weights ../.. record.txt
