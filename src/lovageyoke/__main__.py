"""Runs the command line with ``python -m lovageyoke``."""

from __future__ import annotations

from lovageyoke.cli import main

if __name__ == "__main__":
    main.main()
