"""Service configuration: intents, plans, replication and the audit trail."""

from __future__ import annotations
