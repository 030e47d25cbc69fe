"""Long randomised runs in virtual time with invariants asserted inside."""

from __future__ import annotations
