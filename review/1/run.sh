#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] && [ -f target/myrtleladder-dataplane.jar ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec java -Xmx256m -cp target/review review.CutConfiguration . review/1/record.txt
