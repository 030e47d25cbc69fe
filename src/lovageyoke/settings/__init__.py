"""Settings of an entry VM process, read from TOML."""

from __future__ import annotations
