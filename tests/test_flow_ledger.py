#!/usr/bin/env python3
"""Tests of the ledger of open flows, by which the soak finds violations of the platform's rule."""
import os
import sys
import types
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standins'))
import flow_ledger  # noqa: E402

KEY = (1, 2, 3, 4)
# Name of the failure that the case guards against; events: (kind, time); whether a violation is to be found.
CASES = [
    ('a reset of an open flow is not found', [('own', 0), ('reset', 1)], True),
    ('a reset after the flow has ended is taken for a violation', [('own', 0), ('end', 1), ('reset', 2)], False),
    ('a reset after the upstream has ended is taken for a violation', [('own', 0), ('gone', 1), ('reset', 2)], False),
    ('a reset of a flow that was idle for too long is taken for a violation', [('own', 0), ('reset', 16)], False),
    ('a reset of a flow that never opened is taken for a violation', [('reset', 1)], False),
    ('segments at other upstreams are not found', [('own', 0), ('foreign', 0.5), ('foreign', 1), ('foreign', 1.5)], True),
    ('segments at other upstreams are not found, as the upstream got one much later',
     [('own', 0), ('foreign', 0.5), ('foreign', 1), ('foreign', 1.5), ('own', 3)], True),
    ('segments at other upstreams are not found, as the caller had paused before',
     [('own', 0), ('foreign', 5), ('foreign', 5.01), ('foreign', 5.02), ('own', 5.03)], True),
    ('segments at other upstreams count although the own one got some',
     [('own', 0), ('foreign', 0.5), ('own', 1), ('foreign', 1.5), ('foreign', 2), ('own', 2.1)], False),
    ('two segments at other upstreams are too many', [('own', 0), ('foreign', 5), ('foreign', 5.1)], False),
    ('segments at other upstreams within a longer time are too many',
     [('own', 0), ('foreign', 1), ('foreign', 2.5), ('foreign', 4)], False),
]


class FlowLedgerTest(unittest.TestCase):
    def test_cases(self):
        for name, events, violated in CASES:
            with self.subTest(name):
                ledger = flow_ledger.FlowLedger()
                upstream = types.SimpleNamespace(alive=True)
                for kind, at in events:
                    if kind in ('own', 'end'):
                        ledger.handle_own_segment(KEY, upstream, at, ends=kind == 'end')
                    elif kind == 'foreign':
                        ledger.handle_foreign_segment(KEY, '127.0.0.1', at)
                    elif kind == 'reset':
                        ledger.handle_reset(KEY, at)
                    else:
                        upstream.alive = False
                        ledger.end_flows(upstream, at)
                self.assertEqual(bool(ledger.violations(lambda *_: '')), violated)


if __name__ == '__main__':
    unittest.main()
