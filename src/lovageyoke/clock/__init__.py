"""Clocks that report milliseconds."""

from __future__ import annotations
