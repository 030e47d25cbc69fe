"""Serving of HTTP applications."""

from __future__ import annotations
