#!/bin/bash
# Builds the stand-ins of this review's scripts. They are Python, like the project's own
# that they use (pimentowick/fakes/platform_store.py), so that it is enough that all of
# them can be imported with the packages of the deploy file's build.
set -e
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root"
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$root/target/deps:$root:$root/review/standins-2"
python3 -c "import harness"
python3 -c "import ast, pathlib; ast.parse(pathlib.Path('review/standins-2/replica.py').read_text())"
