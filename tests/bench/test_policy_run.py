"""Tests of the policy bench."""

from __future__ import annotations

import attrs
import pytest
from testtools import assertions
from testtools import matchers

from lovageyoke.bench import policy_model
from lovageyoke.bench import policy_report
from lovageyoke.bench import policy_run
from lovageyoke.routing import registry

NANNY = policy_model.DEPLOYMENTS["nanny"]
COMBINED = policy_model.SCENARIOS["combined"]


@pytest.fixture
def short_run(monkeypatch):
    monkeypatch.setattr(policy_run, "WARMUP_MS", 200.0)
    monkeypatch.setattr(policy_run, "EVENT_MS", 400.0)
    monkeypatch.setattr(policy_run, "DURATION_MS", 4_200.0)
    small = attrs.evolve(NANNY, upstreams=6)

    def run(policy="pool", seed=1):
        return policy_run.PolicyRun(small, COMBINED, policy, seed).run()

    return run


@pytest.mark.parametrize("policy", registry.NAMES)
def test_no_late_work_reaches_a_draining_upstream(short_run, policy):
    result = short_run(policy)
    assertions.assert_that(result.late_work, matchers.Equals(0))
    assertions.assert_that(result.requests, matchers.GreaterThan(1_000))


def test_same_seed_gives_the_same_result(short_run):
    first, second, other = short_run(), short_run(), short_run(seed=2)
    assertions.assert_that(first, matchers.Equals(second))
    assertions.assert_that(
        first.p50_ms, matchers.Not(matchers.Equals(other.p50_ms))
    )


def test_run_that_exceeds_the_budget_is_refused(short_run, monkeypatch):
    monkeypatch.setattr(policy_run, "max_in_window", lambda times_ms: 1_000_000)
    with pytest.raises(policy_run.BudgetExceededError):
        short_run()


def test_window_counts_are_half_open():
    most = policy_run.max_in_window([0.0, 999.0, 1_000.0, 1_500.0, 3_000.0])
    assertions.assert_that(most, matchers.Equals(3))


def test_page_and_json_hold_each_summary(short_run, tmp_path):
    summary = policy_report.summarize([short_run()])
    page = policy_report.write_page(tmp_path, "Title", [summary], ["a.png"])
    text = page.read_text()
    for cell in policy_report.to_row(summary):
        assertions.assert_that(text, matchers.Contains(cell))
    assertions.assert_that(
        policy_report.to_json([summary]), matchers.Contains('"seeds"')
    )
