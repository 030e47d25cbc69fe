"""Services, intents, plans and the audit trail."""

from __future__ import annotations
