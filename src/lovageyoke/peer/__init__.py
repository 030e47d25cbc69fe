"""Message channels between entry VMs."""

from __future__ import annotations
