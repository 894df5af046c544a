#!/bin/bash
# A plain worker's answer to a reward call arrives a second time, late. TROUBLE=0 leaves that out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/catkindeck-node ] && [ -x target/review-2/deck ] || exit 2
exec target/review-2/deck repeated-answer review/8/record.txt
