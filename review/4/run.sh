#!/usr/bin/env bash
# A model replica crashes while it answers streams that have no length.
exec "$(dirname "$0")/../run-case.sh" cutlive "$(dirname "$0")"
