#!/usr/bin/env bash
# Checks the format of every handwritten source and runs clang-tidy on every handwritten translation unit.
# A source whose content, included headers and configuration passed before is skipped; `--all` checks all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}

mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' ':!Schema/*')
clang-format --dry-run --Werror "${sources[@]}"
python3 - "$build" "${1:-}" <<'PY'
"""Runs clang-tidy in parallel and remembers which inputs passed, keyed by the digest of the preprocessed source."""
import concurrent.futures, hashlib, json, os, pathlib, shlex, subprocess, sys

build, option = sys.argv[1], sys.argv[2]
root = pathlib.Path.cwd()
cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "chicorydock-tidy"
cache.mkdir(parents=True, exist_ok=True)
folders = ("Libraries", "platform", "Services", "Utilities", "Benchmarks", "Tests")
units = [unit for unit in json.load(open(f"{build}/compile_commands.json"))
         if pathlib.Path(unit["file"]).is_relative_to(root)
         and pathlib.Path(unit["file"]).relative_to(root).parts[0] in folders]
configuration = open(".clang-tidy", "rb").read()


def check(unit):
    words = [word for word in shlex.split(unit["command"]) if not word.endswith("ccache")]
    words[words.index("-o") + 1] = "-"
    words[words.index("-c")] = "-E"
    text = subprocess.run(words, cwd=unit["directory"], capture_output=True).stdout
    marker = cache / hashlib.sha256(configuration + text.replace(str(root).encode(), b"")).hexdigest()
    if marker.exists() and option != "--all":
        return 0, ""
    run = subprocess.run(["clang-tidy", "-p", build, "--quiet", unit["file"]], capture_output=True, text=True)
    if run.returncode == 0:
        marker.touch()
    return run.returncode, run.stdout if run.returncode else ""


failed = 0
with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
    for code, text in pool.map(check, units):
        failed += code != 0
        if code:
            print(text)
print(f"clang-tidy: {len(units)} translation units, {failed} with findings")
sys.exit(failed != 0)
PY
