#!/usr/bin/env python3
"""End-to-end tests of a platform deployment: the daemons run as processes on loopback, with stand-ins for callers,
upstreams, routers and the operator. The checks compare what callers and upstreams recorded."""
import json
import os
import resource
import shutil
import signal
import sys
import time
import unittest

BUILD = sys.argv.pop(1)
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'scripts', 'lib'))
import platform_system  # noqa: E402
import platform_standins  # noqa: E402

SAFE_ROUTE, UNSAFE_ROUTE, DOWNLOAD_ROUTE = '198.18.0.1:8443', '198.18.0.1:8080', '198.18.0.2:8443'
ROUTES = {('198.18.0.1', 8443): ('kiln', 'safe'), ('198.18.0.1', 8080): ('kiln', 'unsafe'),
          ('198.18.0.2', 8443): ('scan', 'download')}
CONFIG_APPLY_S = 3  # the platform's limit: a read sent later than this returns the newest acknowledged version
SERVICES_BY_ROUTE = {SAFE_ROUTE: {'kiln'}, UNSAFE_ROUTE: {'kiln'}, DOWNLOAD_ROUTE: {'scan'}}


class PlatformPathTest(unittest.TestCase):
    def deploy(self, system, n_kiln=3, n_scan=2):
        system.start_all({'kiln': n_kiln, 'scan': n_scan}, system.document(1, ROUTES))
        system.loop.run(1.5)

    def check_finished(self, system, max_failed=0):
        """Waits for all callers, then checks that no rule was violated and that at most max_failed callers failed."""
        self.assertTrue(system.wait_callers(20), 'callers did not end')
        system.check_running()
        self.assertEqual(system.check_ledgers(SERVICES_BY_ROUTE), [])
        failed = [(caller.route, caller.reason, caller.sent[-1:]) for caller in system.callers
                  if caller.state == 'failed']
        self.assertLessEqual(len(failed), max_failed, failed)

    def test_no_faults(self):
        """Guards against daemons that do not work together although no fault occurs: safe and unsafe requests,
        downloads, an uneven load of the upstreams, and a caller of a route that does not exist."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system)
            for _ in range(30):
                system.call(SAFE_ROUTE, 'safe', requests=10)
                system.call(UNSAFE_ROUTE, 'unsafe', requests=5, length=600)
                system.call(DOWNLOAD_ROUTE, 'download', length=40000)
            self.check_finished(system)
            loads = [len(upstream.opened) for name, upstream in system.upstreams.items() if name.startswith('kiln')]
            self.assertLess(max(loads), 2 * min(loads), loads)
            unroutable = system.call('198.18.0.9:1', 'safe')
            system.loop.run(2, lambda: unroutable.ended)
            self.assertEqual(unroutable.reason, 'reset', 'a flow to an unknown route must be reset at once')

    def test_warmup_limit(self):
        """Guards against more new flows at a warming upstream than its service allows in any second, from several
        balancers, after a restart of a balancer and of the agent, and against a limit that holds up the others."""
        policy = {'WarmupOvershoot': 1.5, 'WarmupSlack': 5}
        with platform_system.PlatformSystem(BUILD, n_balancers=2, policy=policy) as system:
            document = system.document(1, ROUTES)
            document['Services'][0].update(WarmupPerS=10, WarmupS=60)
            system.start_all({'scan': 1}, document)
            system.add_upstream('kiln-0', 'kiln', warmup_s=60, agent_lead_s=1.5)
            system.loop.run(3)

            def offer(seconds):
                for _ in range(int(seconds * 20)):
                    for _ in range(3):
                        system.call(SAFE_ROUTE, 'safe', deadline_s=1)
                    system.loop.run(0.05)
            offer(2)
            system.kill('balancer-0')
            system.restart('balancer-0')
            offer(1)
            system.kill('agent-kiln-0')
            system.restart('agent-kiln-0')
            offer(3)
            opened = [at for at, _ in system.upstreams['kiln-0'].opened]
            most = max(sum(at <= other <= at + 1 for other in opened) for at in opened)
            self.assertLessEqual(most, 20, opened)
            self.assertGreaterEqual(len(opened), 30, 'the limit holds up more flows than it has to')
            system.check_running()

    def test_publication(self):
        """Guards against a version that decreases, a document that is returned altered or is lost when all control
        processes are killed, invalid documents that are accepted, and a published route that has no effect."""
        with platform_system.PlatformSystem(BUILD, n_balancers=1) as system:
            self.deploy(system, n_kiln=1, n_scan=1)
            operator = system.operator
            for index in range(10):
                document = system.document(10 + index * 3, ROUTES)
                self.assertEqual(operator.publish(document), 200)
                self.assertTrue(system.loop.run(CONFIG_APPLY_S, lambda: json.loads(operator.read()) == document))
            self.assertEqual(operator.publish(system.document(12, ROUTES)), 200, 'an older version')
            invalid_document = system.document(100, ROUTES)
            invalid_document['Routes'][0]['TimeoutMs'] = 0
            self.assertEqual(operator.publish(invalid_document), 400)
            self.assertEqual(operator.request('POST', '/config/put', b'{"Version":200,"Routes":[')[0] // 100, 4)
            newest = operator.acknowledged[37]
            for index in range(3):
                system.kill(f'control-{index}')
            for index in range(3):
                system.restart(f'control-{index}')
            self.assertEqual(json.loads(operator.read()), json.loads(newest), 'after all control processes were killed')
            added = dict(ROUTES)
            added[('198.18.0.3', 443)] = ('scan', 'safe')
            self.assertEqual(operator.publish(system.document(300, added)), 200)
            system.loop.run(1)
            self.assertTrue(system.wait_callers(5))
            caller = system.call('198.18.0.3:443', 'safe')
            self.assertTrue(system.wait_callers(5))
            self.assertEqual(caller.state, 'closed')

    def test_rolling_replacement(self):
        """Guards against requests that fail, and new flows to a draining upstream, while an upstream is replaced and a
        balancer is restarted as planned."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system)
            for _ in range(20):
                system.call(SAFE_ROUTE, 'safe', requests=40)
                system.call(UNSAFE_ROUTE, 'unsafe', requests=30, length=600)
            system.loop.run(1)
            system.add_upstream('kiln-new', 'kiln')
            system.upstreams['kiln-0'].drain()
            system.loop.run(1)
            system.kill('balancer-0', signal.SIGTERM)
            system.restart('balancer-0')
            system.loop.run(1)
            self.assertIsNotNone(system.upstreams['kiln-0'].draining_acknowledged)
            for _ in range(10):
                system.call(SAFE_ROUTE, 'safe', requests=5)
            self.check_finished(system)
            self.assertGreater(len(system.upstreams['kiln-new'].opened), 0)

    def test_drained_zone(self):
        """Guards against new flows to the upstreams of a drained zone, open flows that end because of it, an order that
        is lost when all processes are killed, and upstreams that get no flows after its end."""
        with platform_system.PlatformSystem(BUILD, n_balancers=4, n_zones=2) as system:
            self.deploy(system, n_kiln=4, n_scan=2)
            drained = [upstream for upstream in system.upstreams.values() if system.zone_of(upstream.ip) == 'b']
            long_callers = [system.call(SAFE_ROUTE, 'safe', requests=30, pause_s=0.3) for _ in range(20)]
            system.loop.run(1)
            self.assertTrue(any(upstream.opened for upstream in drained))
            self.assertEqual(system.order_zone('x', True), 404)
            self.assertEqual(system.order_zone('b', True), 200)
            system.loop.run(1)
            before = [len(upstream.opened) for upstream in drained]
            for _ in range(40):
                system.call(SAFE_ROUTE, 'safe', requests=2)
                system.call(DOWNLOAD_ROUTE, 'download', length=2000)
                system.loop.run(0.05)
            self.assertTrue(system.loop.run(20, lambda: all(caller.ended for caller in long_callers)))
            self.assertEqual({caller.state for caller in long_callers}, {'closed'}, 'open flows have to stay')
            for name in list(system.processes):
                system.kill(name)
            for name in list(system.commands):
                system.restart(name)
            system.loop.run(2)
            system.wait_ready()
            for _ in range(20):
                system.call(SAFE_ROUTE, 'safe', requests=2)
            self.assertTrue(system.wait_callers(10))
            self.assertEqual([len(upstream.opened) for upstream in drained], before)
            self.assertEqual(system.order_zone('b', False), 200)
            system.loop.run(1)
            for _ in range(40):
                system.call(SAFE_ROUTE, 'safe', requests=2)
            self.check_finished(system)
            self.assertNotEqual([len(upstream.opened) for upstream in drained], before)

    def test_restarted_agent(self):
        """Guards against flows that are lost when the agent of a running upstream, and then a balancer, is killed and
        restarted."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system, n_kiln=2, n_scan=1)
            for _ in range(20):
                system.call(SAFE_ROUTE, 'safe', requests=30)
            system.loop.run(1)
            system.kill('agent-kiln-0')
            system.restart('agent-kiln-0')
            system.loop.run(0.5)
            system.kill('balancer-1')
            system.restart('balancer-1')
            self.check_finished(system)

    def test_crashed_upstream(self):
        """Guards against callers that get no reset when their upstream has crashed and was replaced, and requests that
        run twice."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system, n_kiln=2, n_scan=1)
            callers = [system.call(UNSAFE_ROUTE, 'unsafe', requests=40, length=600) for _ in range(20)]
            system.loop.run(1)
            crashed = system.upstreams['kiln-0']
            crashed.crash()
            system.loop.run(0.2)
            system.add_upstream('kiln-0', 'kiln', with_agent=False)
            self.check_finished(system, max_failed=len(crashed.flows))
            reasons = {caller.reason for caller in callers if caller.state == 'failed'}
            self.assertLessEqual(reasons, {'reset', 'deadline'})
            self.assertIn('reset', reasons, 'no caller got a reset for its lost flow')

    def test_planned_replacement_of_a_control_process(self):
        """Guards against a control process that is stopped for good and leaves a gap in the quorum although its successor
        has the whole log: the loss of one disk right after that loses the configuration."""
        with platform_system.PlatformSystem(BUILD, n_control=4, n_balancers=0) as system:
            for index in range(3):
                system.start_control(index)
            first = platform_standins.Operator([(ip, platform_system.PORTS.control) for ip in system.control[:3]], 1)
            self.assertEqual(first.publish(system.document(1, ROUTES)), 200)
            system.loop.run(1)
            system.start_control(3, bootstrap=False)
            system.loop.run(3)
            system.kill('control-2', signal.SIGTERM, limit_s=1.5)
            left = platform_standins.Operator([(ip, platform_system.PORTS.control) for ip in system.control[:2]], 1)
            document = system.document(2, ROUTES)
            self.assertEqual(left.publish(document), 200)
            leader = next(f'control-{index}' for index in (0, 1, 3)
                          if 'event=raft-leader' in system.log(f'control-{index}'))
            system.kill(leader)
            shutil.rmtree(os.path.join(system.folder, f'data-{leader}'))
            system.restart(leader)
            system.loop.run(3)
            self.assertEqual(json.loads(left.read()), document)
            self.assertEqual(left.publish(system.document(3, ROUTES)), 200)
            system.check_running()

    def test_disks_full_in_turn(self):
        """Guards against orders that are refused or unanswered for good after the disks of all control processes were full
        for a while, one after the other, and against a process that ends because its disk is full, at its start or
        later."""
        def limit(name, size):
            resource.prlimit(system.processes[name].pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

        with platform_system.PlatformSystem(BUILD, n_balancers=0) as system:
            for index in range(3):
                system.start_control(index)
            self.assertEqual(system.operator.publish(system.document(1, ROUTES)), 200)
            for turn in range(6):
                full = f'control-{turn % 3}'
                limit(full, 0)
                for number in range(3):
                    document = system.document(10 * (turn + 1) + number, ROUTES)
                    self.assertEqual(system.operator.publish(document), 200)
                    system.loop.run(0.3)
                limit(full, resource.RLIM_INFINITY)
                system.loop.run(1)
            for ip in system.control:
                alone = platform_standins.Operator([(ip, platform_system.PORTS.control)], 1)
                self.assertEqual(json.loads(alone.read()), document)
            self.assertEqual(system.operator.publish(system.document(100, ROUTES)), 200)
            system.check_running()

    def test_full_disk_at_start(self):
        """Guards against a control process that ends again and again because its disk is full when it starts."""
        with platform_system.PlatformSystem(BUILD, n_balancers=0) as system:
            for index in range(3):
                system.start_control(index)
            self.assertEqual(system.operator.publish(system.document(1, ROUTES)), 200)
            system.kill('control-2')
            shutil.rmtree(os.path.join(system.folder, 'data-control-2'))
            _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
            # The settings file is written without a limit, so only the process gets one.
            system.start('oriole-control', 'control.ini', 'control-2', system.control[2], bootstrap=False,
                         preexec=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (0, hard)))
            system.loop.run(1.5)
            system.check_running()
            resource.prlimit(system.processes['control-2'].pid, resource.RLIMIT_FSIZE, (hard, hard))
            alone = platform_standins.Operator([(system.control[2], platform_system.PORTS.control)], 1)
            self.assertEqual(json.loads(alone.read())['Version'], 1)

    def test_agent_restarted_beside_young_upstream(self):
        """Guards against resets of open flows whose agent was restarted right after the start of its upstream, and takes
        its records for complete although an earlier process let the flows in."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system, n_kiln=2)
            system.add_upstream('kiln-young', 'kiln', agent_lead_s=0.5)
            system.loop.run(0.6)
            for _ in range(18):
                system.call(SAFE_ROUTE, 'safe', requests=3, pause_s=2)
            system.loop.run(0.15)
            system.kill('agent-kiln-young', signal.SIGTERM)
            system.restart('agent-kiln-young')
            self.check_finished(system)
            self.assertGreater(len(system.upstreams['kiln-young'].opened), 0, 'no flow came to the new upstream')

    def test_agent_stopped_before_an_announcement(self):
        """Guards against an agent that takes its upstream for gone because it has not heard of it yet, and leaves the list
        of agents that are asked for flows."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system, n_kiln=1)
            system.start_agent('agent-silent', f'{system.network}.3.9')
            system.loop.run(1)
            system.kill('agent-silent', signal.SIGTERM, limit_s=1)
            system.loop.run(0.5)
            self.assertIn('upstream_gone=0', system.log('agent-silent'))
            for index in range(3):
                self.assertNotIn('event=node_left', system.log(f'control-{index}'))

    def test_late_answers_to_syns(self):
        """Guards against resets of flows that opened when their upstream answered the SYN late, after its agent had
        reported it as unanswered."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system, n_kiln=1)
            system.loop.run(3)
            for delay_ms in range(90, 250, 8):
                system.upstreams['kiln-0'].syn_delay_s = delay_ms / 1000
                system.call(SAFE_ROUTE, 'safe', requests=2, length=300)
                system.loop.run(0.02)
            self.check_finished(system)

    def test_foreign_check_in(self):
        """Guards against a check-in of another program, with fields missing, of another address
        or of a service that does not exist, that makes the node
        beside a backend reset its flows and send it flows of another service."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system, n_kiln=1, n_scan=1)
            for _ in range(5):
                system.call(SAFE_ROUTE, 'safe', requests=20)
            system.loop.run(0.5)
            kiln = system.upstreams['kiln-0']
            sound = {'Service': 'scan', 'Address': f'{kiln.ip}:{kiln.ports.app}', 'Zone': 'a', 'Version': 'v1',
                     'MaxConcurrency': 4, 'State': 'ready', 'WarmupLeftMs': 0, 'Sequence': 1,
                     'born': int(time.time() * 1000)}
            entries = [{name: value for name, value in sound.items() if name != missing} for missing in sound]
            entries += [{**sound, name: {}} for name in sound]
            entries += [{**sound, 'Address': f'{kiln.ip}:{kiln.ports.app + 1}'}, {**sound, 'Service': 'oven'},
                        {**sound, 'born': kiln.started_ms}]
            for entry in entries:
                status, _ = platform_standins.post(kiln.ip, kiln.ports.control, '/instances/i-0/heartbeat',
                                                   json.dumps(entry).encode())
                self.assertEqual(status // 100, 4, entry)
            for _ in range(10):
                system.call(DOWNLOAD_ROUTE, 'download', length=40000)
            self.check_finished(system)

    def test_address_reused_by_another_service(self):
        """Guards against a backend whose check-ins are refused because another service had its address before, or
        because an earlier start had its id."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system, n_kiln=2, n_scan=1)
            former = system.upstreams['kiln-0']
            former.crash()
            system.add_upstream('kiln-0', 'scan', with_agent=False)
            again = system.upstreams['kiln-1']
            again.crash()
            system.add_upstream('kiln-1', 'kiln', with_agent=False, identity=again.id)
            system.loop.run(2)
            for _ in range(10):
                system.call(SAFE_ROUTE, 'safe', requests=3)
                system.call(DOWNLOAD_ROUTE, 'download', length=40000)
            self.check_finished(system)
            self.assertGreater(len(system.upstreams['kiln-0'].opened), 0)
            self.assertGreater(len(system.upstreams['kiln-1'].opened), 0)

    def test_start_with_a_clock_that_was_set_back(self):
        """Guards against an upstream that gets no new flow because its predecessor started at a later time of day, and
        against resets of its open flows when a heartbeat of the predecessor arrives late."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system, n_kiln=2, n_scan=1)
            former = system.upstreams['kiln-0']
            former.crash()
            system.add_upstream('kiln-0', 'kiln', with_agent=False, clock_offset_ms=-60000)
            system.loop.run(4)
            for _ in range(20):
                system.call(SAFE_ROUTE, 'safe', requests=3, pause_s=2)
            system.loop.run(0.5)
            former.repeat_last_heartbeat()
            self.check_finished(system)
            self.assertGreater(len(system.upstreams['kiln-0'].opened), 0)

    def test_all_processes_killed(self):
        """Guards against a system that does not recover within 12 s, or loses an acknowledged configuration, after all
        of its processes are killed at once."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system)
            document = system.document(50, ROUTES)
            self.assertEqual(system.operator.publish(document), 200)
            names = list(system.processes)
            for name in names:
                system.processes[name].kill()
            for name in names:
                system.kill(name)
            for name in names:
                system.restart(name)
            started = time.monotonic()
            self.assertEqual(json.loads(system.operator.read()), document)
            system.loop.run(3)
            for _ in range(10):
                system.call(SAFE_ROUTE, 'safe', requests=3)
            self.check_finished(system)
            self.assertLess(time.monotonic() - started, 12)


if __name__ == '__main__':
    unittest.main(verbosity=2)
