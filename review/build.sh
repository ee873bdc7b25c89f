#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs: all that they
# need is in target/deps, which the deploy file's build makes.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q review pimentowick/fakes
PYTHONPATH=target/deps:. python3 -c "import pimentowick.fakes.platform_store"
