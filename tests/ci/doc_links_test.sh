#!/usr/bin/env bash
# Checks what the pages cite against the tree, so that a page can't go on naming what was moved or renamed:
#   links      every relative link of a page leads to a file, and to a heading there if it names one
#   paths      every path below src, tests, deploy, docs or .ci, and every source file, that a page names in backticks exists
#   functions  every `Type::member` in backticks stands in the sources: a file that declares Type, a class or namespace, has the member
#   names      every identifier, test (`Suite.Test`) and hyphenated name in backticks stands in the sources, or names a scenario
#   warnings   docs/on-call.md lists every warning and error that the sources log, and no other; its lines at info are logged
# doc_links_test.sh [ROOT] CASE; without a case all of them. Prints FILE:LINE: FAULT for each fault, exit code 1 if there is any.
#
# Pages that tell of runs of the past (PAGES_OF_THE_PAST below) keep the names that were true then: only their links are checked.
set -euo pipefail

root="$(cd "$(dirname "$0")/../.." && pwd)"
if [[ -d "${1:-}" ]]; then
  root="$(cd "$1" && pwd)"
  shift
fi

exec python3 - "$root" "$@" <<'PYTHON'
import functools
import pathlib
import re
import sys

ROOT = pathlib.Path(sys.argv[1])
SOURCE_FOLDERS = ("src", "tests")
NAMED_FOLDERS = ("src", "tests", "deploy", ".ci")
NAMED_FILES = ("setup", "CMakeLists.txt")
PATH_FOLDERS = ("src", "tests", "deploy", "docs", ".ci")
PAGES_OF_THE_PAST = ("docs/incidents/*", "docs/design/concurrent-faults-days.md")
ON_CALL_PAGE = ROOT / "docs" / "on-call.md"

LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
CODE = re.compile(r"`([^`]+)`")
PATH = re.compile(r"^(?:%s)/[\w./*-]+$" % "|".join(re.escape(folder) for folder in PATH_FOLDERS))
SOURCE_FILE = re.compile(r"^[\w./-]+\.(?:h|cpp|sh)$")
MEMBER = re.compile(r"^([A-Za-z_][\w]*(?:::~?[A-Za-z_]\w*)+)(?:\(\))?$")
WORD = re.compile(r"[A-Za-z_]\w*")
IDENTIFIER = re.compile(r"^(?:\w+_\w+|\w*[a-z][A-Z]\w*)(?:\(\))?$")
TEST = re.compile(r"^[A-Z]\w*\.[A-Z]\w*$")
HYPHENATED = re.compile(r"^[a-z][a-z0-9]*(?:-[a-z0-9]+)+$")
# Counters that the program puts together from two parts.
COMPOSED_COUNTER = re.compile(r"^(?:wait_\w+_ms|\w+_slowest_ms|\w+_refused|\w+_bad)$")
STYLES = {"CamelCase", "snake_case", "kCamelCase"}
# A log call: the function, then the level where it is chosen at run time, then the text; adjacent literals are one text.
LOG_CALL = re.compile(r"spdlog::(debug|info|warn|error|critical|log)\(([^;\"]*?)((?:\"(?:\\.|[^\"\\])*\"\s*)+)", re.S)
LITERAL = re.compile(r"\"((?:\\.|[^\"\\])*)\"")


def pages():
    found = sorted((ROOT / "docs").rglob("*.md")) + sorted(ROOT.glob("*.md")) + sorted((ROOT / "tests").rglob("*.md"))
    return [page for page in found if page.is_file()]


def is_historical(page):
    return any(page.relative_to(ROOT).match(pattern) for pattern in PAGES_OF_THE_PAST)


def lines_of(page):
    """The page's lines with their numbers, without those of fenced blocks."""
    is_fenced = False
    for number, line in enumerate(page.read_text().splitlines(), 1):
        if line.lstrip().startswith("```"):
            is_fenced = not is_fenced
        elif not is_fenced:
            yield number, line


def fault(page, number, text):
    return f"{page.relative_to(ROOT)}:{number}: {text}"


def anchor_of(heading):
    kept = re.sub(r"[^\w\- ]", "", heading.strip().lower().replace("`", ""))
    return kept.replace(" ", "-")


@functools.cache
def anchors_of(page):
    return {anchor_of(line.lstrip("#")) for _, line in lines_of(page) if line.startswith("#")}


def check_links():
    for page in pages():
        for number, line in lines_of(page):
            for target in LINK.findall(line):
                if re.match(r"[a-z]+:", target):
                    continue
                path, _, anchor = target.partition("#")
                linked = (page.parent / path).resolve() if path else page
                if not linked.exists():
                    yield fault(page, number, f"link to {target}: no such file")
                elif anchor and linked.suffix == ".md" and anchor not in anchors_of(linked):
                    yield fault(page, number, f"link to {target}: no such heading")


@functools.cache
def tree():
    return ["/" + str(file.relative_to(ROOT)) for folder in PATH_FOLDERS for file in (ROOT / folder).rglob("*")]


def is_there(path):
    # A module is named without its suffix: src/node/relay is relay.h with relay.cpp.
    return any(list(ROOT.glob(path.rstrip("/") + suffix)) for suffix in ("", ".h", ".cpp"))


def check_paths():
    for page in pages():
        if is_historical(page):
            continue
        for number, line in lines_of(page):
            for code in CODE.findall(line):
                if "NAME" in code:
                    continue
                if PATH.match(code) and not is_there(code):
                    yield fault(page, number, f"`{code}`: no such path")
                elif SOURCE_FILE.match(code) and not any(path.endswith("/" + code) for path in tree()):
                    yield fault(page, number, f"`{code}`: no such file")


@functools.cache
def words_where_declared(scope):
    """The words of each source file that declares a type or a namespace of this name."""
    declares = re.compile(r"\b(?:class|struct|namespace) (?:\w+::)*%s\b(?!;)" % scope)
    texts = (file.read_text() for folder in SOURCE_FOLDERS for file in sorted((ROOT / folder).rglob("*.h*"))
             + sorted((ROOT / folder).rglob("*.cpp")))
    return [set(WORD.findall(re.sub(r"//.*", "", text))) for text in texts if declares.search(text)]


def check_functions():
    for page in pages():
        if is_historical(page):
            continue
        for number, line in lines_of(page):
            for code in CODE.findall(line):
                cited = MEMBER.match(code)
                if not cited or code.startswith("std::"):
                    continue
                scope, member = cited.group(1).split("::")[-2:]
                files = words_where_declared(scope)
                if not files:
                    yield fault(page, number, f"`{code}`: no source file declares {scope}")
                elif not any(member.lstrip("~") in words for words in files):
                    yield fault(page, number, f"`{code}`: no file that declares {scope} has {member}")


@functools.cache
def words_of_tree():
    files = [file for folder in NAMED_FOLDERS for file in (ROOT / folder).rglob("*")] + [ROOT / name for name in NAMED_FILES]
    # Comments of scenarios are pages too: they show nothing.
    text = "\n".join(re.sub(r"^#.*", "", file.read_text(errors="replace"), flags=re.M if file.suffix == ".txt" else 0)
                     for file in files if file.is_file())
    words = set(WORD.findall(text))
    hyphenated = set(re.findall(r"[a-z][a-z0-9]*(?:-[a-z0-9]+)+", text))
    hyphenated.update(file.stem for file in (ROOT / "tests" / "scenarios").glob("*.txt"))
    return words, hyphenated


def is_known_name(code):
    words, hyphenated = words_of_tree()
    if IDENTIFIER.match(code):
        name = code.removesuffix("()")
        return name in words or name in STYLES or bool(COMPOSED_COUNTER.match(name))
    if TEST.match(code):
        return all(part in words for part in code.split("."))
    return not HYPHENATED.match(code) or code in hyphenated


def check_names():
    for page in pages():
        if is_historical(page):
            continue
        for number, line in lines_of(page):
            for code in CODE.findall(line):
                if not is_known_name(code):
                    yield fault(page, number, f"`{code}`: no such name in {', '.join(NAMED_FOLDERS)}")


def may_warn(function, level):
    """Whether the call may log a warning or an error: by its name, or by a level that is not only info and debug."""
    if function != "log":
        return function in ("warn", "error", "critical")
    return "level::warn" in level or "level::err" in level or "level::" not in level


@functools.cache
def logged_texts():
    """File, line, text and whether it may be a warning of every log call; an ellipsis stands for each value."""
    texts = []
    for file in sorted((ROOT / "src").rglob("*.cpp")):
        source = file.read_text()
        for call in LOG_CALL.finditer(source):
            function, level, literals = call.groups()
            text = "".join(LITERAL.findall(literals)).replace('\\"', '"')
            number = source.count("\n", 0, call.start()) + 1
            texts.append((file, number, re.sub(r"\{[^}]*\}", "…", text), may_warn(function, level)))
    return texts


def listed_texts(section):
    """Line and text of each first column in the section of the on-call page."""
    is_listed = False
    for number, line in lines_of(ON_CALL_PAGE):
        if line.startswith("## "):
            is_listed = line == "## " + section
        elif is_listed and line.startswith("| `"):
            for text in CODE.findall(line.split(" | ")[0]):
                yield number, text


def check_warnings():
    warnings = {text: number for number, text in listed_texts("Warnings and errors")}
    for file, number, text, is_warning in logged_texts():
        if is_warning and text not in warnings:
            yield fault(file, number, f"docs/on-call.md lacks this warning or error: `{text}`")
    for text, number in warnings.items():
        if not any(text == logged and is_warning for _, _, logged, is_warning in logged_texts()):
            yield fault(ON_CALL_PAGE, number, f"`{text}`: no such warning or error in the sources")
    for number, text in listed_texts("Notable lines at info"):
        if not any(text == logged for _, _, logged, _ in logged_texts()):
            yield fault(ON_CALL_PAGE, number, f"`{text}`: no such log line in the sources")


CASES = {"links": check_links, "paths": check_paths, "functions": check_functions, "names": check_names,
         "warnings": check_warnings}

chosen = sys.argv[2:] or list(CASES)
unknown = [case for case in chosen if case not in CASES]
if unknown:
    sys.exit(f"doc_links_test.sh: unknown case {unknown[0]}; known: {', '.join(CASES)}")
faults = [text for case in chosen for text in CASES[case]()]
print("\n".join(faults) if faults else "no fault found in " + ", ".join(chosen))
sys.exit(1 if faults else 0)
PYTHON
