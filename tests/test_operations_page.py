#!/usr/bin/env python3
"""Guards against log events and metrics that docs/OPERATIONS.md does not document, and documented ones that no longer
exist in the source."""
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
FOLDERS = ('lib/base', 'lib/core', 'lib/adapters', 'daemons', 'platform')
NAME = r'"([a-z][a-z0-9_-]+)"'
EVENTS = [
    rf'oh_log_(?:info|warning|error|debug) \({NAME}',
    rf'oh_log_(?:event|limited) \([a-zA-Z_]+, [A-Z_]+, {NAME}',
    rf'(?:log_event|oh_raft_log_line) \([a-z]+, {NAME}',
    rf'(?:oh_agent_flow_log|oh_balancer_flow_log|oh_agent_log|emit_log) \([^;"]*?{NAME}',
    rf'ops->log \([a-z]+->sink, (?:OH_LOG_[A-Z]+|level), {NAME}',
    r'event=([a-z_]+) total=',
    r'log_event \(core, [a-z>.-]+ \? "([a-z_]+)" : "[a-z_]+"',
    r'log_event \(core, [a-z>.-]+ \? "[a-z_]+" : "([a-z_]+)"',
]
METRICS = [rf'oh_counters_add(?:_with_help|_histogram)? \([^;"]*?{NAME}', rf'{{ &[a-z]+->[a-z_0-9]+, {NAME}']


def found(patterns):
    names = set()
    for folder in FOLDERS:
        for path in (ROOT / folder).glob('*.c'):
            text = path.read_text(encoding='utf-8')
            for pattern in patterns:
                names.update(re.findall(pattern, text))
    return names


def explained(heading):
    """The names in the first column of the table under the heading."""
    section = PAGE.split(f'## {heading}\n', 1)[1].split('\n## ', 1)[0]
    names = set()
    for row in re.findall(r'^\| (`.*?) \|', section, re.MULTILINE):
        names.update(re.findall(r'`([^`]+)`', row))
    return names


class OperationsPage(unittest.TestCase):
    maxDiff = None

    def test_events(self):
        self.assertEqual(found(EVENTS), explained('Events'))

    def test_metrics(self):
        self.assertEqual(found(METRICS), explained('Metrics'))


if __name__ == '__main__':
    unittest.main()
