"""Channel and server options shared by both sides."""

from __future__ import annotations

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
"""Largest message: one chunk of weights with its envelope."""

_RECEIVE_OPTION = 'grpc.max_receive_message_length'

KEEPALIVE_MS = 2000
"""A suspended peer sends no reset; only a missed keepalive detects it."""

KEEPALIVE_TIMEOUT_MS = 2000
"""Time without an acknowledgement of a ping after which a connection is closed.

grpcio waits for a ping as long as ``ping_timeout_ms`` says, a minute by default,
whatever the timeout of keepalive."""

CHANNEL_OPTIONS: tuple[tuple[str, int], ...] = (
    ('grpc.enable_retries', 0),
    ('grpc.service_config_disable_resolution', 1),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.keepalive_time_ms', KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_TIMEOUT_MS),
    ('grpc.http2.ping_timeout_ms', KEEPALIVE_TIMEOUT_MS),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
)

SERVER_OPTIONS: tuple[tuple[str, int], ...] = (
    ('grpc.so_reuseport', 0),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.keepalive_time_ms', KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_TIMEOUT_MS),
    ('grpc.http2.ping_timeout_ms', KEEPALIVE_TIMEOUT_MS),
    ('grpc.http2.min_ping_interval_without_data_ms', 1000),
    ('grpc.http2.max_ping_strikes', 0),
    # Pings on idle connections would be half of an idle process's traffic.
    ('grpc.keepalive_permit_without_calls', 0),
)


def channel_options(max_reply_bytes: int) -> tuple[tuple[str, int], ...]:
    """Return the options of a channel; a longer reply fails its call."""
    return (*CHANNEL_OPTIONS, (_RECEIVE_OPTION, max_reply_bytes))


def server_options(max_request_bytes: int) -> tuple[tuple[str, int], ...]:
    """Return the options of a server; a longer request fails its call."""
    return (*SERVER_OPTIONS, (_RECEIVE_OPTION, max_request_bytes))
