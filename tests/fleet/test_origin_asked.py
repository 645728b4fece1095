"""Log and metrics of an agent's reasons for reading from the origin."""

from __future__ import annotations

from support.aio import run
from support.fleet import fleet


def test_log_of_held_version_has_reasons_of_origin_reads(caplog):
    caplog.set_level('INFO', 'crowrudder.test')

    async def check():
        async with fleet(plain=0, engines=0) as world:
            replica = await world.add_agent(1)
            await world.until(lambda: replica.whole_weights == 1)
            (line,) = (
                each for each in caplog.records if each.msg == 'version held'
            )
            reads = world.origin.count
            assert line.origin_reasons == {'turn': reads}
            counted = world.agents[0].runtime.metrics.render().decode()
            name = 'weights_origin_reads_total{reason="turn"}'
            assert f'{name} {float(reads)}' in counted

    run(check())
