#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
# Does nothing if all of them are there.
set -euo pipefail

packages=(
  clang-format
  clang-tidy
  cmake
  g++
  git
  libabsl-dev
  libboost-dev
  libboost-log-dev
  libboost-thread-dev
  libcppunit-dev
  libfmt-dev
  libhttp-parser-dev
  libnghttp2-dev
  librestinio-dev
  libsodium-dev
  libxxhash-dev
  make
  ninja-build
  nlohmann-json3-dev
  python3
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

root=()
[ "$(id -u)" -eq 0 ] || root=(sudo)
"${root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${root[@]}" apt-get install -y -qq "${missing[@]}"
