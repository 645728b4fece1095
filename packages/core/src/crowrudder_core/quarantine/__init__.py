"""Requests that end the upstreams that run them."""

from crowrudder_core.quarantine._digest import digest_text, request_digest

__all__ = ('digest_text', 'request_digest')
