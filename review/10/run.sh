#!/usr/bin/env bash
# Runs case 10: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/standins ] || [ ! -x target/carobthreadd ]; then
  echo "the stand-ins or the daemon are not built" >&2
  exit 2
fi
exec target/review-2/standins 10 review/10
