"""The lease manager of one scope as a state machine."""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._due_messages import (
    due_messages,
    last_renewals,
)
from laburnumyard.core.ownership._effects import Effect, OfferScope
from laburnumyard.core.ownership._event_handlers import take_event
from laburnumyard.core.ownership._events import Event
from laburnumyard.core.ownership._graceful_release import (
    give_up_releases,
    start_releases,
)
from laburnumyard.core.ownership._guard_handover import start_handovers
from laburnumyard.core.ownership._head_changes import (
    due_change,
    swap_effect,
    takeover,
)
from laburnumyard.core.ownership._head_reads import due_reading
from laburnumyard.core.ownership._lease import LATER
from laburnumyard.core.ownership._lease_sync import resume
from laburnumyard.core.ownership._loss_preparation import (
    gathering_ends,
    is_gathering,
    prepare,
)
from laburnumyard.core.ownership._manager_state import (
    ManagerSettings,
    ManagerState,
    Phase,
)
from laburnumyard.core.ownership._service_plan import ServicePlan

OFFER_INTERVAL = 0.5


class LeaseManager:
    """Grants, renews and moves the ranges of one data centre's targets.

    Runs in a daemon of another data centre, so that one loss never takes both
    the manager and its targets. Deterministic: feed events, run effects.

    Parameters
    ----------
    settings
        Who the manager is.
    plan
        What the configuration says about the service.
    """

    def __init__(self, settings: ManagerSettings, plan: ServicePlan) -> None:
        """Start idle, without knowledge of the store."""
        self.state = ManagerState(settings, plan)
        self.last_event_at: Seconds | None = None

    def handle(self, event: Event, now: Seconds) -> list[Effect]:
        """Take one event and return what to do, in order.

        Parameters
        ----------
        event
            What has happened.
        now
            The daemon's boot-time clock, in seconds.

        Returns
        -------
        list of Effect
            What the daemon must do.
        """
        self._notice_sleep(now)
        self.state.is_settled = False
        effects = take_event(event, self.state, now)
        if not self.state.is_settled:
            effects.extend(self._advance(now))
        return effects

    @property
    def is_idle(self) -> bool:
        """Whether the manager manages nothing; its daemon may stop."""
        return self.state.authority.phase is Phase.IDLE

    @property
    def may_take_over(self) -> bool:
        """Whether ``TakeOver`` would do anything now."""
        return self.state.authority.phase in {Phase.IDLE, Phase.RETIRING}

    def wake_at(self, now: Seconds) -> Seconds:
        """Return when the next ``Tick`` is due, in seconds."""
        state = self.state
        reading = state.reading
        times = [
            Seconds(now + state.settings.timing.renew_interval_s),
            reading.retry_at,
            reading.regular_at,
            *gathering_ends(state, now),
        ]
        for lease in state.leases.values():
            times.extend((lease.send_at, lease.expires_by))
        return min(moment for moment in times if moment > now)

    def _notice_sleep(self, now: Seconds) -> None:
        # A manager that slept may have been replaced. What it had sent before
        # is fenced, and it sends nothing more before it has asked the store.
        last = self.last_event_at
        self.last_event_at = now
        if last is None:
            return
        if now - last > self.state.settings.timing.grant_life_s:
            self.state.reading.awake_at = now

    def _advance(self, now: Seconds) -> list[Effect]:
        effects: list[Effect] = []
        if self.state.authority.phase is Phase.HOLDING:
            self._notice_silence(now)
            effects.extend(self._change_assignment(now))
            effects.extend(due_messages(self.state, now))
            effects.extend(self._offer(now))
        if self.state.authority.phase is Phase.TAKING:
            effects.extend(self._take(now))
        if self.state.authority.phase is Phase.RETIRING:
            effects.extend(last_renewals(self.state, now))
        effects.extend(due_reading(self.state, now))
        return effects

    def _notice_silence(self, now: Seconds) -> None:
        authority = self.state.authority
        is_silent = not self.state.is_confirmed(now)
        if authority.is_silent and not is_silent:
            resume(self.state, now)
        authority.is_silent = is_silent

    def _take(self, now: Seconds) -> list[Effect]:
        state = self.state
        is_known = state.snapshot or state.reading.is_absent
        if state.change or state.reading.is_stale or not is_known:
            return []
        state.change = takeover(state, now)
        return [swap_effect(state.change)]

    def _change_assignment(self, now: Seconds) -> list[Effect]:
        state = self.state
        is_waiting = state.change or is_gathering(state, now)
        if is_waiting or not state.is_confirmed(now):
            return []
        give_up_releases(state, now)
        due = None if state.reading.is_stale else due_change(state, now)
        if due:
            state.change = due.change
            return [due.log, swap_effect(due.change)]
        if state.authority.offer_at == LATER:
            start_releases(state, now)
            start_handovers(state, now)
        return prepare(state, now)

    def _offer(self, now: Seconds) -> list[Effect]:
        authority = self.state.authority
        if now < authority.offer_at:
            return []
        authority.offer_at = Seconds(now + OFFER_INTERVAL)
        return [OfferScope()]
