"""Runs the examples of docs/CLI.md."""

from __future__ import annotations

import os
import pathlib
import re
import shlex

import pytest
from testtools import assertions
from testtools import matchers
from typer import testing

from fakes import operator_server
from lovageyoke.cli import main

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CLI.md"
FILE = re.compile(r"`([\w.-]+)`:\n\n```toml\n(.*?)```", re.S)
CONSOLE = re.compile(r"```console\n(.*?)```", re.S)


def examples():
    """Returns pairs of command and expected output, in order."""
    found = []
    for block in CONSOLE.findall(PAGE.read_text()):
        for part in block.split("$ ")[1:]:
            command, _, output = part.partition("\n")
            found.append((command, output))
    return found


@pytest.fixture
def invoke(tmp_path, monkeypatch):
    for name, text in FILE.findall(PAGE.read_text()):
        (tmp_path / name).write_text(text)
    monkeypatch.chdir(tmp_path)
    runner = testing.CliRunner()
    with operator_server.running() as address:
        environment = {
            "LOVAGEYOKE_OPERATOR": address,
            "LOVAGEYOKE_TOKEN": operator_server.TOKEN,
            "COLUMNS": "80",
        }
        monkeypatch.setattr(os, "environ", os.environ | environment)
        yield lambda args: runner.invoke(main.app.APP, args, env=environment)


def test_examples_print_what_the_page_says(invoke):
    wrong = []
    exit_code = 0
    for command, expected in examples():
        program, *args = shlex.split(command)
        if program == "echo":
            printed = f"{exit_code}\n"
        else:
            result = invoke(args)
            exit_code = result.exit_code
            printed = result.output
        shown = "\n".join(line.rstrip() for line in printed.splitlines())
        if shown != expected.rstrip():
            wrong.append((command, shown))
    assertions.assert_that(wrong, matchers.Equals([]))
    assertions.assert_that(len(examples()), matchers.GreaterThan(9))


def test_unreachable_entry_has_its_own_exit_code(invoke):
    result = invoke(["status", "--server", "http://127.0.0.1:1"])
    assertions.assert_that(result.exit_code, matchers.Equals(6))
