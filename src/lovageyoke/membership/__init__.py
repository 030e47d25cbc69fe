"""The entry VMs and what each knows of the others."""

from __future__ import annotations
