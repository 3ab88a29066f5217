#!/bin/sh
# A call of the old process ends during an upgrade. TROUBLE=0: the same without the upgrade.
here=$(dirname "$0")
exec "$here/../common/run.sh" "$here"
