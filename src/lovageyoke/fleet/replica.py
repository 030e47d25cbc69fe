"""A process's replica of the store: configuration, entries and position.

This module does no I/O. It accepts responses of the store and messages of
other processes in any order and never reverts to an older version, position
or entry. When the store is restored from a copy, its new era is entered by a
full read or a snapshot: changes don't lead from one era to the next.
"""

from __future__ import annotations

from collections.abc import Callable
import math

from lovageyoke.errors import exceptions
from lovageyoke.fleet import changes
from lovageyoke.fleet import configuration_state
from lovageyoke.fleet import entry_log
from lovageyoke.fleet import layout as fleet_layout
from lovageyoke.fleet import lifetimes
from lovageyoke.fleet import messages
from lovageyoke.fleet import missed_changes
from lovageyoke.fleet import registry as fleet_registry
from lovageyoke.fleet import snapshot
from lovageyoke.observe import events
from lovageyoke.routing import model
from lovageyoke.store import positions
from lovageyoke.store import revisions

READ_GAP_MS = 120.0  # A shorter gap is closed by the next heartbeat.
OUTAGE_MS = 2_000.0  # Without a confirmation of the position by any process.
MAX_STALENESS_MS = 600_000
MAX_SENT_LIFETIMES = 500  # In one datagram.


class Replica:
    """Local copy of the store's state.

    Attributes:
        layout: Key layout of the store.
        log: Receives state changes and rejected data.
        on_upstreams: Called with the upstreams when they changed.
        registry: The entries of upstreams and evacuations.
        entry_log: Logs changes of them.
        configurations: The newest configuration, and what peers have.
        position: All changes up to this position are known.
        returns: Number of times that the store was restored from a copy.
        fresh_ms: When the store was last known to be at ``position``.
        listed: Whether all upstreams have been loaded since the start.
        recent: The latest changes.
        assembler: Received parts of an incomplete snapshot.
        packed_snapshot: The last snapshot sent.
        missed: The changes that are known to exist but are missing.
    """

    def __init__(
        self,
        layout: fleet_layout.Layout,
        log: events.EventLog,
        *,
        on_configuration: Callable[[model.Configuration], None],
        on_upstreams: Callable[[list[model.Upstream]], None],
        broadcast: Callable[[messages.ConfigurationUpdate, bool], None],
        heartbeat_ms: float = lifetimes.HEARTBEAT_MS,
    ) -> None:
        self.layout = layout
        self.log = log
        self.on_upstreams = on_upstreams
        self.entry_log = entry_log.EntryLog(log)
        self.registry = fleet_registry.Registry(
            layout.decode_entry,
            self.entry_log.log_rejected,
            self.entry_log.log_late_write,
            heartbeat_ms,
        )
        self.configurations = configuration_state.ConfigurationState(
            layout.decode_configuration, log, on_configuration, broadcast
        )
        self.position = positions.START
        self.returns = 0
        self.fresh_ms = -math.inf
        self.listed = False
        self.recent = changes.RecentChanges()
        self.assembler = snapshot.SnapshotAssembler()
        self.packed_snapshot = snapshot.PackedSnapshot()
        self.missed = missed_changes.MissedChanges(log)

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration, None before the first."""
        return self.configurations.current

    @property
    def is_complete(self) -> bool:
        """Whether the upstreams and a configuration are known."""
        return self.listed and self.configuration is not None

    def staleness_ms(self, now_ms: float) -> int:
        """Returns the time since ``fresh_ms``, at most ``MAX_STALENESS_MS``."""
        return round(min(now_ms - self.fresh_ms, MAX_STALENESS_MS))

    def behind_since_ms(self, now_ms: float) -> float | None:
        """Returns since when this replica is behind, None if it isn't.

        Gaps shorter than ``READ_GAP_MS`` are ignored.
        """
        outdated_ms = self.configurations.outdated_since_ms(now_ms)
        for since_ms in (self.missed.since_ms, outdated_ms):
            if since_ms is not None and now_ms - since_ms >= READ_GAP_MS:
                return since_ms
        return None

    def behind_ms(self, now_ms: float) -> float:
        """Returns for how long this replica has been behind, 0 if it isn't."""
        since_ms = self.behind_since_ms(now_ms)
        return 0.0 if since_ms is None else now_ms - since_ms

    def is_behind(self, heartbeat: messages.Heartbeat) -> bool:
        """Returns whether the sender of a heartbeat has newer state."""
        return (
            heartbeat.position > self.position
            or heartbeat.configuration_version > self.configurations.version
        )

    def expire_retained(self, now_ms: float) -> None:
        """Removes entries deleted in an outage and not registered again.

        Doubtful entries that have stayed are confirmed.

        An outage is assumed if no process has confirmed the store's position
        for ``OUTAGE_MS``.
        """
        known = self.fresh_ms > -math.inf
        if known and now_ms - self.fresh_ms > OUTAGE_MS:
            self.registry.record_outage(now_ms)
        if self.registry.expire_retained(now_ms):
            self.upstreams_changed("settled")
        confirmed = self.registry.confirm_doubtful(now_ms)
        for each in confirmed:
            self.entry_log.log_confirmed(each)
        if confirmed:
            self.upstreams_changed("confirmed")

    # From the store

    def apply_read(
        self,
        upstreams: revisions.Listing,
        operators: revisions.Listing,
        now_ms: float,
        stale: bool,
    ) -> None:
        """Applies a full read of the store, made in two calls of one era.

        A read from an earlier era than the known one is ignored.

        Args:
            upstreams: The entries of all upstreams.
            operators: The operators' keys: the configuration, if there is
                one, and the evacuations.
            now_ms: The time.
            stale: Whether the read may be seconds old.
        """
        # Stale reads may differ in age. Changes after the older one may be
        # missing, so the watch continues from there.
        position = min(upstreams.position, operators.position)
        if position < self.position:
            self.log_obsolete_read(position, stale)
        if position.era < self.position.era:
            return
        entries = list(upstreams.items)
        for each in operators.items:
            if each.key == self.layout.configuration_key:
                revision = each.position.revision
                self.configurations.apply(each.value, revision)
            elif self.layout.is_entry(each.key):
                entries.append(each)
        changed = self.registry.apply_listing(
            revisions.Listing(tuple(entries), position), now_ms
        )
        self.finish_loading(position, changed, "listed", now_ms)
        if not stale:
            self.fresh_ms = now_ms
            self.missed.restart(now_ms)
            self.configurations.outdated_ms = None

    def finish_loading(
        self,
        position: positions.Position,
        changed: bool,
        source: str,
        now_ms: float,
    ) -> None:
        """Records that all entries were loaded at a position."""
        before = self.position
        self.advance(position)
        if self.listed and position.era > before.era:
            self.record_return(before, source)
        self.missed.end(source, self.position, now_ms)
        if position > before:
            self.missed.restart(now_ms)
        self.recent.reset(self.position)
        if changed or not self.listed:
            self.listed = True
            self.upstreams_changed(source)

    def advance(self, position: positions.Position) -> None:
        """Records that all changes up to a position are known."""
        self.position = max(self.position, position)
        self.registry.complete_position = self.position

    def record_return(self, before: positions.Position, source: str) -> None:
        """Records that the store was restored from a copy.

        Args:
            before: The position before.
            source: Where the entries of the new era come from.
        """
        self.returns += 1
        self.log.event(
            "store-returned",
            source=source,
            era_before=before.era,
            revision_before=before.revision,
            era=self.position.era,
            revision=self.position.revision,
            kept=len(self.registry.retained),
            doubtful=len(self.registry.doubtful),
        )

    def log_obsolete_read(
        self, position: positions.Position, stale: bool
    ) -> None:
        """Logs a read of the store that is older than this replica."""
        self.log.event(
            "store-read-obsolete",
            era=position.era,
            revision=position.revision,
            known_era=self.position.era,
            known_revision=self.position.revision,
            stale=stale,
        )

    def apply_watch(self, found: revisions.Changes, now_ms: float) -> None:
        """Applies the changes that a watch returned, unless of another era."""
        if found.position.era != self.position.era:
            return
        changed = False
        for change in found.events:
            changed |= self.apply_event(change, now_ms)
        self.advance(found.position)
        self.missed.end("watched", self.position, now_ms)
        if changed:
            self.upstreams_changed("watched")

    def apply_event(self, change: revisions.Change, now_ms: float) -> bool:
        """Applies a watch event; returns whether the upstreams changed."""
        if change.key == self.layout.configuration_key:
            if change.value is not None:
                revision = change.position.revision
                self.configurations.apply(change.value, revision)
            return False
        if change.position <= self.position:
            # A heartbeat delivered it while the watch was pending.
            return False
        entry = messages.EntryChange(change.key, change.position, change.value)
        return self.apply_change(entry, now_ms)

    # From other processes

    def apply_heartbeat(
        self, heartbeat: messages.Heartbeat, now_ms: float
    ) -> bool:
        """Applies a peer's heartbeat; returns whether it had new changes."""
        self.configurations.record_version(heartbeat.configuration_version)
        if not self.listed or heartbeat.position.revision == 0:
            return False
        if heartbeat.since > self.position:
            self.missed.begin(heartbeat, self.position, now_ms)
            return False
        before = self.position
        changed = False
        for change in heartbeat.changes:
            if change.position > before:
                changed |= self.apply_change(change, now_ms)
        if heartbeat.position >= self.position:
            self.advance(heartbeat.position)
            source = heartbeat.sender.peer.node_id
            self.missed.end(source, self.position, now_ms)
            fresh_ms = now_ms - heartbeat.fresh_age_ms
            self.fresh_ms = max(self.fresh_ms, fresh_ms)
        if changed:
            self.upstreams_changed("told")
        return heartbeat.position > before and bool(heartbeat.changes)

    def add_snapshot_part(
        self, part: messages.SnapshotPart, now_ms: float
    ) -> None:
        """Adds a part of a snapshot and applies the snapshot once complete."""
        try:
            whole = self.assembler.add(part)
        except exceptions.DecodeError as error:
            self.log.event("snapshot-rejected", detail=error.detail)
            return
        self.configurations.record_version(part.configuration_version)
        if whole is None or whole.position < self.position:
            return
        changed = self.registry.apply_snapshot(whole, now_ms)
        self.finish_loading(whole.position, changed, "snapshot", now_ms)
        fresh_ms = now_ms - whole.fresh_age_ms
        self.fresh_ms = max(self.fresh_ms, fresh_ms)

    # For other processes

    def snapshot_for(
        self, request: messages.SnapshotRequest, now_ms: float
    ) -> list[messages.Message]:
        """Returns the messages that answer a snapshot request.

        There are none if this replica is older than the requested position.
        """
        if not self.listed or self.position < request.position:
            return []
        update = self.configurations.update()
        version = self.configurations.version
        age_ms = self.staleness_ms(now_ms)
        parts = self.packed_snapshot.parts(
            self.registry.entries(), self.position, version, age_ms, now_ms
        )
        found: list[messages.Message] = [update] if update else []
        removed = self.registry.lifetimes.newest(MAX_SENT_LIFETIMES)
        if removed:
            found.append(messages.RemovedUpstreams(removed))
        return [*found, *parts]

    def apply_removed(self, removed: messages.RemovedUpstreams) -> None:
        """Applies the removals that a peer remembers."""
        for each in removed.lifetimes:
            self.registry.lifetimes.add(each)

    # Changes

    def apply_change(self, change: messages.EntryChange, now_ms: float) -> bool:
        """Applies a change; returns whether the upstreams changed."""
        if not self.layout.is_entry(change.key):
            return False
        self.recent.add(change, now_ms)
        if change.value is None:
            return self.registry.remove(change.key, change.position, now_ms)
        return self.registry.put(
            change.key, change.value, change.position, now_ms
        )

    def upstreams_changed(self, source: str) -> None:
        """Logs the upstreams and passes them to ``on_upstreams``."""
        upstreams = list(self.registry.upstreams())
        evacuated = self.registry.evacuated_domains()
        self.entry_log.log_changes(source, self.position, upstreams, evacuated)
        self.on_upstreams(upstreams)
