"""Tests of an entry's explanation of where a request would go."""

from __future__ import annotations

import logging

import pytest

from crowrudder_daemon.admin import UnknownNameError
from crowrudder_daemon.entry._requests import RequestsTask, SnapshotReceived
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_daemon.process import Runtime
from crowrudder_daemon.rpc import PeerClient
from crowrudder_model.declared import Customer, Declaration, bundle_of
from support.aio import run
from support.path import BUNDLE, SERVICE
from support.settings import entry_settings

BUNDLE_WITHOUT_ACCESS = bundle_of(
    Declaration(
        1,
        services=BUNDLE.declaration.services,
        models=BUNDLE.declaration.models,
        customers=(Customer('stranger', services=()),),
    ),
)


async def explain_in_entry(bundle, customer, model):
    runtime = Runtime(cfg=entry_settings(), log=logging.getLogger('test'))
    requests = RequestsTask(runtime, PeerClient())
    requests.on_snapshot_received(SnapshotReceived(Snapshot(bundle)))
    try:
        return requests.explain(customer, model)
    finally:
        runtime.metrics.close()


class TestExplain:
    def test_states_whether_the_customer_is_allowed(self):
        assert run(explain_in_entry(BUNDLE, 'small', SERVICE))['allowed']
        answer = run(
            explain_in_entry(BUNDLE_WITHOUT_ACCESS, 'stranger', SERVICE)
        )
        assert not answer['allowed']
        assert answer['why'] == 'may not use this service'

    @pytest.mark.parametrize(
        'names',
        [('nobody', SERVICE), ('small', 'nothing')],
    )
    def test_undeclared_names_raise_errors_with_the_name(self, names):
        """Guard against an empty explanation of an undeclared name.

        With no routes and no reason in the answer, a mistyped customer in
        `crowrudder explain` looked like a declared one without a route.
        """
        with pytest.raises(UnknownNameError, match=r'nobody|nothing'):
            run(explain_in_entry(BUNDLE, *names))
