"""Deliberately broken variants: the observer must catch each of them."""

from dataclasses import replace

from laburnumyard.core import ownership


class ArrivalHolder(ownership.GrantHolder):
    """Counts the lifetime from the arrival of a message."""

    def _expiry(self, clock_ms, lifetime_ms, now):
        return now + lifetime_ms / 1000


class TermlessHolder(ownership.GrantHolder):
    """Takes orders of every term."""

    def grant(self, term, sequence, *content):
        return super().grant(self.term, self.sequence + 1, *content)


class HastySettings(ownership.ManagerSettings):
    """Takes grants for expired long before they are."""

    @property
    def longest_grant(self):
        return self.timing.grant_life_s / 3


class NoHoldSettings(ownership.ManagerSettings):
    """Does not wait for what a predecessor may be renewing."""

    @property
    def inherited_wait(self):
        return 0


class HastyManager(ownership.LeaseManager):
    """Moves ranges before their grants have expired."""

    settings_class = HastySettings

    def __init__(self, settings, plan):
        changed = self.settings_class(
            settings.daemon,
            settings.incarnation,
            settings.data_centre,
            settings.timing,
        )
        super().__init__(changed, plan)


class NoHoldManager(HastyManager):
    """Moves ranges of targets that it could not seal."""

    settings_class = NoHoldSettings


class TrustingManager(ownership.LeaseManager):
    """Grants to a restarted target without reading the head again."""

    def handle(self, event, now):
        effects = super().handle(event, now)
        for lease in self.state.leases.values():
            lease.first_answer_at = self.state.authority.confirmed_at
        return effects


class EagerManager(ownership.LeaseManager):
    """Acknowledges a change whose answer was lost."""

    def handle(self, event, now):
        if isinstance(event, ownership.SwapUnknown):
            event = ownership.SwapDone(event.change, 0)
        return super().handle(event, now)


class UnfrozenManager(ownership.LeaseManager):
    """Renews at a lost target while it is moving its ranges."""

    def handle(self, event, now):
        effects = super().handle(event, now)
        change = self.state.change
        if change:
            self.state.change = replace(change, frozen=frozenset())
        return effects


class ImpatientManager(ownership.LeaseManager):
    """Moves ranges before their owner has answered the revocation."""

    def handle(self, event, now):
        for lease in self.state.leases.values():
            lease.grant_state.acknowledged_sequence = lease.grant_state.sequence
        return super().handle(event, now)
