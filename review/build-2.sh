#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8 into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in late_beat drain_crash surplus versions first_part take_up; do
    cc -std=gnu11 -O1 -Wall -o "target/review-2/$case" "review/stage-2/$case.c" \
        review/stage-2/stage.c -lpthread
done
