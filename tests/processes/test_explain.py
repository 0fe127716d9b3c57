"""Operators ask gateway processes where a request would go."""

import json

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from laburnumyard.cli import run_command
from laburnumyard.cli._environment import Environment
from standins import gateway_cluster
from standins._gateway_target import GatewayTarget
from tests.gateway.test_relay import free_addresses

pytestmark = pytest.mark.anyio
SERVED_WITHIN_S = 10
QUESTION = ('explain', '--url=shop.example/benches/1', '--key=7')


@pytest.fixture
def metrics(monkeypatch):
    """Address of the gateway that gets the port first."""
    address = free_addresses(1)[0]
    _, port = address.split(':')
    settings = gateway_cluster.SETTINGS.replace(
        '[store]', f'metrics_port = {port}\n[store]'
    )
    monkeypatch.setattr(gateway_cluster, 'SETTINGS', settings)
    return address


async def explain(address, *options):
    arguments = (*QUESTION, f'--gateway={address}', *options)
    return await anyio.to_thread.run_sync(
        run_command, arguments, Environment({})
    )


@pytest.mark.parametrize('keyed', [True, False])
async def test_a_request_goes_where_the_explanation_says(
    tmp_path, metrics, capsys, keyed
):
    targets = [
        GatewayTarget(f'i-{number}', 'catalogue', is_keyed=keyed)
        for number in range(3)
    ]
    async with gateway_cluster.running_gateways(
        tmp_path, targets, keyed=keyed
    ) as cluster:
        with anyio.fail_after(SERVED_WITHIN_S):
            while True:
                served = await cluster.ask(cluster.gateways[0], '/benches/1', 7)
                if served.status == 200:
                    break
                await anyio.sleep(0.1)
        before = sum(len(target.arrivals) for target in targets)
        capsys.readouterr()
        assert_that(await explain(metrics, '--json'), Equals(0))
        answered = json.loads(capsys.readouterr().out)
        assert_that(await explain(metrics), Equals(0))
        text = capsys.readouterr().out
        after = sum(len(target.arrivals) for target in targets)
        again = await cluster.ask(cluster.gateways[0], '/benches/1', 7)
    part = answered['parts'][0]
    assert_that(part['verdict'], Equals('sent'))
    assert_that(text, Contains('service catalogue: sent to'))
    assert_that(after, Equals(before))
    if keyed:
        assert_that(part['target'], Equals(again.target))
