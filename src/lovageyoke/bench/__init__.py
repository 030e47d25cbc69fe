"""Load and experiment tools."""

from __future__ import annotations
