"""Client of a target's control API."""

import json
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Result

from laburnumyard.clients._target_codec import (
    decode_answer,
    decode_renewal,
    encode_order,
    encode_renewal,
)
from laburnumyard.clients._target_decoding import map_target_failure
from laburnumyard.clients._target_messages import (
    DrainAnswer,
    GrantOrder,
    RenewOrder,
    SealOrder,
    TargetAnswer,
    TargetError,
    TargetHealth,
    TargetLoad,
)
from laburnumyard.clients._target_reports import (
    decode_drain,
    decode_health,
    decode_load,
)
from laburnumyard.transport._target_connection import (
    Answered,
    TargetConnection,
)
from laburnumyard.transport._target_exchange import TargetRequest

MAX_ANSWER_BYTES = 1024 * 1024
MAX_IDLE_CONNECTIONS = 2


@dataclass(slots=True)
class TargetControl:
    """Client of one target; each request is sent once, without retries.

    Parameters
    ----------
    address
        ``IP:PORT`` of the target.
    """

    address: str
    idle: list[TargetConnection] = field(default_factory=list)

    async def seal(
        self,
        order: SealOrder,
        timeout_s: float,
    ) -> Result[TargetAnswer, TargetError]:
        """Make the target reject all earlier terms.

        Parameters
        ----------
        order
            The service and the new term.
        timeout_s
            The deadline of the call, in seconds.
        """
        answer = await self._post('seal', encode_order(order), timeout_s)
        return answer.bind(decode_answer)

    async def grant(
        self,
        order: GrantOrder,
        timeout_s: float,
    ) -> Result[TargetAnswer, TargetError]:
        """Replace all key ranges granted to the target."""
        answer = await self._post('grant', encode_order(order), timeout_s)
        return answer.bind(decode_answer)

    async def renew(
        self,
        order: RenewOrder,
        timeout_s: float,
    ) -> Result[TargetAnswer, TargetError]:
        """Extend the lease of the target's current grant."""
        answer = await self._post('renew', encode_renewal(order), timeout_s)
        return answer.bind(lambda response: decode_renewal(response, order))

    async def drain(
        self,
        draining: bool,
        timeout_s: float,
    ) -> Result[DrainAnswer, TargetError]:
        """Make the target reject new requests, or accept them again."""
        body = json.dumps({'draining': draining}).encode()
        answer = await self._post('drain', body, timeout_s)
        return answer.bind(decode_drain)

    async def health(
        self,
        timeout_s: float,
    ) -> Result[TargetHealth, TargetError]:
        """Fetch the health that the target reports; it is untrusted."""
        request = TargetRequest('GET', '/control/health')
        answer = await self._call(request, timeout_s)
        return answer.bind(decode_health)

    async def load(self, timeout_s: float) -> Result[TargetLoad, TargetError]:
        """Fetch the load that the target reports; it is untrusted."""
        request = TargetRequest('GET', '/control/load')
        answer = await self._call(request, timeout_s)
        return answer.bind(decode_load)

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()

    async def _post(
        self,
        call: str,
        body: bytes,
        timeout_s: float,
    ) -> Result[Any, TargetError]:
        path = f'/control/{call}'
        request = TargetRequest('POST', path, (), body)
        return await self._call(request, timeout_s)

    async def _call(
        self,
        request: TargetRequest,
        timeout_s: float,
    ) -> Result[Any, TargetError]:
        answer = await self._send(request, timeout_s)
        return answer.map_error(map_target_failure)

    async def _send(
        self,
        request: TargetRequest,
        timeout_s: float,
    ) -> Answered:
        connection = self._take_idle()
        if connection is None:
            opened = await TargetConnection.open(
                self.address,
                MAX_ANSWER_BYTES,
                timeout_s,
            )
            if opened.is_error():
                return Error(opened.error)
            connection = opened.ok
        answer = await connection.send(request, timeout_s)
        self._give_back(connection)
        return answer

    def _take_idle(self) -> TargetConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable:
                return connection
        return None

    def _give_back(self, connection: TargetConnection) -> None:
        if connection.is_reusable and len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
        else:
            connection.close()
