"""Time in milliseconds."""

from __future__ import annotations
