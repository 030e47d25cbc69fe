"""Settings files are loaded; incomplete or malformed ones are rejected."""

from __future__ import annotations

import pathlib

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.errors import exceptions
from lovageyoke.platform import settings

FILE = """
node = "front-a-1"
zone = "east-a"
region = "east"
ip = "10.1.0.34"
internal_ports = [7540, 7555]
seeds = ["10.1.0.34:8544", "10.2.0.9:8544"]
bounds = ["grace=6s", "budget_ratio=0.2", "ttl_max=5s", "new_bound=true"]
unknown = 1
[listen]
front = "10.1.0.34:8548"
ready = "10.1.0.34:8542"
directory = "10.1.0.34:8546"
[limits]
cpu_share = 0.717
cores = 3
link_mbps = 200
[platform]
address = "10.200.1.7:8541"
min_ttl = "1000ms"
"""


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "boot.toml"
    path.write_text(FILE, encoding="utf-8")
    return path


def test_settings_are_loaded(file: pathlib.Path) -> None:
    loaded = settings.load(file)
    assert_that(loaded.node_id, matchers.Equals("front-a-1"))
    assert_that(str(loaded.front), matchers.Equals("10.1.0.34:8548"))
    assert_that(loaded.peers.port, matchers.Equals(7540))
    assert_that(loaded.bounds.grace_ms, matchers.Equals(6_000.0))
    assert_that(loaded.bounds.lifetime_most_ms, matchers.Equals(5_000.0))
    seeds = [str(each) for each in loaded.seeds]
    assert_that(seeds, matchers.Equals(["10.1.0.34:7540", "10.2.0.9:7540"]))
    assert_that(loaded.capacity_percent, matchers.Equals(215))
    assert_that(loaded.link_bytes_per_s, matchers.Equals(25_000_000.0))


def test_the_heartbeat_interval_of_upstreams_is_loaded(
    file: pathlib.Path,
) -> None:
    default_ms = settings.load(file).upstream_heartbeat_ms
    assert_that(default_ms, matchers.Equals(1_500.0))
    file.write_text('heartbeat = "2s"' + FILE, encoding="utf-8")
    stated_ms = settings.load(file).upstream_heartbeat_ms
    assert_that(stated_ms, matchers.Equals(2_000.0))
    file.write_text('heartbeat = "0s"' + FILE, encoding="utf-8")
    with pytest.raises(exceptions.SettingsError):
        settings.load(file)


@pytest.mark.parametrize(
    "removed",
    ['node = "front-a-1"', "internal_ports = [7540, 7555]", "[listen]"],
)
def test_incomplete_file_is_rejected(file: pathlib.Path, removed: str) -> None:
    file.write_text(FILE.replace(removed, ""), encoding="utf-8")
    with pytest.raises(exceptions.SettingsError):
        settings.load(file)


def test_invalid_toml_is_rejected(file: pathlib.Path) -> None:
    file.write_text("node = ", encoding="utf-8")
    with pytest.raises(exceptions.SettingsError):
        settings.load(file)
