"""Small stand-ins for the systems that crowrudder talks to.

Start one with ``python -m crowrudder_standins.NAME``. They implement the
contract in ``docs/reference/outside-systems.md``.
"""
