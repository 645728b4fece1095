"""Write the declared files of a run; check and bundle them with the client."""

from __future__ import annotations

import asyncio
import configparser
import json
import shutil
from pathlib import Path
from typing import TYPE_CHECKING

from _process import FleetError, program
from attrs import define, frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from _fleet import Fleet

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'fleet'
_MEBIBYTE = 1 << 20


@frozen
class Weights:
    """A version of weights, whose bytes are generated from the seed.

    A version that isn't `stored` is available at the origin only.
    """

    version: str
    seed: int
    stored: bool = True
    size: int = 8 * _MEBIBYTE
    chunk_bytes: int = _MEBIBYTE

    @property
    def chunks(self) -> int:
        """Return the number of chunks."""
        return -(-self.size // self.chunk_bytes)


async def client(*arguments: str) -> str:
    """Run the operators' client and return what it printed.

    Raises
    ------
    FleetError
        If the exit code isn't 0.
    """
    child = await asyncio.create_subprocess_exec(
        program('crowrudder'),
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    printed, _ = await child.communicate()
    if child.returncode:
        command = f'crowrudder {" ".join(arguments)}'
        raise FleetError('client', command, printed.decode())
    return printed.decode()


@define
class Declared:
    """A directory of declared files, and the state published from it."""

    directory: Path
    model: str = 'listing'
    generation: int = 0
    digest: str = ''
    version: str = ''

    @classmethod
    def from_example(cls, directory: Path) -> Declared:
        """Copy the example's files."""
        shutil.copytree(EXAMPLE, directory)
        return cls(directory)

    async def publish(self, fleet: Fleet, weights: Weights) -> str:
        """Declare a version, check, bundle and publish it; return the digest.

        The previous version stays declared, as hosts still serve it.
        """
        await self.publish_concurrently(fleet, [weights])
        return self.digest

    async def publish_concurrently(
        self, fleet: Fleet, concurrent_versions: Sequence[Weights]
    ) -> list[str]:
        """Publish a bundle for each version, all of one generation.

        The bundles have the same parent, like those of operators who publish
        concurrently; the highest digest wins. The digests are returned.
        """
        for weights in concurrent_versions:
            await self._make_weights(fleet, weights)
        self._advance_generation()
        bundles: dict[str, tuple[bytes, str]] = {}
        for weights in concurrent_versions:
            bundle = await self._bundle(weights.version)
            digest = str(json.loads(bundle)['digest'])
            bundles[digest] = (bundle, weights.version)
        self.digest = max(bundles)
        self.version = bundles[self.digest][1]
        for bundle, _ in bundles.values():
            await fleet.publish(bundle)
        return list(bundles)

    def set_replicas(self, replicas: int) -> None:
        """Declare the number of replicas of the model."""
        self._set('services.ini', 'service:listing', replicas=replicas)

    async def _make_weights(self, fleet: Fleet, weights: Weights) -> None:
        manifest = await fleet.make_weights(
            weights.version,
            size=weights.size,
            chunk_bytes=weights.chunk_bytes,
            seed=weights.seed,
            stored=weights.stored,
        )
        self._declare(weights, manifest)

    async def _bundle(self, version: str) -> bytes:
        self._set('services.ini', f'service:{self.model}', version=version)
        directory = str(self.directory)
        bundle_path = self.directory.parent / 'bundle'
        await client('check', directory)
        await client('bundle', directory, '-o', str(bundle_path))
        return bundle_path.read_bytes()

    def _declare(self, weights: Weights, manifest: str) -> None:
        self._set(
            'versions.ini',
            f'version:{weights.version}',
            model=self.model,
            manifest=manifest,
            size=weights.size,
            chunks=weights.chunks,
        )

    def _advance_generation(self) -> None:
        self.generation += 1
        self._set(
            'fleet.ini',
            'fleet',
            generation=self.generation,
            parent=self.digest,
        )

    def _set(self, file_name: str, section: str, **keys: object) -> None:
        path = self.directory / file_name
        cfg = configparser.ConfigParser(interpolation=None)
        cfg.read(path)
        if not cfg.has_section(section):
            cfg.add_section(section)
        for key, text in keys.items():
            cfg.set(section, key, str(text))
        with path.open('w') as file:
            cfg.write(file)
