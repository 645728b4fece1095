from __future__ import annotations

import ast
import graphlib
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGES = ROOT / 'packages'
MAY_IMPORT = {
    'model': set(),
    'core': {'model'},
    'daemon': {'model', 'core'},
    'client': {'model', 'core'},
    'standins': {'model'},
    'platform': {'model', 'core', 'daemon'},
}
# Modules for input, output, clocks and the global random generator. A generator
# that is passed in is a `random.Random`, imported by that name.
IMPURE = {
    'asyncio',
    'grpc',
    'os',
    'random',
    'secrets',
    'socket',
    'subprocess',
    'threading',
    'time',
    'tornado',
}


def sources_in(package):
    folder = ROOT / package if package == 'platform' else PACKAGES / package
    found = sorted((folder / 'src').rglob('*.py'))
    assert found
    return found


def modules_imported_by(package):
    for path in sources_in(package):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Import(names=names):
                    yield from ((path.name, name.name) for name in names)
                case ast.ImportFrom(module=str(module), names=names):
                    yield from (
                        (path.name, f'{module}.{name.name}') for name in names
                    )


@pytest.mark.parametrize('package', sorted(MAY_IMPORT))
class TestLayers:
    def test_package_imports_only_lower_layers(self, package):
        allowed = {f'crowrudder_{name}' for name in MAY_IMPORT[package]}
        allowed.add(f'crowrudder_{package}')
        violations = [
            (file, module)
            for file, module in modules_imported_by(package)
            if module.startswith('crowrudder_')
            and module.split('.')[0] not in allowed
        ]
        assert not violations


@pytest.mark.parametrize('package', ['model', 'core'])
class TestPurity:
    def test_no_input_output_clock_or_random_source(self, package):
        violations = [
            (file, module)
            for file, module in modules_imported_by(package)
            if module.split('.')[0] in IMPURE and module != 'random.Random'
        ]
        assert not violations


def module_graph():
    """Return the modules of the workspace and their imports of each other.

    Imports for type checking only count as well.
    """
    modules = {}
    for package in MAY_IMPORT:
        for path in sources_in(package):
            parts = path.relative_to(
                path.parents[path.parts[::-1].index('src')]
            )
            name = '.'.join(parts.with_suffix('').parts[1:])
            modules[name.removesuffix('.__init__')] = path
    return {
        name: imports_of(path, modules) - {name}
        for name, path in modules.items()
    }


def imports_of(path, modules):
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=names):
                found.update(name.name for name in names)
            case ast.ImportFrom(module=str(module), names=names):
                for name in names:
                    inner = f'{module}.{name.name}'
                    found.add(inner if inner in modules else module)
    return found & modules.keys()


class TestImportCycles:
    def test_no_modules_import_each_other(self):
        """Modules that import each other cannot be understood separately."""
        graph = module_graph()
        assert any(graph.values())
        ordered = tuple(graphlib.TopologicalSorter(graph).static_order())
        assert len(ordered) == len(graph)


class TestStandardLibrary:
    def test_platform_is_still_pythons_own_module(self):
        """Guard against a package that shadows a standard library module.

        The root of the repository is first on the import path of a process
        that starts there. A package named `platform` in the root would shadow
        the standard module, and every library that queries the operating
        system would fail on import.
        """
        assert not (ROOT / 'platform' / '__init__.py').exists()
        found = subprocess.run(
            [
                sys.executable,
                '-c',
                'import platform; print(platform.machine())',
            ],
            cwd=ROOT,
            capture_output=True,
            check=True,
            text=True,
        )
        assert found.stdout.strip()


# Names of the external platform's interface that only its adapter may use.
# `Retry-After` and `Last-Event-Id` are standard HTTP, and `X-Deadline-Ms` is
# also part of crowrudder's own interface for callers.
FOREIGN = re.compile(
    r"""X-Attempt-Id|X-Expect-|X-Tenant|X-Credential
    |X-Replica-|X-Not-Executed|X-Token-Count|X-Prompt-Prefix|X-Request-Urgency
    |X-Weight-Versions|X-Model|X-Length-Hint|/-/[a-z]|sample_count
    |create_revision|more_pages|store_revision|cold_left_ms|goal_ms|gap_goal_ms
    |per_seq_ms|\bread_per_s\b|pairs_per_m\b|kv_used|api_keys|inner_ports
    |machine_class|op/config|op/version|servers/|CROWRUDDER_BOOT""",
    re.VERBOSE | re.IGNORECASE,
)


class TestForeignNames:
    @pytest.mark.parametrize(
        'package', sorted(set(MAY_IMPORT) - {'platform', 'standins'})
    )
    def test_only_the_adapter_uses_platform_names(self, package):
        violations = [
            (path.name, found.group())
            for path in sources_in(package)
            for found in FOREIGN.finditer(path.read_text())
        ]
        assert not violations

    def test_pattern_matches_names_in_the_adapter(self):
        texts = [path.read_text() for path in sources_in('platform')]
        assert any(FOREIGN.search(text) for text in texts)
