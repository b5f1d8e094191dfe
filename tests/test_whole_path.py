#!/usr/bin/env python3
"""Guards against programs that do not work together: one of each, from the operator's text to an answer."""
import os
import sys
import unittest

BUILD = sys.argv.pop(1)
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'scripts', 'lib'))
import system as deployment  # noqa: E402


class WholePathTest(unittest.TestCase):
    def test_calls(self):
        with deployment.System(BUILD, n_control=1, n_balancers=1) as system:
            system.start_control('control-1')
            system.start_balancer('balancer-1')
            system.add_upstream('kiln-log-1', 'kiln-log')
            system.start_fabric()
            system.apply(deployment.services_text())
            system.wait_ready(['kiln-log'])

            result = system.call('kiln-log', '--once', 'request', 'work_ms=5 bytes=3000')
            self.assertEqual((result.returncode, len(result.stdout)), (0, 3000))

            result = system.call('kiln-log', 'transfer', 'bytes=500000')
            self.assertEqual((result.returncode, len(result.stdout)), (0, 500000))

            result = system.call('kiln-log', '--items', '5', 'feed', 'interval_ms=10')
            items = [line.split()[-1] for line in result.stdout.decode().splitlines()]
            self.assertEqual((result.returncode, items), (0, [f'item={i}' for i in range(5)]))

            system.check_running()
            for name in ('agent-kiln-log-1', 'balancer-1', 'control-1'):
                system.stop(name)


if __name__ == '__main__':
    unittest.main()
