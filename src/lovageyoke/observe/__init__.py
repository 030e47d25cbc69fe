"""Logging, the event log and metrics."""

from __future__ import annotations
