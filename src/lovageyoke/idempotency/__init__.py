"""At-most-once log of non-idempotent requests."""

from __future__ import annotations
