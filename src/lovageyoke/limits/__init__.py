"""Admission control and concurrency limits."""

from __future__ import annotations
