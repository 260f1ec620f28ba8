#!/bin/sh
# usage: run.sh; TROUBLE=0 leaves the disruption out.  Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
folder=$(CDPATH= cd "$(dirname "$0")" && pwd)
program=case-4
. "$folder/../standins/run.sh"
