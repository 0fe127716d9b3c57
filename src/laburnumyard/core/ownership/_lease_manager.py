"""The lease manager of one scope, a deterministic state machine."""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._due_messages import (
    due_messages,
    renewals_while_retiring,
)
from laburnumyard.core.ownership._effects import Effect, OfferScope
from laburnumyard.core.ownership._event_handlers import apply_event
from laburnumyard.core.ownership._events import Event
from laburnumyard.core.ownership._graceful_release import (
    cancel_slow_releases,
    start_releases,
)
from laburnumyard.core.ownership._guard_handover import start_handovers
from laburnumyard.core.ownership._head_changes import (
    due_change,
    swap_effect,
    takeover_change,
)
from laburnumyard.core.ownership._head_reads import due_read
from laburnumyard.core.ownership._lease_sync import (
    extend_leases_after_suspension,
)
from laburnumyard.core.ownership._loss_preparation import (
    batch_ends,
    is_batching_losses,
    prepare_chunks_for_loss,
)
from laburnumyard.core.ownership._manager_state import (
    ManagerSettings,
    ManagerState,
    Phase,
)
from laburnumyard.core.ownership._service_plan import ServicePlan
from laburnumyard.core.ownership._target_lease import DISTANT_FUTURE

OFFER_INTERVAL_S = 0.5


class LeaseManager:
    """Grants, renews and moves the ranges of one data centre's targets.

    It runs in a daemon of another data centre, so that the loss of one data
    centre never takes down both the manager and its targets. It is
    deterministic: the daemon feeds events and runs the returned effects.

    Parameters
    ----------
    settings
        The identity of the manager, and its timing.
    plan
        The configuration of the service.
    """

    def __init__(self, settings: ManagerSettings, plan: ServicePlan) -> None:
        """Start idle, before any head is known."""
        self.state = ManagerState(settings, plan)
        self.last_event_at: Seconds | None = None

    def handle(self, event: Event, now: Seconds) -> list[Effect]:
        """Handle one event and return the effects to run, in order.

        Parameters
        ----------
        event
            What has happened.
        now
            The daemon's boot-time clock, in seconds.

        Returns
        -------
        list of Effect
            The actions that the daemon must run.
        """
        self._detect_pause(now)
        self.state.has_no_due_work = False
        effects = apply_event(event, self.state, now)
        if not self.state.has_no_due_work:
            effects.extend(self._advance(now))
        return effects

    @property
    def is_idle(self) -> bool:
        """Whether the manager has no duties; its daemon may stop."""
        return self.state.authority.phase is Phase.IDLE

    @property
    def may_take_over(self) -> bool:
        """Whether ``TakeOver`` would have an effect now."""
        return self.state.authority.phase in {Phase.IDLE, Phase.RETIRING}

    def wake_at(self, now: Seconds) -> Seconds:
        """Return when the next ``Tick`` is due, in seconds."""
        state = self.state
        read_state = state.read_state
        times = [
            Seconds(now + state.settings.timing.renew_interval_s),
            read_state.next_urgent_read_at,
            read_state.next_regular_read_at,
            *batch_ends(state, now),
        ]
        for lease in state.leases.values():
            times.extend((lease.next_message_at, lease.expires_by))
        return min(moment for moment in times if moment > now)

    def _detect_pause(self, now: Seconds) -> None:
        # A paused manager may have been replaced. Its earlier messages are
        # fenced, and it sends no more until it has read the store.
        last = self.last_event_at
        self.last_event_at = now
        if last is None:
            return
        if now - last > self.state.settings.timing.grant_life_s:
            self.state.read_state.resumed_at = now

    def _advance(self, now: Seconds) -> list[Effect]:
        effects: list[Effect] = []
        if self.state.authority.phase is Phase.HOLDING:
            self._update_suspension(now)
            effects.extend(self._change_assignment(now))
            effects.extend(due_messages(self.state, now))
            effects.extend(self._offer_scope(now))
        if self.state.authority.phase is Phase.TAKING:
            effects.extend(self._request_takeover(now))
        if self.state.authority.phase is Phase.RETIRING:
            effects.extend(renewals_while_retiring(self.state, now))
        effects.extend(due_read(self.state, now))
        return effects

    def _update_suspension(self, now: Seconds) -> None:
        authority = self.state.authority
        is_suspended = not self.state.may_send(now)
        if authority.is_suspended and not is_suspended:
            extend_leases_after_suspension(self.state, now)
        authority.is_suspended = is_suspended

    def _request_takeover(self, now: Seconds) -> list[Effect]:
        state = self.state
        is_known = state.snapshot or state.read_state.is_absent
        if state.change or state.read_state.is_stale or not is_known:
            return []
        state.change = takeover_change(state, now)
        return [swap_effect(state.change)]

    def _change_assignment(self, now: Seconds) -> list[Effect]:
        state = self.state
        is_waiting = state.change or is_batching_losses(state, now)
        if is_waiting or not state.may_send(now):
            return []
        cancel_slow_releases(state, now)
        due = None if state.read_state.is_stale else due_change(state, now)
        if due:
            state.change = due.change
            return [due.log, swap_effect(due.change)]
        if state.authority.offer_at == DISTANT_FUTURE:
            start_releases(state, now)
            start_handovers(state, now)
        return prepare_chunks_for_loss(state, now)

    def _offer_scope(self, now: Seconds) -> list[Effect]:
        authority = self.state.authority
        if now < authority.offer_at:
            return []
        authority.offer_at = Seconds(now + OFFER_INTERVAL_S)
        return [OfferScope()]
