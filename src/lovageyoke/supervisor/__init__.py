"""Supervision tree of the tasks of a process."""

from __future__ import annotations
