"""Peer authentication and TLS contexts."""

from __future__ import annotations
