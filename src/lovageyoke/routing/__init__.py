"""The choice of an upstream for each request."""

from __future__ import annotations
