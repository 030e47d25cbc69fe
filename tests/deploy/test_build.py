"""Processes may start at any time while the system is built."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig

import pytest
from testtools import matchers
from testtools.assertions import assert_that

ROOT = pathlib.Path(__file__).parents[2]
BASH = shutil.which("bash") or "bash"
BUILDS = 6
# Installs the libraries of this environment in place of pip.
PYTHON = """#!/bin/sh
if [ "$2" = pip ]; then
  cp -R {libraries}/attr {libraries}/attrs {libraries}/cbor2 \\
    {libraries}/httptools "$6"
else
  exec {python} "$@"
fi
"""


class Tree:
    """A copy of the files that a build needs."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.environment = {
            **os.environ,
            "PATH": f"{path / 'bin'}:{os.environ['PATH']}",
        }

    def change(self, number: int) -> None:
        module = self.path / "src/lovageyoke/node/assembly.py"
        with module.open("a", encoding="utf-8") as file:
            file.write(f"\nBUILD = {number}\n")

    def build(self) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [BASH, "deploy/build.sh"], cwd=self.path, env=self.environment
        )

    def start(self) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-S", "-c", "import lovageyoke.node.assembly"],
            cwd=self.path,
            env={**self.environment, "PYTHONPATH": "target/deps"},
        )


@pytest.fixture
def tree(tmp_path: pathlib.Path) -> Tree:
    ignored = shutil.ignore_patterns("__pycache__")
    for name in ("deploy", "src"):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=ignored)
    shutil.copy(ROOT / "requirements.lock", tmp_path)
    python = tmp_path / "bin" / "python3"
    python.parent.mkdir()
    libraries = sysconfig.get_path("platlib")
    python.write_text(PYTHON.format(libraries=libraries, python=sys.executable))
    python.chmod(0o755)
    return Tree(tmp_path)


def test_processes_start_while_the_system_is_built(tree: Tree) -> None:
    assert_that(tree.build().wait(), matchers.Equals(0))
    codes = []
    for number in range(BUILDS):
        tree.change(number)
        build = tree.build()
        while build.poll() is None:
            codes.append(tree.start().wait())
        assert_that(build.returncode, matchers.Equals(0))
    assert_that(set(codes), matchers.Equals({0}))


def test_a_build_without_changes_replaces_nothing(tree: Tree) -> None:
    tree.build().wait()
    before = os.readlink(tree.path / "target/deps")
    tree.build().wait()
    after = os.readlink(tree.path / "target/deps")
    assert_that(after, matchers.Equals(before))


def test_a_directory_of_an_earlier_build_script_is_replaced(
    tree: Tree,
) -> None:
    (tree.path / "target/deps/lovageyoke").mkdir(parents=True)
    assert_that(tree.build().wait(), matchers.Equals(0))
    assert_that(tree.start().wait(), matchers.Equals(0))
