#!/usr/bin/env bash
source "$(dirname "${BASH_SOURCE[0]}")/../common/run.sh"
