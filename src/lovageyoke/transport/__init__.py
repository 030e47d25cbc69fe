"""Connections to upstreams."""

from __future__ import annotations
