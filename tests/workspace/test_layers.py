from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGES = Path(__file__).parents[2] / 'packages'
MAY_IMPORT = {
    'model': set(),
    'core': {'model'},
    'daemon': {'model', 'core'},
    'client': {'model', 'core'},
    'standins': {'model'},
}
# Input, output, clocks and the global random source, by module. A source that
# is handed in is `random.Random`, imported by that name.
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


def modules_imported_by(package):
    for path in sorted((PACKAGES / package / 'src').rglob('*.py')):
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
    def test_package_imports_only_what_is_below_it(self, package):
        allowed = {f'crowrudder_{name}' for name in MAY_IMPORT[package]}
        allowed.add(f'crowrudder_{package}')
        wrong = [
            (file, module)
            for file, module in modules_imported_by(package)
            if module.startswith('crowrudder_')
            and module.split('.')[0] not in allowed
        ]
        assert not wrong


@pytest.mark.parametrize('package', ['model', 'core'])
class TestPurity:
    def test_no_input_output_clock_or_random_source(self, package):
        wrong = [
            (file, module)
            for file, module in modules_imported_by(package)
            if module.split('.')[0] in IMPURE and module != 'random.Random'
        ]
        assert not wrong
