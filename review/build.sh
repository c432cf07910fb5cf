#!/bin/sh
# Builds the stand-ins that the cases start. They are plain Python of the
# standard library, so that compiling them is all there is to do.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins
