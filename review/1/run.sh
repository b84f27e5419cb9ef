#!/usr/bin/env bash
# A model replica crashes while it streams items whose answers have no length.
exec "$(dirname "$0")/../run-case.sh" cutstream "$(dirname "$0")"
