#!/bin/sh
# Plays days of deployments with several variants of the policies, paired by
# seed, and prints a table of differences from the first variant with their
# standard error, and, if gnuplot is installed, a plot.  Plays that a results
# file already has are not repeated, so that a run that was cut resumes.
#
# usage: rounds.sh --bench PROGRAM --out DIRECTORY --site FILE...
#                  --day NAME... [--seed N...] [--jobs N]
#                  --variant NAME[=REVISION][:POLICY]...
#
# A variant is the work tree, or a revision of it; POLICY is the name of a row
# of src/state/policy.c.
set -eu

fail ()
{
  echo "rounds: $*" >&2
  exit 2
}

bench="" out="" sites="" days="" seeds="" variants="" jobs=2
while [ $# -gt 0 ]; do
  option=$1
  [ $# -ge 2 ] || fail "$option needs a value"
  value=$2
  shift 2
  case $value in
    *[[:space:]]*) fail "$option: '$value' contains white space" ;;
  esac
  case $option in
    --bench) bench=$value ;;
    --out) out=$value ;;
    --site) [ -r "$value" ] || fail "--site: cannot read $value"
            sites="$sites $(realpath "$value")" ;;
    --day) case $value in
             *.toml) [ -r "$value" ] || fail "--day: cannot read $value" ;;
           esac
           days="$days $value" ;;
    --seed) case $value in
              *[!0-9]*) fail "--seed: '$value' is not a number" ;;
            esac
            seeds="$seeds $value" ;;
    --jobs) case $value in
              *[!0-9]* | 0) fail "--jobs: '$value' is not a positive number" ;;
            esac
            jobs=$value ;;
    --variant) variants="$variants $value" ;;
    *) fail "unknown option $option" ;;
  esac
done
[ -x "$bench" ] || fail "--bench: cannot run '$bench'"
[ -n "$out" ] || fail "--out is missing"
[ -n "$sites" ] && [ -n "$days" ] && [ -n "$variants" ] \
  || fail "--site, --day and --variant are needed"
[ -n "$seeds" ] || seeds=default
root=$(git rev-parse --show-toplevel) || fail "not in a work tree"
names=""
for variant in $variants; do
  name=${variant%%[=:]*}
  case " $names " in
    *" $name "*) fail "--variant: '$name' is given twice" ;;
  esac
  names="$names $name"
  revision=""
  case $variant in
    *=*) revision=${variant#*=}
         revision=${revision%%:*}
         git rev-parse --quiet --verify "$revision^{commit}" > /dev/null \
           || fail "--variant $name: no revision '$revision'" ;;
  esac
  case $variant in
    *:*) grep -q "\"${variant##*:}\"" "$root/src/state/policy.c" 2> /dev/null \
           || fail "--variant $name: src/state/policy.c has no" \
                   "policy '${variant##*:}'" ;;
  esac
done

mkdir -p "$out"
out=$(realpath "$out")
results=$out/results
touch "$results"

# A copy of the tree without its journal, built by the bench at its first play.
copy_tree ()
{
  variant=$1
  tree=$out/${variant%%[=:]*}
  [ -d "$tree" ] && return
  mkdir "$tree"
  case $variant in
    *=*) revision=${variant#*=}
         git -C "$root" archive "${revision%%:*}" | tar -x -C "$tree" ;;
    *) (cd "$root" && git ls-files -z --cached --others --exclude-standard \
          | grep -zv '^journal/' | xargs -0 cp --parents -t "$tree") ;;
  esac
  case $variant in
    *:*) sed -i "s/^CFLAGS = /&-DPOLICY_NAME='\"${variant##*:}\"' /" \
           "$tree/Makefile" ;;
  esac
  rm -rf "$tree/journal"
  (cd "$tree" && git init -q . && git add -A \
     && git -c user.name=rounds -c user.email=rounds@localhost \
            commit -q -m "$variant" && "$bench" build) > "$tree.log" 2>&1 \
    || fail "$variant does not build, see $tree.log"
}

# One play; its line is "variant site day seed worth", and "in-time" shares.
play ()
{
  name=$1 site=$2 day=$3 seed=$4
  file=$out/$name.$(basename "$site" .toml).$(basename "$day" .toml).$seed
  set -- run "$site" "$day" --why "rounds: $name"
  [ "$seed" = default ] || set -- "$@" --seed "$seed"
  # A play that was cut has no table.
  grep -q '^class ' "$file" 2> /dev/null \
    || (cd "$out/$name" && "$bench" "$@") > "$file" 2>&1 || true
  awk -v name="$name" -v site="$(basename "$site" .toml)" \
      -v day="$(basename "$day" .toml)" -v seed="$seed" '
    /^day / { table = 1; next }
    table == 1 && NF > 4 { worth = $4; table = 2; broken = /BROKEN/ }
    /^class / { table = 3; next }
    table == 3 && NF < 9 { table = 4 }
    table == 3 { asked += $2; timely += $3
                 classes = classes " " $1 "=" (($2 > 0) ? $3 / $2 : 0) }
    END { if (worth == "") worth = "failed"
          printf "%s %s %s %s %s %.4f %s%s\n", name, site, day, seed, worth,
                 (asked > 0 ? timely / asked : 0),
                 (broken ? "BROKEN" : "kept"), classes }' "$file" >> "$results"
}

for variant in $variants; do
  copy_tree "$variant"
done
running=0
for site in $sites; do
  for day in $days; do
    for seed in $seeds; do
      for name in $names; do
        grep -q "^$name $(basename "$site" .toml) $(basename "$day" .toml) $seed [0-9]" \
          "$results" && continue
        play "$name" "$site" "$day" "$seed" &
        running=$((running + 1))
        if [ "$running" -ge "$jobs" ]; then
          wait
          running=0
        fi
      done
    done
  done
done
wait

awk -v first="${names# }" '
  BEGIN { split (first, order, " "); base = order[1] }
  $5 == "failed" { failed[$1]++; next }
  { key = $2 " " $3 " " $4; worth[$1, key] = $5; timely[$1, key] = $6
    names[$1]; keys[key]; day[key] = $2 " " $3; days[$2 " " $3]
    if ($7 == "BROKEN") broken[$1]++ }
  function row(name, group,  key, n, sum, squares, d, all, timely_sum) {
    n = sum = squares = all = timely_sum = 0
    for (key in keys) {
      if ((group != "" && day[key] != group) || !((name, key) in worth) \
          || !((base, key) in worth)) continue
      d = worth[name, key] - worth[base, key]
      n++; sum += d; squares += d * d; all += worth[name, key]
      timely_sum += timely[name, key]
    }
    if (n == 0) return
    printf "%-18s %-34s %3d  %.3f  %+.3f  %.3f  %.3f\n", name,
           (group == "" ? "all" : group), n, all / n, sum / n,
           (n > 1 ? sqrt ((squares - sum * sum / n) / (n - 1) / n) : 0),
           timely_sum / n
  }
  END {
    print "variant            day                                  n  worth   diff  error  in time"
    for (i = 1; i in order; i++) {
      for (group in days) row(order[i], group)
      row(order[i], "")
      if (order[i] in broken) print order[i] ": rules broken in " broken[order[i]] " plays"
      if (order[i] in failed) print order[i] ": " failed[order[i]] " plays failed"
    }
  }' "$results" | tee "$out/table"

if command -v gnuplot > /dev/null; then
  awk '$1 != "variant" && $2 != "all" && NF == 8 { print $1, $2 "/" $3, $5 }' \
    "$out/table" > "$out/plot.data"
  gnuplot -e "set terminal svg; set output '$out/worth.svg'; set ylabel 'worth';
    set xtics rotate by -30; set style data points; set key off;
    plot '$out/plot.data' using 0:3:xtic(sprintf('%s %s', stringcolumn(1), stringcolumn(2)))"
else
  echo "rounds: gnuplot is not installed, no plot" >&2
fi
