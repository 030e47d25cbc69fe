"""Reload of the settings that may change at run time."""

from __future__ import annotations

import attrs

from lovageyoke.node import settings as node_settings


def merge(
    current: node_settings.NodeSettings, read: node_settings.NodeSettings
) -> tuple[node_settings.NodeSettings, list[str]]:
    """Returns the new effective settings and the fields that need a restart.

    Bounds and seeds apply at once. Addresses and names identify this process
    to others, so changes of them wait for a restart.

    Args:
        current: The effective settings.
        read: The settings just read from the file.
    """
    merged = attrs.evolve(current, bounds=read.bounds, seeds=read.seeds)
    needs_restart = [
        field.name
        for field in attrs.fields(node_settings.NodeSettings)
        if getattr(merged, field.name) != getattr(read, field.name)
    ]
    return merged, needs_restart
