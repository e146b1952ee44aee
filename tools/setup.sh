#!/usr/bin/env bash
# Installs what building and testing need, from Debian's packages. Run as root on Debian 12.
set -euo pipefail
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
  g++ cmake ninja-build ccache clang-format clang-tidy curl ca-certificates python3 git \
  libboost-dev libboost-system-dev libwebsocketpp-dev libgflags-dev libgoogle-glog-dev \
  librapidcheck-dev libgtest-dev nlohmann-json3-dev libpugixml-dev libvalijson-dev libxxhash-dev libssl-dev \
  >/dev/null
