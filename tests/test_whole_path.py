#!/usr/bin/env python3
"""End-to-end tests with one process of each program, from applying a configuration to answered requests. They guard
against programs that work on their own but not together."""
import os
import sys
import time
import unittest

BUILD = sys.argv.pop(1)
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'scripts', 'lib'))
import system as deployment  # noqa: E402

DEPENDENT_TEXT = '''[oriolehaven]
name=test

[service kiln-log]
address=127.0.0.1:7000

[service scan-serve]
address=127.0.0.1:7001
depends=kiln-log
'''


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

    def test_stop_order(self):
        """Guards against an unforced drain of an upstream that a running service depends on, and against a flow that is
        opened, or refused late, although a dependency of its service is drained."""
        with deployment.System(BUILD, n_control=1, n_balancers=1) as system:
            system.start_control('control-1')
            system.start_balancer('balancer-1')
            for service in ('kiln-log', 'scan-serve'):
                system.add_upstream(f'{service}-1', service)
            system.start_fabric()
            system.apply(DEPENDENT_TEXT)
            system.wait_ready(['kiln-log', 'scan-serve'])
            result = system.oriolectl('drain', 'kiln-log-1', check=False)
            self.assertEqual(result.returncode, 1)
            self.assertIn('scan-serve', result.stderr)
            system.oriolectl('drain', '--force', 'kiln-log-1')
            time.sleep(2)
            started = time.monotonic()
            result = system.call('scan-serve', 'request', 'work_ms=5 bytes=10')
            self.assertNotEqual(result.returncode, 0, 'a flow was opened although the dependency is drained')
            self.assertLess(time.monotonic() - started, 2, 'the refusal took 2 s or more')
            system.oriolectl('drain', 'scan-serve-1')


if __name__ == '__main__':
    unittest.main()
