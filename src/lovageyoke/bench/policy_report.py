"""Results of the policy bench as table, JSON and report page."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import html
import pathlib
import statistics

import attrs
import orjson
from rich import table as rich_table

from lovageyoke.bench import policy_run


@attrs.frozen
class Summary:
    """One policy in one scenario, over several seeds.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        seeds: Seeds of the runs.
        p50_ms: Mean of the runs' medians.
        p99_ms: Mean of the runs' p99.
        p99_min_ms: Lowest p99 of a run.
        p99_max_ms: Highest p99 of a run.
        p999_ms: Mean of the runs' p99.9.
        failed: Failed requests, summed over the runs.
        shed: Shed attempts, summed over the runs.
        probes_per_s: Mean probes a second of the whole fleet.
        max_probes: Most probes in any window of one second.
        late_work: Requests to a draining upstream after 3 s.
    """

    deployment: str
    scenario: str
    policy: str
    seeds: tuple[int, ...]
    p50_ms: float
    p99_ms: float
    p99_min_ms: float
    p99_max_ms: float
    p999_ms: float
    failed: int
    shed: int
    probes_per_s: float
    max_probes: int
    late_work: int


def summarize(runs: Sequence[policy_run.RunResult]) -> Summary:
    """Combines runs that differ by their seed only."""
    first = runs[0]
    p99 = [each.p99_ms for each in runs]
    return Summary(
        deployment=first.deployment,
        scenario=first.scenario,
        policy=first.policy,
        seeds=tuple(each.seed for each in runs),
        p50_ms=statistics.mean(each.p50_ms for each in runs),
        p99_ms=statistics.mean(p99),
        p99_min_ms=min(p99),
        p99_max_ms=max(p99),
        p999_ms=statistics.mean(each.p999_ms for each in runs),
        failed=sum(each.failed for each in runs),
        shed=sum(each.shed for each in runs),
        probes_per_s=statistics.mean(each.probes_per_s for each in runs),
        max_probes=max(each.max_probes for each in runs),
        late_work=sum(each.late_work for each in runs),
    )


HEADINGS = (
    "deployment",
    "scenario",
    "policy",
    "p50 ms",
    "p99 ms",
    "p99 range",
    "p99.9 ms",
    "failed",
    "shed",
    "probes/s",
    "max probes",
    "late",
)


def to_row(summary: Summary) -> tuple[str, ...]:
    """Returns the cells of a summary, in the order of ``HEADINGS``."""
    return (
        summary.deployment,
        summary.scenario,
        summary.policy,
        f"{summary.p50_ms:.1f}",
        f"{summary.p99_ms:.1f}",
        f"{summary.p99_min_ms:.1f}-{summary.p99_max_ms:.1f}",
        f"{summary.p999_ms:.1f}",
        str(summary.failed),
        str(summary.shed),
        f"{summary.probes_per_s:.1f}",
        str(summary.max_probes),
        str(summary.late_work),
    )


def to_table(summaries: Iterable[Summary]) -> rich_table.Table:
    """Returns a table for people."""
    table = rich_table.Table(*HEADINGS)
    for summary in summaries:
        table.add_row(*to_row(summary))
    return table


def to_json(summaries: Iterable[Summary]) -> str:
    """Returns a JSON array for scripts."""
    plain = [attrs.asdict(each) for each in summaries]
    return orjson.dumps(plain, option=orjson.OPT_INDENT_2).decode()


def write_page(
    directory: pathlib.Path,
    title: str,
    summaries: Sequence[Summary],
    images: Sequence[str],
) -> pathlib.Path:
    """Writes an HTML page with the table and the plots.

    Args:
        directory: Where to write; it must exist.
        title: Title of the page.
        summaries: Rows of the table.
        images: File names of plots in the directory.
    """
    cells = [HEADINGS, *(to_row(each) for each in summaries)]
    rows = "\n".join(
        "<tr>" + "".join(f"<td>{html.escape(c)}</td>" for c in row) + "</tr>"
        for row in cells
    )
    plots = "\n".join(
        f'<p><img src="{name}" alt="plot"></p>' for name in images
    )
    page = directory / "index.html"
    page.write_text(
        "<!doctype html>\n"
        f"<title>{html.escape(title)}</title>\n"
        f"<h1>{html.escape(title)}</h1>\n"
        f"<table border=1>\n{rows}\n</table>\n{plots}\n",
        encoding="utf-8",
    )
    return page
