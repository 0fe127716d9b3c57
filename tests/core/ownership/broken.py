"""Deliberately faulty variants; the observer must detect each of them."""

from dataclasses import replace

from laburnumyard.core import ownership


class LifetimeFromArrivalHolder(ownership.GrantHolder):
    """Counts the lifetime of a grant from the arrival of the message."""

    def _expiry(self, clock_ms, lifetime_ms, now):
        return now + lifetime_ms / 1000


class AnyTermHolder(ownership.GrantHolder):
    """Accepts grants of any term."""

    def grant(self, term, sequence, *content):
        return super().grant(self.term, self.sequence + 1, *content)


class EarlyExpirySettings(ownership.ManagerSettings):
    """Regards grants as expired after a third of their lifetime."""

    @property
    def longest_grant(self):
        return self.timing.grant_life_s / 3


class NoInheritedWaitSettings(ownership.ManagerSettings):
    """Does not wait for grants that a previous manager may be renewing."""

    @property
    def inherited_wait(self):
        return 0


class EarlyExpiryManager(ownership.LeaseManager):
    """Reassigns ranges before their grants have expired."""

    settings_class = EarlyExpirySettings

    def __init__(self, settings, plan):
        changed = self.settings_class(
            settings.daemon,
            settings.incarnation,
            settings.data_centre,
            settings.timing,
        )
        super().__init__(changed, plan)


class NoInheritedWaitManager(EarlyExpiryManager):
    """Reassigns ranges of targets that it could not seal."""

    settings_class = NoInheritedWaitSettings


class UnconfirmedGrantManager(ownership.LeaseManager):
    """Grants to a restarted target without reading the head again."""

    def handle(self, event, now):
        effects = super().handle(event, now)
        for lease in self.state.leases.values():
            lease.first_answer_at = self.state.authority.confirmed_at
        return effects


class AssumedSwapManager(ownership.LeaseManager):
    """Treats a swap without an answer as applied."""

    def handle(self, event, now):
        if isinstance(event, ownership.SwapUnknown):
            event = ownership.SwapDone(event.change, 0)
        return super().handle(event, now)


class NoFreezeManager(ownership.LeaseManager):
    """Renews the grant of a lost target while its ranges are reassigned."""

    def handle(self, event, now):
        effects = super().handle(event, now)
        change = self.state.change
        if change:
            self.state.change = replace(change, frozen=frozenset())
        return effects


class UnacknowledgedReleaseManager(ownership.LeaseManager):
    """Reassigns ranges before their owner has answered the revocation."""

    def handle(self, event, now):
        for lease in self.state.leases.values():
            lease.grant_state.acknowledged_sequence = lease.grant_state.sequence
        return super().handle(event, now)
