#!/bin/bash
# Installs the Debian packages that the build and the checks need. Does nothing if all are present.
set -eu
packages=(
  g++ make cmake ninja-build pkg-config ccache clang clang-format clang-tidy libclang-rt-14-dev python3
  python3-aiohttp
  libulfius-dev libnng-dev libpopt-dev liblog4cplus-dev libboost1.81-dev nlohmann-json3-dev
  libvalijson-dev librapidcheck-dev libgtest-dev libgmock-dev gnuplot-nox
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
