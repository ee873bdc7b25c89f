#!/usr/bin/env bash
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:. python3 review/3/drive.py
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
