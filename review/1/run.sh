#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/run-scenario" fresh-route "$(dirname "$0")"
