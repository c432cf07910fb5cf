#!/bin/sh
# 0: the rule held; 1: it was broken; 2: the case could not run.
cd "$(dirname "$0")" || exit 2
python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
