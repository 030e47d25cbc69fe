"""Tests of the bench commands' arguments."""

from __future__ import annotations

import json

import pytest
from typer import testing

from lovageyoke.bench import policy_run
from lovageyoke.cli import app
from lovageyoke.cli import bench_policy
from lovageyoke.cli import bench_probe_curve

COMMANDS = (bench_policy, bench_probe_curve)


@pytest.fixture
def run_command(monkeypatch):
    monkeypatch.setattr(policy_run, "WARMUP_MS", 50.0)
    monkeypatch.setattr(policy_run, "DURATION_MS", 200.0)

    def run(*arguments):
        return testing.CliRunner().invoke(app.APP, ["bench", *arguments])

    return run


@pytest.mark.parametrize("option", ["deployment", "scenario", "policy"])
def test_unknown_names_are_refused_by_option(run_command, option):
    result = run_command("policy", f"--{option}", "elsewhere")
    assert result.exit_code == 2
    assert f"--{option}" in result.output
    assert "elsewhere" in result.output


def test_json_holds_one_summary_for_each_combination(run_command):
    arguments = ("--deployment", "nanny", "--scenario", "steady")
    result = run_command("policy", *arguments, "--seeds", "1", "--json")
    assert result.exit_code == 0
    policies = [each["policy"] for each in json.loads(result.output)]
    assert len(policies) == len(set(policies)) == 5


def test_curve_covers_both_deployments(run_command):
    result = run_command("probe-curve", "--seeds", "1", "--json")
    assert result.exit_code == 0
    deployments = {each["deployment"] for each in json.loads(result.output)}
    assert deployments == {"kridtpladsen", "nanny"}
