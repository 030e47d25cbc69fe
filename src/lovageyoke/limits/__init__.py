"""Bounds on what upstreams, services and callers may take."""

from __future__ import annotations
