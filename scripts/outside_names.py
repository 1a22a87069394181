#!/usr/bin/env python3
"""Lists the names that leave the process, for docs/design/outside-names.txt.

Usage:  scripts/outside_names.py [--kinds] [REVISION]

Reads the tree of REVISION, or the work tree, and prints one name a line:
  - what the protocol files declare;
  - every string literal of the product's code that has no space, cut at slashes,
    and each NAME of "NAME=" within a longer literal;
  - flags, subcommands and environment variables of the tools in tests/ and bench/,
    options of the scripts, keys of the deploy file, programs and test names that
    the build declares, and the words that scenario files use.
Sentences of log lines are left out but for those that a script matches.
--kinds prints "kind: name" instead, and the count of each kind on standard error.
"""
import argparse
import collections
import re
import subprocess
import sys

# Comments, include lines and character literals match without a group.
LITERAL = re.compile(
    r'//[^\n]*|/\*.*?\*/|\#[ \t]*include[^\n]*|R"(?P<d>\w*)\((?P<raw>.*?)\)(?P=d)"'
    r"|'(?:\\.|[^'\\\n])+'|\"(?P<str>(?:\\.|[^\"\\\n])*)\"", re.S)
NAME = re.compile(r"[A-Za-z_][\w.:-]*\w|[A-Za-z_]")


class Tree:
    """Files of a revision, or of the work tree."""

    def __init__(self, revision):
        self.revision = revision
        command = (["git", "ls-tree", "-r", "--name-only", revision] if revision
                   else ["git", "ls-files", "-co", "--exclude-standard"])
        self.names = subprocess.run(command, check=True, capture_output=True,
                                    text=True).stdout.splitlines()

    def files(self, pattern):
        return [f for f in self.names if re.search(pattern, f)]

    def text(self, file):
        if not self.revision:
            with open(file, errors="replace") as stream:
                return stream.read()
        return subprocess.run(["git", "show", f"{self.revision}:{file}"], check=True,
                              capture_output=True, text=True, errors="replace").stdout


def protocol_names(text):
    text = re.sub(r"//[^\n]*", "", text)
    for _, name in re.findall(r"\b(message|enum|package|oneof)\s+([\w.]+)", text):
        yield "protocol type", name
    for name in re.findall(r"\b([A-Za-z_]\w*)\s*=\s*\d+\s*;", text):
        yield "protocol value" if name.isupper() else "protocol field", name


def kind_of(literal, before, after, file):
    """What a literal is, by its shape and by the code around it."""
    if re.search(r"getenv\(\s*$", before) or re.fullmatch(r"CELERYBEAM_[A-Z_]+", literal):
        return "environment variable"
    if re.search(r"\b(debug|info|warning|error)\(\s*$", before):
        return "log message"
    if literal.startswith("celerybeam_") or "metrics" in file.lower():
        return "metric or label"
    if literal.startswith("/"):
        return "path"
    if re.fullmatch(r"[A-Za-z][A-Za-z0-9]*(-[A-Za-z0-9]+)+", literal) and (
            re.match(r"[Xx]-|[A-Z]", literal) or "eader" in before):
        return "header"
    if re.search(r"\.(toml|yaml|json|pem|key|conf)$", literal):
        return "file name"
    if (re.match(r"\s*,\s*(po::|options::)?(value|bool_switch)|\s*,\s*\"", after)
            and (file.endswith("main.cpp") or "/ctl/" in file)) or (
                "/ctl/" in file and re.search(r"==\s*$|\{\s*$", before)):
        return "flag, subcommand or column"
    if re.search(r"ettings|toml", file):
        return "settings key"
    if re.search(r"\breturn\s*$|case [^:]*:\s*$|==\s*$|\?\s*$|:\s*$", before):
        return "word of a value"
    if re.search(r"\{\s*$", before) and re.match(r"\s*,", after):
        return "log field or JSON member"
    if re.search(r"\[\s*$|(contains|find|at|value|get\w*)\(\s*$", before):
        return "JSON member or table key"
    return "store key or path" if "/" in literal else "other literal"


def product_names(text, file):
    for match in LITERAL.finditer(text):
        literal = match.group("raw") if match.group("str") is None else match.group("str")
        if literal is None:
            continue
        if match.group("raw") is not None or re.search(r"\s", literal):
            for part in re.findall(r"\b([A-Za-z_]\w*)=", literal):
                yield "member of a text", part
            continue
        before = text[max(0, match.start() - 60):match.start()]
        after = text[match.end():match.end() + 30]
        kind = kind_of(literal, before, after, file)
        for part in re.split(r"\\.|[/?=,{}\[\]()<>#@+|;&*'%]+", literal):
            part = part.strip("-:.")
            if len(part) > 1 and kind != "log message" and NAME.fullmatch(part):
                yield kind, part


def tool_names(tree):
    for file in tree.files(r"^(tests|bench|fuzz)/.*main\.cpp$"):
        for name in re.findall(r"\(\s*\"([a-z][a-z-]*)\",", tree.text(file)):
            yield "flag of a test tool", name
    for file in tree.files(r"^(tests|bench|fuzz)/.*\.(cpp|h)$"):
        for name in re.findall(r"getenv\(\"(\w+)\"", tree.text(file)):
            yield "environment variable", name
    for file in tree.files(r"^(scripts|tests/process)/.*\.sh$|^\.ci/run$"):
        text = re.sub(r"(?m)^\s*#.*$", "", tree.text(file))
        for name in re.findall(r"--([a-z][a-z-]+)", text):
            yield "option of a script or tool", name
        for name in re.findall(r"\$\{?([A-Z][A-Z_]+)\b", text):
            yield "environment variable", name
    for file in tree.files(r"^scripts/(?!outside_names).*\.py$"):
        for name in re.findall(r"add_argument\(\"--([a-z-]+)\"", tree.text(file)):
            yield "option of a script or tool", name
    for file in tree.files(r"^scenarios/.*\.(scn|toml)$"):
        text = re.sub(r"(?m)^\s*#.*$|\"[^\"\n]*\"", "", tree.text(file))
        for name in re.findall(r"(?m)^(?:at \S+ |within \S+ )*([a-z][a-z-]+)|\b([a-z][a-z_-]+)=",
                               text):
            yield "word of scenario files", name[0] or name[1]
    for file in tree.files(r"^deploy/.*\.toml$|^examples/.*\.toml$"):
        for name in re.findall(r"(?m)^\s*\[*([a-z_]+)", tree.text(file)):
            yield "settings key", name
    for file in tree.files(r"CMakeLists\.txt$"):
        for name in re.findall(r"add_executable\((celerybeam[\w-]*)", tree.text(file)):
            yield "program", name


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--kinds", action="store_true", help="print the kind of each name")
    parser.add_argument("revision", nargs="?", default="", help="else the work tree")
    options = parser.parse_args()
    tree = Tree(options.revision)
    found = {}
    for file in tree.files(r"^src/.*\.proto$"):
        for kind, name in protocol_names(tree.text(file)):
            found.setdefault(name, kind)
    for file in tree.files(r"^(src|platform)/.*\.(cpp|h)$"):
        if "/tests/" not in file and ".pb." not in file:
            for kind, name in product_names(tree.text(file), file):
                found.setdefault(name, kind)
    for kind, name in tool_names(tree):
        found.setdefault(name, kind)
    found.setdefault("Request ended.", "log message that a script matches")
    for name in sorted(found, key=lambda n: (found[n], n) if options.kinds else n):
        print(f"{found[name]}: {name}" if options.kinds else name)
    if options.kinds:
        for kind, count in sorted(collections.Counter(found.values()).items()):
            print(f"{count:5} {kind}", file=sys.stderr)


if __name__ == "__main__":
    main()
