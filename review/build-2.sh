#!/bin/sh
# Builds the stand-ins of review 2 into target/review-2, after the build line of
# deploy/system.toml, whose libraries it links.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rm -f target/review-2/*.o
flags="-O1 -g -std=c++20 -Wall -Wextra -Wno-missing-field-initializers -I. -Isrc -isystem src/wire/gen -DFMT_SHARED"
for source in review/standin-2/*.cc fake/fleet/key_store.cc fake/platform/base64.cc; do
  object="target/review-2/$(basename "$source" .cc).o"
  ${CXX:-c++} $flags -c "$source" -o "$object" &
  objects="$objects $object"
done
wait
${CXX:-c++} $objects -o target/review-2/harness.new target/libkch_net.a \
  target/libkch_base.a -lfmt -lhttp_parser -lcurl -lzmq -lpopt -llog4cplus \
  -lprometheus-cpp-core -lcrypto -lpthread
mv target/review-2/harness.new target/review-2/harness
