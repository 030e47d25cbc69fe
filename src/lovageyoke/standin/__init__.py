"""Stand-ins for the platform and for upstreams."""

from __future__ import annotations
