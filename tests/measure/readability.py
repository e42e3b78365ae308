"""Counts readability problems by package: python tests/measure/readability.py [TREE]

Counted in each package of the program are identifiers with a withdrawn word (docs/ARCHITECTURE.md has the
terms that replace them), uses of `Any`, functions over 40 lines, classes over 30 methods, files over 500
lines, public modules, classes and functions without a docstring, assignments to several targets at once, and
errors of `mypy --strict`. TREE is the root of a checkout, this one by default.
"""

import ast
import collections
import io
import re
import subprocess
import sys
import tokenize
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
FUNCTION_LINES_MAX = 40
CLASS_METHODS_MAX = 30
FILE_LINES_MAX = 500
# Words withdrawn as any part of an identifier, and words withdrawn only as a whole identifier.
WITHDRAWN_PARTS = set(
    "told whole held room ask asks asked look looks looked looking hear hears heard wish kept ban bans "
    "banned life lives crowd crowds rests word words worth trouble rumour".split()
)
WITHDRAWN_NAMES = set(
    "own up out gone cold able given ahead top dice due most share again late born began aim listed said "
    "put".split()
)
COLUMNS = ("words", "Any", "functions", "classes", "files", "docstrings", "targets", "strict")


def packages(tree: Path) -> dict[str, list[Path]]:
    program = next(path for name in ("api_gateway", "calicomast") if (path := tree / name).is_dir())
    files_by_package: dict[str, list[Path]] = collections.defaultdict(list)
    for path in sorted(program.rglob("*.py")):
        parts = path.relative_to(program).parts
        files_by_package[parts[0] if len(parts) > 1 else "(top)"].append(path)
    return files_by_package


def is_withdrawn(identifier: str) -> bool:
    parts = identifier.lower().split("_")
    return identifier.lower() in WITHDRAWN_NAMES or bool(WITHDRAWN_PARTS & set(parts))


def count_tokens(text: str) -> collections.Counter[str]:
    names = [
        token.string
        for token in tokenize.generate_tokens(io.StringIO(text).readline)
        if token.type == tokenize.NAME
    ]
    return collections.Counter(
        words=sum(map(is_withdrawn, names)),
        Any=names.count("Any"),
    )


def count_shapes(text: str) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    tree = ast.parse(text)
    counts["files"] += len(text.splitlines()) > FILE_LINES_MAX
    counts["docstrings"] += ast.get_docstring(tree) is None
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            counts["functions"] += (node.end_lineno or node.lineno) - node.lineno + 1 > FUNCTION_LINES_MAX
        elif isinstance(node, ast.ClassDef):
            methods = [n for n in node.body if isinstance(n, ast.FunctionDef | ast.AsyncFunctionDef)]
            counts["classes"] += len(methods) > CLASS_METHODS_MAX
        elif isinstance(node, ast.Assign):
            counts["targets"] += any(isinstance(target, ast.Tuple) for target in node.targets)
    counts["docstrings"] += sum(1 for _ in without_docstring(tree))
    return counts


def without_docstring(node: ast.Module | ast.ClassDef):
    for item in node.body:
        if not isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            continue
        if item.name.startswith("_"):
            continue
        if ast.get_docstring(item) is None:
            yield item
        if isinstance(item, ast.ClassDef):
            yield from without_docstring(item)


def strict_errors(tree: Path) -> collections.Counter[str]:
    program = next(name for name in ("api_gateway", "calicomast") if (tree / name).is_dir())
    command = [
        sys.executable,
        "-m",
        "mypy",
        "--strict",
        "--config-file",
        "",
        "--ignore-missing-imports",
        program,
    ]
    lines = subprocess.run(command, cwd=tree, capture_output=True, text=True).stdout.splitlines()
    counts: collections.Counter[str] = collections.Counter()
    for line in lines:
        if match := re.match(rf"{program}/(?:(\w+)/)?[\w/]+\.py:\d+: error", line):
            counts[match[1] or "(top)"] += 1
    return counts


def main() -> None:
    tree = Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT
    strict = strict_errors(tree)
    total: collections.Counter[str] = collections.Counter()
    print(f"{'':18}{'lines':>8}", *(f"{name:>10}" for name in COLUMNS))
    for package, files in sorted(packages(tree).items()):
        counts = collections.Counter(strict=strict[package], lines=0)
        for path in files:
            text = path.read_text()
            counts += count_tokens(text) + count_shapes(text)
            counts["lines"] += len(text.splitlines())
        total += counts
        print(f"{package:18}{counts['lines']:8}", *(f"{counts[name]:10}" for name in COLUMNS))
    print(f"{'all':18}{total['lines']:8}", *(f"{total[name]:10}" for name in COLUMNS))


if __name__ == "__main__":
    main()
