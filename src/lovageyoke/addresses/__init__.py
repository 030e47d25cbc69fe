"""Answers to callers that ask which entry addresses to use."""

from __future__ import annotations
