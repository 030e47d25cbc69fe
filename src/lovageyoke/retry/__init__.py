"""Retries, hedges and the headers that limit them along a call chain."""

from __future__ import annotations
