#!/usr/bin/env bash
# Makes docs/SETTINGS.md from the programs' own --help.
set -euo pipefail
cd "$(dirname "$0")/.."
{
  echo "# Settings"
  echo
  echo "Made by \`tools/make_settings.sh\` from each program's \`--help\`. A flag \`--name=value\` goes before the environment"
  echo "variable \`LAUREL_NAME\`. A bad setting ends the start with code 2, naming the flag, the value and the remedy."
  for program in laurel-entry laurel-platform-entry laurel-steward laurelctl laurel-burn laurel-load laurel-standin laurel-soak laurel-bench; do
    echo; echo "## $program"; echo; echo '```'
    "build/release/bin/$program" --help
    echo '```'
  done
} >docs/SETTINGS.md
