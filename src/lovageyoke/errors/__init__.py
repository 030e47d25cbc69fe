"""Error kinds, their HTTP responses, and the exception hierarchy."""

from __future__ import annotations
