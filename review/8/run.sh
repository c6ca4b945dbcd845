#!/bin/sh
# A VM that is cut off from the other VMs lends a tenant's limit a second time.
cd "$(dirname "$0")" && exec python3 quota.py
