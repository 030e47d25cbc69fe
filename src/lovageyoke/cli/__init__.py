"""The command line, one command a module."""

from __future__ import annotations
