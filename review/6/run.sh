#!/bin/sh
# A planned change of the primary loses acknowledged writes of a service without
# syncReplicas.
cd "$(dirname "$0")" && exec python3 release.py
