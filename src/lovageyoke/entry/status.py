"""Status reports of an entry VM."""

from __future__ import annotations

from lovageyoke.addresses import answer
from lovageyoke.clock import api as clock_api
from lovageyoke.config import follower as config_follower
from lovageyoke.membership import api as membership_api
from lovageyoke.operator import api
from lovageyoke.settings import model


class EntryStatusProvider(api.StatusProvider):
    """Reports the state of the configuration and of membership."""

    def __init__(
        self,
        settings: model.Settings,
        follower: config_follower.ConfigFollower,
        address_selector: answer.AddressSelector,
        clock: clock_api.Clock,
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._address_selector = address_selector
        self._clock = clock

    def status(self) -> api.EntryStatus:
        """Returns the state of this entry VM."""
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
                for each in self._address_selector.view.members()
            ),
        )

    def addresses(self) -> answer.AddressAnswer:
        """Returns the answer for a caller in the region of this entry VM."""
        caller = answer.Caller(self._settings.entry.entry_id)
        return self._address_selector.answer(caller, self._clock.now_ms())

    def _member(
        self, member: membership_api.Member, rollout: config_follower.Rollout
    ) -> api.MemberStatus:
        return api.MemberStatus(
            entry_id=member.entry_id,
            state=member.state.value,
            failure_domain=member.failure_domain,
            current=member.entry_id not in rollout.differing,
        )
