"""Platform soak seeds that failed before, each with its cause."""

from __future__ import annotations

REGRESSION_SEEDS = {
    204: (
        'an upstream whose record had not lapsed yet got a request after the '
        'other, although another one answered at its address'
    ),
    3: (
        'the origin sent the same wrong digest to all hosts for a second; '
        'the manifest was trusted permanently. Also: an engine that had taken '
        'no order was replaced, and its successor took its first one'
    ),
    2: (
        'the stand-in of a crashed replica kept answering on open '
        'connections; its end now closes them'
    ),
    10: (
        'SIGTERM arrived before the signal handlers were installed; allowed '
        'if the log shows that the process did not serve yet'
    ),
    202: (
        'SIGHUP arrived while a restarted process still imported its modules, '
        'and ended it'
    ),
    301: (
        'requests that waited in the queue into a replica reached it after '
        'its entry had been told that it leaves'
    ),
    302: 'a replica got requests in a pause that it had asked for',
    303: (
        'an engine took an order with pieces wrong or missing as its '
        'predecessor crashed'
    ),
    304: (
        'the check took the refusal of a key that was not in force yet for one '
        'of the withdrawn key'
    ),
    316: 'a replica got requests in a pause that it had asked for',
    321: 'as 301',
    324: 'as 323',
    901: 'answers with nothing after their head were told as whole',
    1017: (
        'entries contradicted each other over a request without harm, and '
        'rejected it in between'
    ),
    2003: (
        'an engine was replaced between the check of its staged chunks and '
        'the order, which its successor took'
    ),
    3022: (
        'a request without harm was rejected by one entry for 2.5 s; no run '
        'of it had been completed for ten seconds'
    ),
    3024: (
        'requests in the queue of a link counted as sent in a pause that was '
        'asked for after they had left'
    ),
    323: (
        'a request without harm ran on three engines that another one ended, '
        'and was refused as the one that ends them'
    ),
}
