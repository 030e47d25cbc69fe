"""Selection of entry addresses for callers."""

from __future__ import annotations
