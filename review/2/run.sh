#!/usr/bin/env bash
# Replicas send second copies of refusals late.
exec "$(dirname "$0")/../run-case.sh" latecopy "$(dirname "$0")"
