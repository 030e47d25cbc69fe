"""Tests of the single-file executable, which ``make binary`` builds."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest
from testtools import assertions
from testtools import matchers

import lovageyoke
from lovageyoke.cli import exits

BINARY = pathlib.Path(__file__).parents[2] / "dist" / "lovageyoke"
PATH = f"{pathlib.Path(sys.executable).parent}:/usr/bin:/bin"
GOOD = """
[entry]
entry_id = "entry-1"
failure_domain = "dk-east-a"

[platform]
url = "http://127.0.0.1:9000"

[peers]
keys = ["0123456789abcdef"]
"""


@pytest.fixture
def run(tmp_path):
    def run(*arguments):
        return subprocess.run(
            [BINARY, *arguments],
            capture_output=True,
            text=True,
            check=False,
            env={"PATH": PATH, "SHIV_ROOT": str(tmp_path)},
        )

    return run


def test_the_binary_prints_its_version(run):
    result = run("version")
    expected = lovageyoke.__version__ + "\n"
    assertions.assert_that(result.stdout, matchers.Equals(expected))


def test_the_binary_checks_settings(run, tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(GOOD)
    good = run("settings", "check", str(path))
    path.write_text(GOOD + "[log]\nlevel = 'loud'\n")
    bad = run("settings", "check", str(path))
    assertions.assert_that(good.returncode, matchers.Equals(0))
    assertions.assert_that(
        bad.returncode, matchers.Equals(exits.ExitCode.INVALID_INPUT)
    )
    assertions.assert_that(bad.stderr, matchers.Contains("log.level: 'loud'"))
