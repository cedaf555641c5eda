#!/bin/sh
# Builds the stand-ins and scripts of the third review, from the project's
# sources, into target/review-3. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cmake -S review/standin-3 -B target/review-3 -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-3 -j"${KCH_JOBS:-6}"
