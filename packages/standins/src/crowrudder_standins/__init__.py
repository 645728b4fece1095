"""Small stand-ins of the systems that crowrudder meets.

Each is a module to start by ``python -m crowrudder_standins.NAME``; the
contract they follow is ``docs/reference/outside-systems.md``.
"""
