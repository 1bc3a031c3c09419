#!/bin/sh
# Checks that the stand-ins of cases 4 to 6 can be loaded.  They use the
# standard library of Python 3.11 only, so that there is nothing to build; the
# programs are built by the build of the deploy file.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c 'import standins_2.deployment, standins_2.endpoint_process'
