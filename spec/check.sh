#!/usr/bin/env bash
# Checks the models of the specification with spin. Each model must hold as it
# is, and must fail with each of its faults enabled, which shows that the check
# can detect the fault. Prints one line for each check, and exits with status 1
# if a result differs from the expected one. With arguments, it runs only the
# checks whose entry in the list contains one of them.
set -uo pipefail
spec=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search SECONDS COMMAND... runs a search and interrupts it after SECONDS of
# processor time, upon which it prints what it has found. With a limit in wall
# time, the result would depend on the load of the machine.
search() {
  local limit=$1 ticks used pid
  shift
  ticks=$(getconf CLK_TCK)
  "$@" 2>&1 &
  pid=$!
  while used=$(awk '{print $14 + $15}' "/proc/$pid/stat" 2>/dev/null) && [ -n "$used" ]; do
    if [ "$used" -ge $((limit * ticks)) ]; then
      kill -INT "$pid" 2>/dev/null
      break
    fi
    sleep 0.2
  done
  wait "$pid"
}

# check MODEL MODE WANT FLAGS... runs one check. MODE is full, hashed (bitstate
# hashing, which may miss states) or liveness; WANT is holds or fails.
check() {
  local model=$1 mode=$2 want=$3
  shift 3
  local dir name out states got cc run limit
  name="$model${*:+ $*}"
  dir=$(mktemp -d -p "$work")
  cd "$dir" || return 1
  case $mode in
  full) cc="-DSAFETY -DNOREDUCE -DCOLLAPSE" run="-E -m2000000 -w24" ;;
  hashed) cc="-DSAFETY -DNOREDUCE -DBITSTATE" run="-E -m100000 -w30 -k2" ;;
  liveness) cc="-DNFAIR=3" run="-a -f -m2000000" ;;
  esac
  # shellcheck disable=SC2086
  if ! { spin "$@" -a "$spec/$model.pml" && gcc -w -O2 $cc -DMEMLIM=1500 -o pan pan.c; } >build 2>&1; then
    cat build
    echo "$name: does not build" | tee "$dir/unexpected"
    return
  fi
  # A hashed check that finds no error within the limit is reported as "holds as
  # far as searched". A check that must fail ends at the first error, so its limit
  # is higher.
  [ "$want" = fails ] && limit=180 || limit=45
  # shellcheck disable=SC2086
  out=$(search $limit ./pan $run)
  states=$(grep -oE '[0-9.e+]+ states, stored' <<<"$out" | head -1)
  if grep -qE 'errors: [1-9]' <<<"$out"; then
    got=fails
  elif grep -q 'errors: 0' <<<"$out" && ! grep -q 'Search not completed' <<<"$out"; then
    got=holds
  elif grep -q 'errors: 0' <<<"$out" && [ "$mode" = hashed ]; then
    got="holds as far as searched"
  else
    got="not completed"
  fi
  echo "$name: ${states:-no states}, $mode, $got"
  [ "${got%% as*}" = "$want" ] || echo "  expected: $want" | tee "$dir/unexpected"
  rm -f pan pan.* build
}

checks=(
  "claim full holds -DFIRST=1 -DCRASHES=1"
  "claim full holds -DFIRST=2 -DSECOND=2 -DCRASHES=0"
  "claim hashed holds -DFIRST=2 -DCRASHES=1"
  "claim hashed holds -DFIRST=1 -DCRASHES=2"
  "claim full fails -DFIRST=1 -DONEGRANT"
  "claim full fails -DFIRST=1 -DNOCOVER"
  "claim full fails -DFIRST=1 -DNOFENCE"
  "claim full fails -DCRASHES=0 -DNONUMBER"
  "claim full fails -DCRASHES=0 -DFORGET"
  "claim full fails -DCRASHES=0 -DLATE"
  "claim hashed fails -DNOCONTEST"
  "lists hashed holds"
  "lists full fails -DNOVERSION"
  "lists full fails -DNOPULL"
  "lists hashed fails -DNOLEARN"
  "lists hashed fails -DCLOSEEARLY"
  "lease full holds"
  "lease full holds -DCOLD=1"
  "lease full holds -DCOLD=2"
  "lease full fails -DNOWAIT"
  "lease full fails -DNOSTART"
  "lease full fails -DRECEIPT"
  "lease full fails -DNOPLUS"
  "fresh full holds"
  "fresh full fails -DRECEIPT"
  "fresh full fails -DONEPEER"
  "fresh full fails -DNOEXPIRY"
  "fresh full fails -DNOVERSIONS"
  "version full holds"
  "version full fails -DADOPTANY"
  "version full fails -DNOPEERS"
  "progress liveness holds"
  "progress liveness fails -DNORELEASE"
  "progress liveness fails -DNOANSWER"
)
chosen() {
  local word
  [ $# -eq 1 ] && return 0
  for word in "${@:2}"; do [[ $1 == *"$word"* ]] && return 0; done
  return 1
}
for c in "${checks[@]}"; do
  chosen "$c" "$@" || continue
  # Four checks at once need less than 6 GB of memory and half of the cores.
  while [ "$(jobs -rp | wc -l)" -ge 4 ]; do wait -n; done
  # shellcheck disable=SC2086
  check $c &
done
wait
if [ -n "$(find "$work" -name unexpected)" ]; then
  echo "the specification does not hold as expected"
  exit 1
fi
