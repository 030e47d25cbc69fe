"""Validated conversion of configuration input to attrs classes."""

from __future__ import annotations
