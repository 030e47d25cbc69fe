"""Latest VM list of the platform, which lags behind the actual state."""

from __future__ import annotations

from collections.abc import Iterable

from lovageyoke.store import api as platform_api


class Listing:
    """Latest list of VMs.

    Attributes:
        states: States by VM id.
        asked_ms: When the list was requested, or None before the first one.
    """

    def __init__(self) -> None:
        self.states: dict[str, platform_api.VmState] = {}
        self.asked_ms: float | None = None

    def replace(self, vms: Iterable[platform_api.Vm], asked_ms: float) -> None:
        """Replaces the list with a newer one."""
        self.states = {vm.vm_id: vm.state for vm in vms}
        self.asked_ms = asked_ms

    def lacks(self, entry_id: str, since_ms: float) -> bool:
        """Returns whether a list requested after ``since_ms`` lacks a VM."""
        if self.asked_ms is None or self.asked_ms < since_ms:
            return False
        return entry_id not in self.states

    def is_leaving(self, entry_id: str) -> bool:
        """Returns whether a VM is listed as leaving."""
        return self.states.get(entry_id) is platform_api.VmState.LEAVING

    def leaving(self) -> frozenset[str]:
        """Returns the VMs listed as leaving."""
        return frozenset(
            vm_id
            for vm_id, state in self.states.items()
            if state is platform_api.VmState.LEAVING
        )
