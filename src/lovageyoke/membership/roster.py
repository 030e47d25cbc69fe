"""Roster of probe slots, stored under one key of the platform.

The roster is a counting semaphore. The holder of a slot may use one
``capacity``-th of each service's probe budget. Each change is one
compare-and-swap, so at most ``capacity`` slots are held. See
``docs/MEMBERSHIP.md`` for the argument that the shares of all running
processes never sum to more than one.
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
        index: Unique position, less than the capacity of the roster.
        entry_id: The holder's entry id.
        incarnation: The holder's incarnation.
        peer_address: The holder's peer address, which a joining process uses
            for its first contact.
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
    """The slots and the capacity.

    Attributes:
        generation: Incremented by each write.
        capacity: Number of slots, and the divisor of each holder's share.
        usable: Only slots below this index may be used; the others wait until
            every holder has read the new ``capacity``.
        grown_generation: Generation that last increased ``capacity``.
        slots: Held slots, ordered by index.
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
        """Assigns the lowest free slot; grows the roster if none is free.

        Slots of earlier incarnations of the same entry VM are revoked.

        Args:
            holder: The process.
            peer_address: Its peer address.
            min_capacity: Minimum capacity of the roster.
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
        """Frees the slots of holders that can no longer use them."""
        removed = set(holders)
        return self._written(
            tuple(each for each in self.slots if each.holder not in removed)
        )

    def set_revoked(self, holders: Iterable[Holder], revoked: bool) -> Roster:
        """Revokes or restores the slots of some holders."""
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
        """Makes all slots usable after every holder has read the capacity."""
        return attrs.evolve(self, usable=self.capacity)._written(self.slots)

    def compact(self, holder: Holder, min_capacity: int = 1) -> Roster | None:
        """Moves the last slot to a lower index and reduces the capacity.

        Returns:
            The smaller roster, or None if it can't shrink enough.
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
        """Returns the lowest free index."""
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


# The converter needs resolved annotations.
attrs.resolve_types(Slot)
attrs.resolve_types(Roster)


def spare_slots(held: int) -> int:
    """Returns the number of spare slots for ``held`` held slots."""
    return max(MIN_SPARE_SLOTS, held // SPARE_DIVISOR)


def target_capacity(held: int) -> int:
    """Returns the capacity for ``held`` held slots."""
    return held + spare_slots(held)


def encode(roster: Roster) -> bytes:
    """Encodes a roster."""
    return CONVERTER.dumps(attrs.astuple(roster))


def decode(data: bytes) -> Roster:
    """Decodes a roster.

    Raises:
        DecodeError: The data is not a valid roster.
    """
    try:
        return CONVERTER.loads(data, Roster)
    except Exception as error:
        # The CBOR library raises many exception types on malformed input.
        raise exceptions.DecodeError(
            f"invalid probe roster: {error!r}"
        ) from error
