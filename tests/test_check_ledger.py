#!/usr/bin/env python3
"""Guards against a ledger check that misses a violation: adds each kind of violation to ledgers that have none."""
import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standins'))
import check_ledger  # noqa: E402

FLOW = 'a' * 32
FEED = 'b' * 32
CLEAN_CALLERS = [
    f'request {FLOW} 1 once answer none ok 1000000 1100000',
    f'request {FLOW} 2 once not_run not_run_overloaded none 1000000 1100000',
    f'request {FLOW} 3 once unknown unknown none 1000000 1100000',
    f'request {FLOW} 4 repeatable answer none ok 1000000 1100000',
    f'feed {FEED} 50 0 0 0 200000 open',
    f'flow {FLOW} kiln-log open none 1 0 0 0',
    f'flow {FEED} kiln-log open none 2 0 1 0',
]
CLEAN_UPSTREAM = [
    'up u1 kiln-log 4 900000',
    f'start u1 kiln-log 4 {FLOW} 1 once 1000000',
    f'finish u1 kiln-log 4 {FLOW} 1 once 1010000',
    f'start u1 kiln-log 4 {FLOW} 3 once 1000000',
    f'start u1 kiln-log 4 {FLOW} 4 repeatable 1000000',
    f'start u1 kiln-log 4 {FLOW} 4 repeatable 1050000',
]


def evaluate(callers, upstream, incomplete_line='', **options):
    with tempfile.TemporaryDirectory() as folder:
        paths = []
        for name, lines in (('callers', callers), ('upstream', upstream)):
            paths.append(os.path.join(folder, name))
            with open(paths[-1], 'w', encoding='ascii') as file:
                file.write('\n'.join(lines) + '\n' + incomplete_line)
        return check_ledger.evaluate(check_ledger.read_ledgers(paths[:1], paths[1:]), **options)[0]


class CheckLedgerTest(unittest.TestCase):
    def test_clean(self):
        figures = evaluate(CLEAN_CALLERS, CLEAN_UPSTREAM)
        self.assertEqual({name: figures[name] for name in check_ledger.VIOLATIONS},
                         dict.fromkeys(check_ledger.VIOLATIONS, 0))
        self.assertEqual(figures['requests'], 4)

    def test_violations(self):
        violations = [
            ('lost', f'request {FLOW} 5 once none unknown none 1000000 1100000', None),
            ('lost', f'request {FLOW} 5 once answer none ok 1000000 1100000', None),
            ('doubled', None, f'start u2 kiln-log 4 {FLOW} 1 once 1020000'),
            ('doubled', None, f'start u2 kiln-log 4 {FLOW} 3 once 1020000'),
            ('crossed', f'request {FLOW} 1 once answer none bad 1000000 1100000', None),
            ('falsely_refused', None, f'start u1 kiln-log 4 {FLOW} 2 once 1200000'),
            ('wrong_service', None, f'start s1 scan-serve 4 {FLOW} 9 once 1200000'),
            ('broken_flows', f'flow {"c" * 32} kiln-log broken no_upstream 3 1 0 0', None),
            ('broken_flows', f'feed {"c" * 32} 9 1 0 0 0 open', None),
            ('broken_flows', f'feed {"c" * 32} 9 0 1 0 0 open', None),
            ('broken_flows', f'feed {"c" * 32} 9 0 0 1 0 open', None),
            ('broken_flows', f'feed {"c" * 32} 9 0 0 0 0 ended', None),
            ('broken_flows', f'feed {"c" * 32} 9 0 0 0 16000000 open', None),
        ]
        for name, caller_line, upstream_line in violations:
            figures = evaluate(CLEAN_CALLERS + ([caller_line] if caller_line else []),
                               CLEAN_UPSTREAM + ([upstream_line] if upstream_line else []))
            expected = dict.fromkeys(check_ledger.VIOLATIONS, 0)
            expected[name] = 1
            self.assertEqual({key: figures[key] for key in check_ledger.VIOLATIONS}, expected,
                             caller_line or upstream_line)

    def test_imbalance(self):
        # In windows 2 to 4, u1 does three times the work of u2, and u3 does none.
        upstream = ['up u1 s 4 0', 'up u2 s 4 0', 'up u3 s 4 0', f'start u1 s 4 {FLOW} 90 once 1']
        for window in range(2, 6):
            for number, (instance, work_us) in enumerate((('u1', 900000), ('u2', 300000))):
                key = f'{instance} s 4 {FLOW} {window * 10 + number} once'
                upstream += [f'start {key} {window * 1000000}', f'finish {key} {window * 1000000 + work_us}']
        upstream.insert(4, f'finish u1 s 4 {FLOW} 90 once 2')
        figures = evaluate([], upstream)
        self.assertEqual(figures['imbalance'], '2.25')
        figures = evaluate([], upstream, excluded=[('u3', 0, 9000000)])
        self.assertEqual(figures['imbalance'], '1.50')

    def test_incomplete_line(self):
        # A killed process may leave an incomplete last line, which must not abort the check.
        figures = evaluate(CLEAN_CALLERS, CLEAN_UPSTREAM, incomplete_line=f'start u1 kiln-log 4 {FLOW}')
        self.assertEqual(figures['doubled'], 0)


if __name__ == '__main__':
    unittest.main()
