"""Active load probes of upstreams within a fleet-wide budget."""

from __future__ import annotations
