#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/run-scenario" drain-busy "$(dirname "$0")"
