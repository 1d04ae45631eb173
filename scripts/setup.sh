#!/bin/sh
# Installs the named Debian packages that are missing. Silent when none is.
set -eu
missing=
for package in "$@"; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
		grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "setup: installing$missing"
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
