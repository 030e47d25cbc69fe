"""Roster of probe slots, kept in one key of the platform's service.

The roster is a counting semaphore. A slot's holder sends probes at one
``capacity``-th of each service's budget. Every change is one compare-and-swap,
so no more than ``capacity`` slots are held. ``docs/MEMBERSHIP.md`` has the
argument why the shares of all running processes never sum to more than one.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import cattrs
from cattrs.preconf import cbor2 as cattrs_cbor2

from lovageyoke.errors import exceptions

KEY = "membership/probe-roster"
MIN_SPARE_SLOTS = 2
SPARE_DIVISOR = 8

CONVERTER = cattrs_cbor2.make_converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE
)

Holder = tuple[str, int]
"""Entry id and incarnation of a process."""


@attrs.frozen
class Slot:
    """Permission to probe, held by one process.

    Attributes:
        index: Position, below the roster's capacity; unique.
        entry_id: The holder's entry id.
        incarnation: The holder's incarnation.
        peer_address: The holder's peer address, from which joiners start.
        revoked: Whether the holder must not use the slot.
    """

    index: int
    entry_id: str
    incarnation: int
    peer_address: str
    revoked: bool = False

    @property
    def holder(self) -> Holder:
        """The process that holds the slot."""
        return (self.entry_id, self.incarnation)


@attrs.frozen
class Roster:
    """All slots.

    Attributes:
        generation: Grows by one with each write.
        capacity: Number of slots, and the divisor of each holder's share.
        usable: Slots below this index may be used; those above wait until
            every holder has learnt of ``capacity``.
        grown_generation: The generation that last raised ``capacity``.
        slots: The slots that are held, by rising index.
    """

    generation: int = 0
    capacity: int = 0
    usable: int = 0
    grown_generation: int = 0
    slots: tuple[Slot, ...] = ()

    def slot_of(self, holder: Holder) -> Slot | None:
        """Returns the slot of a process, or None if it holds none."""
        for slot in self.slots:
            if slot.holder == holder:
                return slot
        return None

    def join(
        self, holder: Holder, peer_address: str, min_capacity: int = 1
    ) -> Roster:
        """Gives a process the lowest free slot; grows when none is free.

        Earlier incarnations of the same entry lose their permission.

        Args:
            holder: The process.
            peer_address: Its peer address.
            min_capacity: Capacity below which the roster never is.
        """
        kept = tuple(
            attrs.evolve(slot, revoked=True)
            if slot.entry_id == holder[0] and slot.incarnation < holder[1]
            else slot
            for slot in self.slots
        )
        index = self.lowest_free()
        slot = Slot(index, holder[0], holder[1], peer_address)
        grown = self._grown_to_hold(index, min_capacity)
        return grown._written((*kept, slot))

    def remove(self, holders: Iterable[Holder]) -> Roster:
        """Frees slots whose holders can't use them any more."""
        gone = set(holders)
        return self._written(
            tuple(each for each in self.slots if each.holder not in gone)
        )

    def set_revoked(self, holders: Iterable[Holder], revoked: bool) -> Roster:
        """Withdraws or gives back the permission of some holders."""
        changed = set(holders)
        return self._written(
            tuple(
                attrs.evolve(each, revoked=revoked)
                if each.holder in changed
                else each
                for each in self.slots
            )
        )

    def confirm(self) -> Roster:
        """Makes all slots usable, once every holder knows the capacity."""
        return attrs.evolve(self, usable=self.capacity)._written(self.slots)

    def compact(self, holder: Holder, min_capacity: int = 1) -> Roster | None:
        """Moves the holder of the last slot down and shrinks the capacity.

        Returns:
            The smaller roster, or None when there is nothing to gain.
        """
        wanted = max(target_capacity(len(self.slots)), min_capacity)
        if self.capacity < wanted + spare_slots(len(self.slots)):
            return None
        slots = self.slots
        if slots[-1].holder == holder and self.lowest_free() < len(slots):
            moved = attrs.evolve(slots[-1], index=self.lowest_free())
            slots = (*slots[:-1], moved)
        highest = max(each.index for each in slots)
        capacity = max(wanted, highest + 1)
        if capacity >= self.capacity:
            return None
        smaller = attrs.evolve(
            self, capacity=capacity, usable=min(self.usable, capacity)
        )
        return smaller._written(slots)

    def lowest_free(self) -> int:
        """Returns the lowest index that nobody holds."""
        held = {each.index for each in self.slots}
        return next(
            index for index in range(len(held) + 1) if index not in held
        )

    def _grown_to_hold(self, index: int, min_capacity: int) -> Roster:
        if index < self.capacity:
            return self
        capacity = max(target_capacity(len(self.slots) + 1), min_capacity)
        capacity = max(capacity, index + 1)
        return attrs.evolve(
            self,
            capacity=capacity,
            usable=self.usable if self.slots else capacity,
            grown_generation=self.generation + 1,
        )

    def _written(self, slots: tuple[Slot, ...]) -> Roster:
        return attrs.evolve(
            self,
            generation=self.generation + 1,
            slots=tuple(sorted(slots, key=lambda each: each.index)),
        )


# The converter reads annotations that are already resolved.
attrs.resolve_types(Slot)
attrs.resolve_types(Roster)


def spare_slots(held: int) -> int:
    """Returns how many free slots a roster of ``held`` slots keeps."""
    return max(MIN_SPARE_SLOTS, held // SPARE_DIVISOR)


def target_capacity(held: int) -> int:
    """Returns the capacity that a roster of ``held`` slots grows to."""
    return held + spare_slots(held)


def encode(roster: Roster) -> bytes:
    """Returns a roster as the value of its key."""
    return CONVERTER.dumps(attrs.astuple(roster))


def decode(data: bytes) -> Roster:
    """Returns the roster in a value.

    Raises:
        DecodeError: The bytes are no roster.
    """
    try:
        return CONVERTER.loads(data, Roster)
    except Exception as error:
        # The CBOR library raises many types on hostile bytes.
        raise exceptions.DecodeError(f"bad roster: {error!r}") from error
