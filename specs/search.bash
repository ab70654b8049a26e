# Functions of the checks that search a specification with Spin; sourced by them.
# The caller sets $specification.

build_dir="$(mktemp -d)"
trap 'rm -rf "$build_dir"' EXIT
failures=0

# Usage: search NAME OPTIMIZATION DEFINES...; sets $errors and prints the result in one line.
search() {
    local name="$1" optimization="$2"
    shift 2
    mkdir "$build_dir/$name"
    cd "$build_dir/$name"
    spin "$@" -a "$specification"
    gcc -w "$optimization" -DSAFETY -DMEMLIM=12000 -o pan pan.c
    # The exit status of pan does not show whether the search was complete; its report does.
    ./pan -m100000 -w25 >report 2>&1 || true
    errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' report)"
    if grep -q 'Search not completed\|max search depth too small\|out of memory' report &&
        [ "${errors:-0}" = 0 ]; then
        errors=""
    fi
    local states seconds
    states="$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' report)"
    seconds="$(sed -n 's/^pan: elapsed time \([0-9.]*\) seconds.*/\1/p' report)"
    printf '%-24s %12s states %8s s  errors: %s\n' \
        "$name" "${states:-?}" "${seconds:-?}" "${errors:-search not completed}"
    cd - >/dev/null
}

expect_pass() {
    search "$@"
    if [ "$errors" != 0 ]; then
        echo "  the correct specification must pass" >&2
        cat "$build_dir/$1/report" >&2
        failures=$((failures + 1))
    fi
}

expect_assertion() {
    search "$@"
    if [ -z "$errors" ] || [ "$errors" = 0 ] ||
        ! grep -q 'assertion violated' "$build_dir/$1/report"; then
        echo "  the broken variant must violate an assertion" >&2
        failures=$((failures + 1))
    fi
}

# Ends a check; its argument is its name.
finish_check() {
    if [ "$failures" -gt 0 ]; then
        echo "$1: $failures of the searches did not end as expected" >&2
        exit 1
    fi
    echo "$1: passed"
}
