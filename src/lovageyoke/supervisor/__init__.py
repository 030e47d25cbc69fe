"""The supervisor tree."""

from __future__ import annotations
