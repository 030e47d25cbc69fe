"""Hosting of ASGI applications."""

from __future__ import annotations
