"""Any interleaving of writes, copies, lists, watches and fetches converges."""

from __future__ import annotations

from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from crowrudder_core.catalog import HOLD_S, Catalog
from crowrudder_model import StorePosition
from crowrudder_model.messages import PublishedItem

CONFIG = 'op/config'
PROCESSES = 3
UPSTREAMS = 2
EXAMPLES = 500


@define
class Store:
    """A store with its writers: an operator, and upstreams that come and go."""

    position: StorePosition = field(factory=lambda: StorePosition(1, 1))
    records: dict[str, PublishedItem] = field(factory=dict)
    history: list[PublishedItem] = field(factory=list)
    copy: tuple = ()
    version: int = 0
    incarnations: int = 0
    alive: dict[int, str] = field(factory=dict)
    ended: set[str] = field(factory=set)

    def write(self, key, payload, version=0):
        revision = self.position.revision + 1
        self.position = StorePosition(self.position.era, revision)
        item = PublishedItem(
            key=key, revision=revision, payload=payload, version=version
        )
        self.history.append(item)
        self.records.pop(key, None)
        if payload is not None:
            self.records[key] = item

    def publish(self):
        self.version += 1
        self.write_config()

    def write_config(self):
        self.write(CONFIG, b'%d' % self.version, self.version)

    def start(self, slot):
        """Begin a new incarnation; the one before has ended for good."""
        self.end(slot)
        self.incarnations += 1
        self.alive[slot] = f'servers/{self.incarnations}'
        self.write(self.alive[slot], b'ready')

    def end(self, slot):
        key = self.alive.pop(slot, '')
        if key:
            self.ended.add(key)
            self.write(key, None)

    def lapse(self, slot):
        """Remove the record of one that is alive, and let it register again."""
        key = self.alive.get(slot, '')
        if key:
            self.write(key, None)
            self.write(key, b'ready')

    def save(self):
        self.copy = (
            self.position.revision, dict(self.records), list(self.history)
        )  # fmt: skip

    def restore(self):
        if self.copy:
            revision, records, history = self.copy
            self.records, self.history = dict(records), list(history)
            self.position = StorePosition(self.position.era + 1, revision)

    def write_again(self):
        """Write what the copy lacks, as the operator and the living do."""
        config = self.records.get(CONFIG)
        if self.version and (config is None or config.version < self.version):
            self.write_config()
        for key in self.alive.values():
            if key not in self.records:
                self.write(key, b'ready')
        for key in self.ended & self.records.keys():
            self.write(key, None)

    def changes_after(self, revision):
        return [each for each in self.history if each.revision > revision]


@define
class World:
    """Some processes beside a store; checks what never goes back."""

    store: Store = field(factory=Store)
    processes: list[Catalog] = field(
        factory=lambda: [Catalog() for _ in range(PROCESSES)]
    )
    now: float = 0

    def list_all(self, number, _other=0):
        self.processes[number].replace(
            self.store.records.values(),
            through=self.store.position,
            now=self.now,
        )

    def watch(self, number, _other=0):
        process = self.processes[number]
        if process.position.revision <= self.store.position.revision:
            process.apply(
                self.store.changes_after(process.position.revision),
                through=self.store.position,
                now=self.now,
            )

    def fetch(self, number, other):
        process, peer = self.processes[number], self.processes[other]
        if peer.position <= process.position:
            return
        changes = peer.changes_after(
            process.position, now=self.now, confirmed_s=0
        )
        apply = process.replace if changes.is_whole else process.apply
        apply(changes.items, through=changes.position, now=self.now)

    def ask_kept(self, number, other):
        process, peer = self.processes[number], self.processes[other]
        process.keep(
            peer.kept(now=self.now), era=peer.position.era, now=self.now
        )

    def restart(self, number, _other=0):
        self.processes[number] = Catalog()


def known(process):
    """Return the version, the position and the records of a process."""
    items = {each.key: each for each in process.items()}
    config = items.get(CONFIG)
    return config.version if config else 0, process.position, items


def assert_equal_to_store(world):
    expected = {key: each.payload for key, each in world.store.records.items()}
    for process in world.processes:
        found = {each.key: each.payload for each in process.items()}
        assert found == expected


WRITES = st.tuples(
    st.sampled_from(['publish', 'save', 'restore', 'write_again']),
)
UPSTREAM_WRITES = st.tuples(
    st.sampled_from(['start', 'end', 'lapse']), st.integers(0, UPSTREAMS - 1)
)
READS = st.tuples(
    st.sampled_from(['list_all', 'watch', 'fetch', 'ask_kept', 'restart']),
    st.integers(0, PROCESSES - 1),
    st.integers(0, PROCESSES - 1),
)


class TestInterleavings:
    @settings(max_examples=EXAMPLES)
    @given(
        st.lists(
            st.one_of(WRITES, UPSTREAM_WRITES, READS), min_size=15, max_size=40
        )
    )
    def test_all_end_equal_and_nothing_goes_back(self, steps):
        """Guards against any order of events in which a process goes back."""
        world = World()
        gone: list[set[str]] = [set() for _ in range(PROCESSES)]
        for name, *args in steps:
            before = [known(each) for each in world.processes]
            if hasattr(world, name):
                getattr(world, name)(*args)
            else:
                getattr(world.store, name)(*args)
            for number, process in enumerate(world.processes):
                if name == 'restart' and args[0] == number:
                    gone[number].clear()
                    continue
                version, position, items = known(process)
                old_version, old_position, old_items = before[number]
                assert version >= old_version
                assert position >= old_position
                gone[number] |= old_items.keys() - items.keys()
                assert not gone[number] & world.store.ended & items.keys()
        self.settle(world)
        assert_equal_to_store(world)

    @settings(max_examples=EXAMPLES)
    @given(
        st.lists(
            st.one_of(WRITES, UPSTREAM_WRITES, READS), min_size=15, max_size=40
        )
    )
    def test_processes_that_only_fetch_end_equal(self, steps):
        """Guards against a record that outlives its removal at a peer.

        A process that lists the store doesn't notice what came and went since
        its last answer, and can't tell a peer that it's gone.
        """
        world = World()
        for name, *args in steps:
            target = world if hasattr(world, name) else world.store
            getattr(target, name)(*args)
        self.settle(world, readers=1)
        world.store.publish()
        world.watch(0)
        for number in range(1, PROCESSES):
            world.fetch(number, 0)
            world.processes[number].release_held(now=world.now + HOLD_S)
        assert_equal_to_store(world)

    def settle(self, world, readers=PROCESSES):
        """Let the writers write again, and some processes read the store."""
        world.store.write_again()
        world.now += HOLD_S
        for number, process in enumerate(world.processes[:readers]):
            world.list_all(number)
            process.release_held(now=world.now + HOLD_S)
