#!/usr/bin/env python3
"""Guards against code outside platform/ that depends on the deployment platform's formats: their names may occur only
there."""
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Names of fields, paths and flags in the platform's formats. Left out are those that lib/ or daemons/ use with another
# meaning.
NAMES = ['HeartbeatUrl', 'TrafficSplit', 'PathPrefix', 'DatagramAddr', 'WarmupLeftMs', 'WarmupPerS', 'MaxConcurrency',
         'InternalPortRange',
         'ContactMs', 'TimeoutMs', 'TargetLatencyMs', 'IdleTimeoutMs', 'FlowTimeoutS', 'HeartbeatMs', 'MaxConns', 'HealthPath',
         'BOUNCED', '/config/put', '/config/get', '/evacuations', 'EvacuateMs', '/instances', 'deregister', '"born"']
FOLDERS = ('lib', 'daemons')


class WireNames(unittest.TestCase):
    def test_lib_and_daemons(self):
        pattern = re.compile('|'.join(re.escape(name) for name in NAMES))
        found = [f'{path.relative_to(ROOT)}: {match.group()}' for folder in FOLDERS
                 for path in sorted((ROOT / folder).rglob('*.[ch]'))
                 + sorted((ROOT / folder).rglob('*.proto'))
                 for match in pattern.finditer(path.read_text(encoding='utf-8'))]
        self.assertEqual(found, [])

    def test_platform(self):
        """Guards against a list of names that has become outdated, so that the other test can no longer fail."""
        text = ''.join(path.read_text(encoding='utf-8') for path in (ROOT / 'platform').glob('*.c'))
        for name in ('TrafficSplit', 'PathPrefix', 'WarmupLeftMs', 'WarmupPerS', '/config/put', '"born"'):
            self.assertIn(name, text)


if __name__ == '__main__':
    unittest.main()
