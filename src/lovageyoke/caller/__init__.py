"""The server that callers connect to."""

from __future__ import annotations
