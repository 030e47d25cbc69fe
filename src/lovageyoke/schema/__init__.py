"""Checked conversion of operators' input to attrs classes."""

from __future__ import annotations
