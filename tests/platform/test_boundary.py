"""Platform names and imports occur only in the platform package."""

from __future__ import annotations

import pathlib
import re

import pytest
from testtools import matchers
from testtools.assertions import assert_that

import lovageyoke

SOURCE = pathlib.Path(lovageyoke.__file__).parent
# Wires the process together, so it may import the adapter.
ASSEMBLY_FILE = SOURCE / "node" / "assembly.py"
ADAPTER_IMPORT = re.compile(r"lovageyoke\.platform|lovageyoke import platform")
WIRE_NAMES = re.compile(
    r"x-(?:request-id|deadline-ms|expected-instance|instance-id"
    r"|backend-load|cold-remaining-ms|not-executed|response-signature"
    r"|tenant-id)"
    r"|api-key"
    r"|kv-(?:key|range|watch|txn|lease|keep)"
    r"|traffic_split|rule_set|cold_remaining|has_more|is_stale"
    r"|op/config|op/evacuate|/readiness|/resolve|LOVAGEYOKE_NODE_FILE",
    re.IGNORECASE,
)


def files_outside_adapter() -> list[pathlib.Path]:
    adapter = SOURCE / "platform"
    return sorted(
        path for path in SOURCE.rglob("*.py") if adapter not in path.parents
    )


def violations(text: str, is_assembly: bool) -> list[str]:
    found = WIRE_NAMES.findall(text)
    if not is_assembly:
        found += ADAPTER_IMPORT.findall(text)
    return found


@pytest.mark.parametrize("path", files_outside_adapter(), ids=str)
def test_other_packages_do_not_use_platform_names(path: pathlib.Path) -> None:
    text = path.read_text(encoding="utf-8")
    assert_that(violations(text, path == ASSEMBLY_FILE), matchers.Equals([]))


@pytest.mark.parametrize(
    "text",
    [
        'NAME = b"X-Backend-Load"',
        'target = "/kv-watch?prefix="',
        "from lovageyoke.platform import headers",
        "from lovageyoke import platform",
    ],
)
def test_check_finds_misplaced_names(text: str) -> None:
    assert_that(violations(text, False), matchers.Not(matchers.Equals([])))


def test_adapter_does_not_import_upstream_policies() -> None:
    policy_imports = re.compile(
        r"lovageyoke\.(?:retry|limits)"
        r"|lovageyoke\.routing import (?:placement|pool|work_estimate)"
        r"|lovageyoke\.node import (?:race|forwarder|state|prober|process)"
    )
    for path in (SOURCE / "platform").glob("*.py"):
        text = path.read_text(encoding="utf-8")
        assert_that(policy_imports.findall(text), matchers.Equals([]))
