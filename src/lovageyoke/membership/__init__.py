"""Membership of the fleet: discovery and failure detection of entry VMs."""

from __future__ import annotations
