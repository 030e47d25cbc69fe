#!/usr/bin/env bash
# Puts the process and the libraries that it loads under target/deps.
#
# target/deps is a link to a complete build. It is replaced in one step, as
# processes may start while the system is built.
set -euo pipefail
cd "$(dirname "$0")/.."
umask 022
KEPT_BUILDS=3  # Processes that are starting may still load an earlier one.

digest() {
  sha256sum | cut -c1-16
}

# Moves a complete directory to its final name, unless it is there already.
publish() {
  chmod 755 "$1"
  mv -T "$1" "$2" 2>/dev/null || rm -rf "$1"
  [ -d "$2" ]
}

mkdir -p target/libraries target/builds
# Libraries with native code are of no use to another machine or interpreter.
libraries=target/libraries/$({
  uname -m
  python3 --version
  cat deploy/requirements.txt requirements.lock
} | digest)
if [ ! -d "$libraries" ]; then
  new=$(mktemp -d target/libraries/new.XXXXXX)
  python3 -m pip install --quiet --target "$new" \
    --constraint requirements.lock -r deploy/requirements.txt
  publish "$new" "$libraries"
fi

sources() {
  find src/lovageyoke -name '*.py' | LC_ALL=C sort
}
build=target/builds/$({
  echo "$libraries"
  sources
  sources | xargs cat
} | digest)
if [ ! -d "$build" ]; then
  new=$(mktemp -d target/builds/new.XXXXXX)
  cp -R "$libraries/." "$new"
  cp -R src/lovageyoke "$new/lovageyoke"
  python3 -m compileall -q "$new"
  publish "$new" "$build"
fi
touch "$build"

# A directory can't be replaced by a link in one step.
if [ ! -L target/deps ] && [ -d target/deps ]; then
  rm -rf target/deps
fi
if [ "$(readlink target/deps || true)" != "builds/${build##*/}" ]; then
  link=$(mktemp -u target/deps.XXXXXX)
  ln -s "builds/${build##*/}" "$link"
  mv -T "$link" target/deps
fi
find target/builds -mindepth 1 -maxdepth 1 -printf '%T@ %p\n' | sort -rn |
  tail -n +$((KEPT_BUILDS + 1)) | cut -d' ' -f2- | xargs -r rm -rf
