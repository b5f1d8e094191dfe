#!/usr/bin/env python3
"""Process tests of upstreams that drain, send their deregister call and end, at once or some seconds later, with open
flows whose callers are idle, wait for responses, or go on with requests. The checks compare what callers and upstreams
recorded."""
import os
import signal
import sys
import unittest

BUILD = sys.argv.pop(1)
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'scripts', 'lib'))
import platform_system  # noqa: E402

ROUTE = '198.18.0.1:8443'
ROUTES = {('198.18.0.1', 8443): ('kiln', 'safe')}
DRAINED_S = 3  # from the drain to the deregister call
CALLERS = 60
# Name of the failure that the case guards against; how long the upstream lives after its deregister call; what happens
# after the call: (seconds, action)
CASES = [
    ('open flows are reset while their upstream outlives its deregister call', 4, []),
    ('open flows are reset as their silent upstream was paused after the call', 4, [(0.05, 'stall')]),
    ('open flows are reset by an agent that was restarted after the call', 5, [(0.3, 'terminate')]),
    ('open flows are reset by an agent that was killed after the call', 5, [(0.3, 'kill')]),
    ('open flows are reset by an agent that was paused around the call', 4, [(-0.2, 'pause'), (1.5, 'resume')]),
    ('open flows are reset by an agent that was restarted before the call', 4, [(-0.5, 'kill')]),
    ('open flows are reset after a deregister call that came twice', 4, [(1, 'repeat')]),
]


class LeavingUpstreamTest(unittest.TestCase):
    def deploy(self, system, n_kiln):
        system.start_all({'kiln': n_kiln}, system.document(1, ROUTES))
        system.loop.run(1.5)

    def act(self, system, name, action):
        agent = f'agent-{name}'
        if action == 'stall':
            system.upstreams[name].stall(2)
        elif action == 'repeat':
            system.upstreams[name].post('deregister', '')
        elif action == 'pause':
            system.processes[agent].send_signal(signal.SIGSTOP)
        elif action == 'resume':
            system.processes[agent].send_signal(signal.SIGCONT)
        else:
            process = system.processes.pop(agent)
            process.send_signal(signal.SIGTERM if action == 'terminate' else signal.SIGKILL)
            self.restart_when_ended(system, agent, process)

    def restart_when_ended(self, system, agent, process):
        if process.poll() is None:
            system.loop.after(0.02, lambda: self.restart_when_ended(system, agent, process))
        else:
            system.loop.after(0.1, lambda: system.restart(agent))

    def leave(self, system, name, lives_on_s, actions):
        for at_s, action in actions:
            system.loop.after(DRAINED_S + at_s, lambda action=action: self.act(system, name, action))
        system.upstreams[name].drain()
        system.loop.after(DRAINED_S, lambda: system.upstreams[name].leave(lives_on_s))

    def test_upstreams_that_outlive_their_deregister_call(self):
        """Guards against the failures named in CASES. Each case has an upstream of its own."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system, len(CASES) + 2)
            for index in range(CALLERS):
                system.call(ROUTE, 'safe', requests=3, pause_s=(4, 5, 9)[index % 3])
            system.loop.run(0.5)
            idle = {upstream.id: len(upstream.flows) for upstream in system.upstreams.values()}
            names = {}
            for index, (name, lives_on_s, actions) in enumerate(CASES):
                names[system.upstreams[f'kiln-{index}'].id] = name
                self.leave(system, f'kiln-{index}', lives_on_s, actions)
            system.loop.run(DRAINED_S + 7)
            resets = {name: sum(flow.upstream.id == identity for _, _, flow in system.loop.flows.resets)
                      for identity, name in names.items()}
            for identity, name in names.items():
                with self.subTest(name):
                    self.assertGreater(idle[identity], 0, 'no flow came to this upstream')
                    self.assertEqual(resets[name], 0, 'open flows were reset')
            self.assertEqual(system.loop.flows.violations(system.describe_flow), [])

    def test_upstream_that_ends_with_its_deregister_call(self):
        """Guards against callers that wait for their deadlines after their upstream has ended: idle ones, whose next
        request can have no answer, and those that wait for a response."""
        with platform_system.PlatformSystem(BUILD) as system:
            self.deploy(system, 2)
            idle = [system.call(ROUTE, 'safe', requests=2, pause_s=5) for _ in range(10)]
            system.loop.run(0.5)
            leaving = system.upstreams['kiln-0']
            self.leave(system, 'kiln-0', 0, [])
            system.loop.run(DRAINED_S - 1)
            waiting = [caller for caller in idle if caller.ended]
            self.assertEqual(waiting, [])
            system.loop.run(DRAINED_S + 5)
            self.assertFalse(leaving.alive)
            self.assertGreater(len(leaving.opened), 0, 'no flow came to the leaving upstream')
            self.assertEqual({caller.reason for caller in idle if caller.state == 'failed'}, {'reset'})
            self.assertEqual(system.check_ledgers({ROUTE: {'kiln'}}), [])


if __name__ == '__main__':
    unittest.main(verbosity=2)
