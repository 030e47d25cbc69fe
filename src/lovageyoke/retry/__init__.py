"""Retries, hedges and the marks that bound them along a call chain."""

from __future__ import annotations
