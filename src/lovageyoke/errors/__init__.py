"""Error kinds, the answers they map to, and the exception tree."""

from __future__ import annotations
