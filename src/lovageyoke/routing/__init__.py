"""Upstream selection for requests."""

from __future__ import annotations
