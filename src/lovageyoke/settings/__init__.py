"""Settings of one process, read from TOML."""

from __future__ import annotations
