"""HTTP server for callers."""

from __future__ import annotations
