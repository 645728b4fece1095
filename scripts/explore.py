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

from _explore_world import BrokenPromiseError, Move, World, new_world
from attrs import frozen
from docopt import docopt

from crowrudder_model import InvariantError


@frozen
class Explored:
    """What an exploration found."""

    states: int
    whole: bool
    broken: str = ''
    story: tuple[Move, ...] = ()


def explore(first: World, *, most_states: int) -> Explored:
    """Visit states breadth first until all are seen or a promise breaks."""
    seen = {first.key()}
    queue: deque[tuple[World, tuple[Move, ...]]] = deque([(first, ())])
    while queue:
        world, story = queue.popleft()
        for move in world.moves():
            try:
                following = world.after(move)
            except (BrokenPromiseError, InvariantError) as exc:
                return Explored(len(seen), False, str(exc), (*story, move))
            key = following.key()
            if key in seen:
                continue
            if len(seen) >= most_states:
                return Explored(len(seen), whole=False)
            seen.add(key)
            queue.append((following, (*story, move)))
    return Explored(len(seen), whole=True)


def main() -> int:
    """Run from the command line."""
    options = docopt(__doc__ or '')
    world = new_world(
        doubles=int(options['--doubles']),
        losses=int(options['--losses']),
        deaths=int(options['--deaths']),
    )
    found = explore(world, most_states=int(options['--states']))
    if found.broken:
        print(f'explore: broken after {found.states} states: {found.broken}')
        for move in found.story:
            print(f'  {move.act} {move.agent} {move.attempt} {move.flying}')
        return 1
    extent = 'all' if found.whole else 'not all'
    print(f'explore: ok states={found.states} ({extent} seen)')
    return 0


if __name__ == '__main__':
    sys.exit(main())
