"""The operator API, its access control and its client."""

from __future__ import annotations
