"""The at-most-once log of unrepeatable requests."""

from __future__ import annotations
