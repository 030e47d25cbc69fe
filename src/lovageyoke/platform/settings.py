"""Loads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import pathlib
import tomllib
from typing import Any

from lovageyoke.errors import exceptions
from lovageyoke.fleet import lifetimes
from lovageyoke.node import settings
from lovageyoke.platform import durations
from lovageyoke.schema import decoding

METRICS_PORT = 9_464  # Matches the metrics address in the deploy file.
PATH_VARIABLE = "LOVAGEYOKE_NODE_FILE"
BYTES_PER_MB = 1_000_000
BYTES_PER_MBIT = 125_000


def path() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        SettingsError: The environment variable is not set.
    """
    value = os.environ.get(PATH_VARIABLE)
    if not value:
        raise exceptions.SettingsError((f"{PATH_VARIABLE} is not set",))
    return pathlib.Path(value)


def load(file: pathlib.Path) -> settings.NodeSettings:
    """Loads a settings file.

    Raises:
        SettingsError: The file cannot be read, or a setting is invalid.
    """
    try:
        raw = tomllib.loads(file.read_text(encoding="utf-8"))
    # Nested values raise RecursionError.
    except (OSError, ValueError, RecursionError) as error:
        raise exceptions.SettingsError((f"{file}: {error}",)) from error
    return decode(raw)


def decode(raw: dict[str, Any]) -> settings.NodeSettings:
    """Decodes the settings of a parsed file; ignores unknown fields.

    Raises:
        SettingsError: A field is missing or has an invalid value.
    """
    try:
        listen = raw["listen"]
        return settings.NodeSettings(
            node_id=str(raw["node"]),
            failure_domain=str(raw["zone"]),
            region=str(raw["region"]),
            front=_address(listen["front"]),
            readiness=_optional_address(listen.get("ready")),
            directory=_optional_address(listen.get("directory")),
            peers=settings.Address(
                str(raw["ip"]), int(raw["internal_ports"][0])
            ),
            metrics=settings.Address(str(raw["ip"]), METRICS_PORT),
            store=_address(raw["platform"]["address"]),
            min_lease_ms=durations.parse_duration_ms(
                raw["platform"].get("min_ttl", "1000ms")
            ),
            bounds=_bounds(raw.get("bounds", [])),
            upstream_heartbeat_ms=_heartbeat_ms(raw),
            seeds=_seeds(raw),
            capacity_percent=_capacity_percent(raw.get("limits", {})),
            memory_bytes=_memory_bytes(raw.get("limits", {})),
            max_descriptors=int(raw.get("limits", {}).get("max_fds", 0)),
            link_bytes_per_s=_link_bytes_per_s(raw.get("limits", {})),
        )
    # A field of another type raises whatever its use raises.
    except Exception as error:
        raise exceptions.SettingsError(
            (f"invalid settings file: {error!r}",)
        ) from error


def _address(text: object) -> settings.Address:
    return settings.Address(*decoding.host_and_port(text))


def _optional_address(text: object) -> settings.Address | None:
    return _address(text) if text else None


def _seeds(raw: dict[str, Any]) -> tuple[settings.Address, ...]:
    # The seed addresses in the file have the port of another protocol. Peer
    # messages use the first internal port, which is the same on all VMs.
    port = int(raw["internal_ports"][0])
    hosts = [_address(each).host for each in raw.get("seeds", [])]
    return tuple(settings.Address(host, port) for host in hosts)


def _heartbeat_ms(raw: dict[str, Any]) -> float:
    if "heartbeat" not in raw:
        return lifetimes.HEARTBEAT_MS
    interval_ms = durations.parse_duration_ms(raw["heartbeat"])
    if interval_ms <= 0.0:
        raise ValueError("the heartbeat interval is not positive")
    return interval_ms


def _capacity_percent(limits: dict[str, Any]) -> int:
    share = float(limits.get("cpu_share", 1.0))
    return max(1, round(100.0 * share * float(limits.get("cores", 1))))


def _memory_bytes(limits: dict[str, Any]) -> int:
    return max(0, int(float(limits.get("memory_mb", 0)) * BYTES_PER_MB))


def _link_bytes_per_s(limits: dict[str, Any]) -> float:
    return max(0.0, float(limits.get("link_mbps", 0.0)) * BYTES_PER_MBIT)


def _bounds(texts: list[str]) -> settings.Bounds:
    values = dict(text.split("=", 1) for text in texts)
    default = settings.Bounds()
    return settings.Bounds(
        grace_ms=_duration(values, "grace", default.grace_ms),
        drain_ms=_duration(values, "drain", default.drain_ms),
        budget_ratio=_number(values, "budget_ratio", default.budget_ratio),
        budget_extra=_number(values, "budget_extra", default.budget_extra),
        budget_window_ms=_duration(
            values, "budget_window", default.budget_window_ms
        ),
        lifetime_most_ms=_duration(values, "ttl_max", default.lifetime_most_ms),
        probes_per_s=_number(values, "probes_per_s", default.probes_per_s),
        quota_window_ms=_duration(
            values, "quota_window", default.quota_window_ms
        ),
        quota_over=_number(values, "quota_over", default.quota_over),
        quota_slack=_number(values, "quota_slack", default.quota_slack),
        cold_over=_number(values, "cold_over", default.cold_over),
        cold_slack=_number(values, "cold_slack", default.cold_slack),
        evacuate_ms=_duration(values, "evacuate", default.evacuate_ms),
    )


def _duration(values: dict[str, str], name: str, default_ms: float) -> float:
    return (
        durations.parse_duration_ms(values[name])
        if name in values
        else default_ms
    )


def _number(values: dict[str, str], name: str, default: float) -> float:
    return float(values[name]) if name in values else default
