"""Explore every order of events around one request, breadth first.

Usage:
  explore.py [--states=N] [--doubles=N] [--losses=N] [--deaths=N]

Options:
  --states=N   Stop after so many states [default: 200000].
  --doubles=N  Messages that may arrive twice [default: 1].
  --losses=N   Messages that may be lost [default: 1].
  --deaths=N   Processes that may die [default: 1].

Prints the number of states and whether all were seen; exit 1, with the
shortest story, when a promise breaks.
"""

from __future__ import annotations

import sys
from collections import deque

from _explore_world import InvariantViolationError, Move, World, new_world
from attrs import frozen
from docopt import docopt

from crowrudder_model import InvariantError


@frozen
class ExplorationResult:
    """Result of an exploration."""

    states: int
    complete: bool
    broken: str = ''
    path: tuple[Move, ...] = ()


def explore(first: World, *, most_states: int) -> ExplorationResult:
    """Visit states breadth first until all are seen or an invariant fails."""
    seen = {first.key()}
    queue: deque[tuple[World, tuple[Move, ...]]] = deque([(first, ())])
    while queue:
        world, path = queue.popleft()
        for move in world.moves():
            try:
                next_world = world.apply(move)
            except (InvariantViolationError, InvariantError) as exc:
                return ExplorationResult(
                    len(seen), False, str(exc), (*path, move)
                )
            key = next_world.key()
            if key in seen:
                continue
            if len(seen) >= most_states:
                return ExplorationResult(len(seen), complete=False)
            seen.add(key)
            queue.append((next_world, (*path, move)))
    return ExplorationResult(len(seen), complete=True)


def main() -> int:
    """Run from the command line."""
    options = docopt(__doc__ or '')
    world = new_world(
        doubles=int(options['--doubles']),
        losses=int(options['--losses']),
        deaths=int(options['--deaths']),
    )
    result = explore(world, most_states=int(options['--states']))
    if result.broken:
        print(f'explore: broken after {result.states} states: {result.broken}')
        for move in result.path:
            print(f'  {move.act} {move.agent} {move.attempt} {move.message}')
        return 1
    extent = 'all' if result.complete else 'not all'
    print(f'explore: ok states={result.states} ({extent} seen)')
    return 0


if __name__ == '__main__':
    sys.exit(main())
