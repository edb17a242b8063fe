#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/run-scenario" sync-drain "$(dirname "$0")"
