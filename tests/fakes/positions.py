"""Positions of the fake stores."""

from __future__ import annotations

from lovageyoke.store import positions

ERA = 1  # Before any return from a copy.


def at(revision: int, era: int = ERA) -> positions.Position:
    return positions.Position(era, revision)
