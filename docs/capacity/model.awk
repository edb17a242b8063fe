# Fills the page's template with figures of the bench and what follows of them.
#
# awk -f model.awk figures.json template.md: prints the page. A name in double
# braces is a figure of the model below; an unknown one ends it with an error.

function take(line) {
  sub(/^[^:]*: "?/, "", line)
  sub(/"?,?$/, "", line)
  return line
}

function row(figure, variant) {
  if (!((figure, variant) in value)) {
    printf "model.awk: no row '%s' '%s'\n", figure, variant > "/dev/stderr"
    failed = 1
    return 0
  }
  return value[figure, variant]
}

function model() {
  daemons = 420; databases = 600; callers = 3100000; statements = 130000
  edits = 440; seconds_a_day = 86400
  f["callers_each"] = callers / daemons
  f["statements_each"] = statements / daemons
  f["homes_mean"] = databases / daemons
  f["homes_most"] = row("homes-most", "vms=420 databases=600")
  f["statements_db"] = statements / databases
  f["statements_home_most"] = f["statements_db"] * f["homes_most"]
  f["links_home_most"] = f["homes_most"] * 75

  f["core_bytes"] = row("caller-memory", "decision core, idle")
  f["socket_bytes"] = row("memory, one idle caller", "both socket ends")
  f["callers_mb"] = f["callers_each"] * (f["core_bytes"] + f["socket_bytes"]) / 1e6

  f["local_us"] = row("added processor time, one read", "through vm-1")
  f["forward_us"] = row("added processor time, one read", "through vm-2")
  f["fleet_cores"] = statements * f["forward_us"] / 1e6
  f["daemon_core_percent"] = 100 * f["fleet_cores"] / daemons
  f["home_most_percent"] = f["statements_home_most"] * f["forward_us"] / 1e4

  f["control_cpu"] = row("control-cpu", "vms=420 gossip")
  f["control_kb"] = row("control-bytes", "vms=420 gossip")
  f["control_mb"] = row("control-memory", "vms=420 gossip")
  f["control_kb_100"] = row("control-bytes", "vms=100 gossip")
  f["control_kb_all"] = row("control-bytes", "vms=420 all to all")
  f["control_over"] = f["control_kb"] / 7
  f["store_reads_control"] = row("store-reads-of-fleet", "vms=420 gossip")
  f["store_reads_down"] = row("store-reads-of-fleet", "vms=420 gossip, store down")
  f["store_reads_groups"] = daemons * 2
  f["store_reads_all"] = f["store_reads_control"] + f["store_reads_groups"]

  f["rules_kb"] = row("rules-size", "databases=600")
  f["rules_ms"] = row("rules-parse", "databases=600")
  f["rules_mb"] = row("rules-memory", "databases=600")
  f["rules_kbs"] = f["rules_kb"] * edits / seconds_a_day
  f["rules_cpu"] = f["rules_ms"] * edits / 10 / seconds_a_day
  f["control_kb_sum"] = f["control_kb"] + f["rules_kbs"]

  f["gap_bengal"] = row("failover gap worst", "bengal, primary cut off with two VMs")
  f["gap_hanoi"] = row("failover gap worst", "hanoi, primary cut off with two VMs")
  f["force_420"] = row("config-in-force-everywhere", "vms=420 push")
  f["accepted_420"] = row("config-accepted", "vms=420 push")
}

FNR == NR && /"figure":/ { figure = take($0) }
FNR == NR && /"value":/ { number = take($0) }
FNR == NR && /"variant":/ { value[figure, take($0)] = number }
FNR == NR { next }
FNR == 1 { model() }
{
  while (match($0, /\{\{[a-z0-9_]+\}\}/)) {
    name = substr($0, RSTART + 2, RLENGTH - 4)
    if (!(name in f)) {
      printf "model.awk: unknown figure '%s'\n", name > "/dev/stderr"
      failed = 1
      f[name] = 0
    }
    $0 = substr($0, 1, RSTART - 1) sprintf("%.4g", f[name]) substr($0, RSTART + RLENGTH)
  }
  print
}
END { exit failed }
