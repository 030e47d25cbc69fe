"""The history of a request is reconstructed from the logs of processes."""

from __future__ import annotations

import json
import pathlib

from testtools import matchers
from testtools.assertions import assert_that
import typer.testing

from lovageyoke.cli import app
from lovageyoke.cli import main  # noqa: F401
from lovageyoke.explain import timeline


def line(wall_ms: int, vm: str, event: str, **fields: object) -> str:
    raw = {"wall_ms": wall_ms, "vm": vm, "event": event, **fields}
    return f"  3.2 {vm} " + json.dumps(raw)


LOG = [
    line(100, "n1", "configuration", version=7),
    line(150, "n2", "configuration", version=8),
    line(170, "n1", "upstream-silent", upstream="u1"),
    line(180, "n1", "upstream-silent", upstream="u9"),
    line(
        300,
        "n1",
        "request",
        request="r1",
        outcome="upstream-reset",
        story=["send u1 at=0", "upstream-reset u1 at=20"],
    ),
    line(350, "n1", "configuration", version=9),
    "a line that is no event",
    "{broken",
]


def test_a_timeline_shows_the_state_of_its_process() -> None:
    found = timeline.explain(timeline.parse(LOG), "r1")
    assert_that(
        found,
        matchers.Equals(
            [
                "  believed for 200 ms: 100 n1 configuration version=7",
                "  believed for 130 ms: 170 n1 upstream-silent upstream=u1",
                "300 n1 request outcome=upstream-reset",
                "    send u1 at=0",
                "    upstream-reset u1 at=20",
            ]
        ),
    )


def test_a_timeline_shows_the_evacuations_in_force() -> None:
    log = [
        line(100, "n1", "evacuation-begun", domain="a"),
        line(110, "n1", "evacuation-begun", domain="b"),
        line(120, "n1", "evacuation-ended", domain="a"),
        line(300, "n1", "request", request="r1", outcome="no-upstream"),
    ]
    found = timeline.explain(timeline.parse(log), "r1")
    believed = "  believed for 190 ms: 110 n1 evacuation-begun domain=b"
    assert_that(found[:-1], matchers.Equals([believed]))


def test_the_limiting_of_the_account_is_shown() -> None:
    log = [
        line(100, "n1", "quota-limited", account="mill", per_s=2.0),
        line(110, "n1", "quota-limited", account="loom", per_s=3.0),
        line(120, "n1", "quota-limiting-ended", account="loom"),
        line(300, "n1", "refused", request="r1", account="mill"),
    ]
    found = timeline.explain(timeline.parse(log), "r1")
    expected = [
        "  believed for 200 ms: 100 n1 quota-limited account=mill per_s=2.0",
        "300 n1 refused account=mill",
    ]
    assert_that(found, matchers.Equals(expected))


def test_a_timeline_shows_whether_an_upstream_was_cold() -> None:
    log = [
        line(100, "n1", "upstream-cold", upstream="u1", cold_ms=90),
        line(110, "n1", "upstream-cold", upstream="u2", cold_ms=90),
        line(200, "n1", "upstream-warm", upstream="u2"),
        line(
            300,
            "n1",
            "request",
            request="r1",
            outcome="overloaded",
            story=["cold u1 wait=700", "send u2 at=0"],
        ),
    ]
    found = timeline.explain(timeline.parse(log), "r1")
    believed = (
        "  believed for 200 ms: 100 n1 upstream-cold upstream=u1 cold_ms=90"
    )
    assert_that(found[0], matchers.Equals(believed))
    assert_that(found[1], matchers.Contains("n1 request"))


def test_an_unknown_request_is_reported() -> None:
    (found,) = timeline.explain(timeline.parse(LOG), "r2")
    assert_that(found, matchers.Contains("no line"))


def test_the_command_reads_logs(tmp_path: pathlib.Path) -> None:
    log = tmp_path / "n1.log"
    log.write_text("\n".join(LOG), encoding="utf-8")
    runner = typer.testing.CliRunner()
    result = runner.invoke(app.APP, ["explain", "r1", str(log)])
    assert_that(result.exit_code, matchers.Equals(0))
    assert_that(result.output, matchers.Contains("upstream-reset"))
    missing = runner.invoke(app.APP, ["explain", "r1", str(tmp_path / "x")])
    assert_that(missing.exit_code, matchers.Not(matchers.Equals(0)))
