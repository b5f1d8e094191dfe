#!/bin/sh
# The cases use the stand-ins of standins/*.py and scripts/lib/*.py, which need no build. Checks that they load and
# that the build of the deploy file is there.
cd "$(dirname "$0")/.." || exit 1
python3 -B -c "import sys; sys.path.insert(0, 'review/common'); import deployment" || exit 1
for program in oriole-control oriole-flow-balancer oriole-flow-agent; do
  test -x "target/daemons/$program" || { echo "target/daemons/$program is missing: run the build of deploy/system.toml"; exit 1; }
done
