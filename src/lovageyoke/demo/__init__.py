"""A demonstration of the whole system in one process."""

from __future__ import annotations
