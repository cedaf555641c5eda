#!/usr/bin/env bash
# Builds the stand-ins of the cases into build-review/. The programs under
# review are those in target/, built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -DCMAKE_BUILD_TYPE=RelWithDebInfo > build-review.log 2>&1 || {
  cat build-review.log >&2
  exit 1
}
rm -f build-review.log
cmake --build build-review -j6 --target kch_net kch_base
objects=()
for source in review/standin/*.cc fake/fleet/key_store.cc fake/platform/base64.cc; do
  object=build-review/review-$(basename "$source" .cc).o
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -DASIO_HAS_STD_ALIGNED_ALLOC=1 -I. -Isrc -Ireview/standin \
    -c "$source" -o "$object" &
done
for job in $(jobs -p); do
  wait "$job"
done
g++ "${objects[@]}" -o build-review/review-case \
  build-review/libkch_net.a build-review/libkch_base.a \
  -lfmt -lhttp_parser -lcurl -lzmq -lpopt -llog4cplus -lcrypto \
  -lprometheus-cpp-core -lpthread
