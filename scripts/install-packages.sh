#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests, the formatter and the linter need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl jq python3
    libcxxtools-dev libnng-dev prometheus-cpp-dev liblog4cxx-dev libcxxopts-dev libexpected-dev
    libboost1.81-dev libboost-url1.81-dev libspdlog-dev libfmt-dev librapidcheck-dev
    libcpputest-dev libxxhash-dev nlohmann-json3-dev libvalijson-dev)
missing=()
for name in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'ok installed' || missing+=("$name")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
