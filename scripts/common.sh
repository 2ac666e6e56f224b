# Shared by the scripts in this folder: paths, and the packages of a fresh Debian 12 machine.
# Sourced, not run.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build_dir=${PEARBARROW_BUILD_DIR:-$root/build}

# Checkouts in several folders share what ccache holds: paths are kept relative to the checkout.
export CCACHE_BASEDIR=$root
export CCACHE_NOHASHDIR=1

packages=(
    g++ cmake ninja-build ccache pkg-config clang clang-format clang-tidy libclang-rt-14-dev python3
    libboost-dev libabsl-dev libspdlog-dev libfmt-dev libcli11-dev libtomlplusplus-dev
    nlohmann-json3-dev libmsgpack-cxx-dev libcriterion-dev librocksdb-dev libxxhash-dev libzstd-dev
    prometheus-cpp-dev libssl-dev librapidcheck-dev gnuplot-nox
)

step() {
    printf '\n== %s\n' "$*"
}

install_packages() {
    local missing=()
    local package
    for package in "${packages[@]}"; do
        dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
            missing+=("$package")
    done
    if [ ${#missing[@]} -eq 0 ]; then
        return
    fi
    step "installing ${missing[*]}"
    local as_root=()
    if [ "$(id -u)" -ne 0 ]; then
        as_root=(sudo)
    fi
    "${as_root[@]}" apt-get update -q
    "${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
        apt-get install -y -q --no-install-recommends "${missing[@]}"
}

# configure DIRECTORY [cmake options]; the output is shown only when it fails.
configure() {
    local directory=$1
    shift
    cmake -S "$root" -B "$directory" -G Ninja "$@" >"$directory.configure.log" 2>&1 || {
        cat "$directory.configure.log"
        return 1
    }
}

# build DIRECTORY [cmake options and ninja targets after --]
build() {
    local directory=$1
    shift
    local options=()
    while [ $# -gt 0 ] && [ "$1" != -- ]; do
        options+=("$1")
        shift
    done
    [ $# -gt 0 ] && shift
    step "building in $directory"
    configure "$directory" "${options[@]}"
    ninja -C "$directory" "$@"
}
