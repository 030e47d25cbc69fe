"""What an entry VM reports of itself."""

from __future__ import annotations

from lovageyoke.config import follower as config_follower
from lovageyoke.membership import api as membership_api
from lovageyoke.operator import api
from lovageyoke.settings import model


class EntryStatusProvider(api.StatusProvider):
    """Reports from the follower and from membership."""

    def __init__(
        self,
        settings: model.Settings,
        follower: config_follower.ConfigFollower,
        membership: membership_api.MembershipView,
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._membership = membership

    def status(self) -> api.EntryStatus:
        """Returns the state of this entry."""
        rollout = self._follower.rollout()
        services = self._follower.view.services().values()
        return api.EntryStatus(
            entry_id=self._settings.entry.entry_id,
            ready=rollout.ready,
            services=sum(each.service is not None for each in services),
            platform_failing=self._follower.source.failing,
            entries=rollout.entries,
            entries_current=rollout.current,
            members=tuple(
                self._member(each, rollout)
                for each in self._membership.members()
            ),
        )

    def addresses(self) -> api.Addresses:
        """Returns the addresses of the members that take new callers."""
        alive = membership_api.MemberState.ALIVE
        found = tuple(
            api.EntryAddress(each.caller_address, 1.0, each.failure_domain)
            for each in self._membership.members()
            if each.state is alive
        )
        lifetime_ms = self._settings.limits.address_lifetime_ms
        return api.Addresses(found, lifetime_ms)

    def _member(
        self, member: membership_api.Member, rollout: config_follower.Rollout
    ) -> api.MemberStatus:
        return api.MemberStatus(
            entry_id=member.entry_id,
            state=member.state.value,
            failure_domain=member.failure_domain,
            current=member.entry_id not in rollout.differing,
        )
