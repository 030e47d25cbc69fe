"""Stand-ins for the platform and upstreams, for tests and demos."""

from __future__ import annotations
