"""What an entry says of where a request would go."""

from __future__ import annotations

import logging

import pytest

from crowrudder_daemon.admin import UnknownNameError
from crowrudder_daemon.entry._requests import RequestsTask, SnapshotCame
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_daemon.process import Runtime
from crowrudder_daemon.rpc import PeerClient
from crowrudder_model.declared import Customer, Declaration, bundle_of
from support.aio import run
from support.path import BUNDLE, SERVICE
from support.settings import entry_settings

STRANGER = bundle_of(
    Declaration(
        1,
        services=BUNDLE.declaration.services,
        models=BUNDLE.declaration.models,
        customers=(Customer('stranger', services=()),),
    ),
)


async def explained(bundle, customer, model):
    runtime = Runtime(cfg=entry_settings(), log=logging.getLogger('test'))
    requests = RequestsTask(runtime, PeerClient())
    requests.on_snapshot_came(SnapshotCame(Snapshot(bundle)))
    try:
        return requests.explain(customer, model)
    finally:
        runtime.metrics.close()


class TestExplain:
    def test_says_whether_the_customer_may(self):
        assert run(explained(BUNDLE, 'small', SERVICE))['allowed']
        answer = run(explained(STRANGER, 'stranger', SERVICE))
        assert not answer['allowed']
        assert answer['why'] == 'may not use this service'

    @pytest.mark.parametrize(
        'names',
        [('nobody', SERVICE), ('small', 'nothing')],
    )
    def test_undeclared_names_are_errors_that_name_them(self, names):
        """Symptom: a mistyped customer looked like one without a route.

        Sequence: `crowrudder explain` with a name that no file declares.
        Cause: the entry answered with no routes and no reason.
        """
        with pytest.raises(UnknownNameError, match=r'nobody|nothing'):
            run(explained(BUNDLE, *names))
