#!/bin/sh
# Lays the companions that a play of our own sites needs beside them, from the
# operators' kit, whose folder is the first argument; git ignores them.
# docs/sites.md, "Playing a site of our own".
set -eu
kit=${1:?usage: deploy/sites/companions.sh KIT}
here=$(dirname "$0")
for companion in real.json wire.json unlock.txt; do
	cp -f "$kit/sites/$companion" "$here/$companion"
	chmod u+w "$here/$companion"
done
