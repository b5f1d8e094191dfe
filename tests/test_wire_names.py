#!/usr/bin/env python3
"""Guards against names of the platform's formats outside the folder that translates them."""
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Field names, paths and headers of the platform that no code of the product uses for something of its own.
NAMES = ['HeartbeatUrl', 'TrafficSplit', 'PathPrefix', 'DatagramAddr', 'WarmupLeftMs', 'MaxConcurrency', 'InternalPortRange',
         'ContactMs', 'TimeoutMs', 'TargetLatencyMs', 'IdleTimeoutMs', 'FlowTimeoutS', 'HeartbeatMs', 'MaxConns', 'HealthPath',
         'BOUNCED', '/config/put', '/config/get', '/instances', 'deregister', '"born"']
FOLDERS = ('lib', 'daemons')


class WireNames(unittest.TestCase):
    def test_product(self):
        pattern = re.compile('|'.join(re.escape(name) for name in NAMES))
        found = [f'{path.relative_to(ROOT)}: {match.group()}' for folder in FOLDERS
                 for path in sorted((ROOT / folder).rglob('*.[ch]'))
                 + sorted((ROOT / folder).rglob('*.proto'))
                 for match in pattern.finditer(path.read_text(encoding='utf-8'))]
        self.assertEqual(found, [])

    def test_adapter(self):
        """The names are those of the adapter, so that the first test can fail."""
        text = ''.join(path.read_text(encoding='utf-8') for path in (ROOT / 'platform').glob('*.c'))
        for name in ('TrafficSplit', 'PathPrefix', 'WarmupLeftMs', '/config/put', '"born"'):
            self.assertIn(name, text)


if __name__ == '__main__':
    unittest.main()
