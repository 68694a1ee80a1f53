#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." && mkdir -p bin && go build -o bin/review-standin-2 ./review/standin-2
