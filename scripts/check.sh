#!/usr/bin/env bash
# Formatter, linter, imports check and layout check; the tests run by the README's command.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== formatter"
cargo fmt --all -- --check

echo "== linter"
cargo clippy --workspace --all-targets --locked -- -D warnings

echo "== imports: one a line"
if git ls-files '*.rs' | grep -v /generated/ | xargs grep -nE '^\s*(pub(\([a-z]+\))? )?use [^;]*\{'; then
  echo "more than one name in a use line" >&2
  exit 1
fi

echo "== tests live in test files"
if git ls-files '*.rs' | grep -vE '(^|/)tests/' | xargs grep -nE '#\[cfg\(test\)\]|#\[test\]'; then
  echo "a test outside tests/" >&2
  exit 1
fi
echo "checks passed"
