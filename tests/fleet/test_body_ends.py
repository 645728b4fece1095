"""Answers whose end their upstream delimits, or only its connection."""

from __future__ import annotations

from crowrudder_standins.fleet_replica import stream_of
from support.fleet_checks import checked, inject_fault_all
from support.raw_caller import ask_raw


def break_all(world, *names):
    """Let every engine frame and end its streams as the faults say."""
    for name in names:
        inject_fault_all(world, 'e', name, None)


class TestStreamWithoutFraming:
    """Guards against a FIN within an event that is taken for the end."""

    def test_a_stream_that_ends_within_an_event_is_broken_off(self):
        async def check(world):
            break_all(world, 'unframed', 'half_event')
            answer = await world.ask('/once/x', method='POST', request_id='a')
            assert answer.cut
            assert answer.body.endswith(b'\n\n')
            assert stream_of('a').startswith(answer.body)

        checked(check)


class TestCallerWithoutChunks:
    """Guards against a close that tells a caller without chunks: complete."""

    def test_a_broken_answer_ends_with_a_reset(self):
        async def check(world):
            break_all(world, 'half_event')
            answer = await ask_raw(
                world.nodes[0].callers, '/once/x', version='1.0'
            )
            assert not answer.looks_complete

        checked(check)
