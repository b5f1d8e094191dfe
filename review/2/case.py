"""A planned replacement of a core machine, then the loss of one disk: the acknowledged configuration is gone."""
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'common'))
import deployment  # noqa: E402
from deployment import BROKEN, HELD, TROUBLE  # noqa: E402

WIPED_S = 2  # how long the machine that loses its disk is down; the sites' days have up to 3 s
WIPE_DELAY_S = float(os.environ.get('WIPE_DELAY_S', '1'))  # for comparison: a later loss is survived


def case(record):
    with deployment.Deployment(record, heartbeat_ms=770, n_disks=4, n_diskless=3, n_balancers=0) as system:
        successor = system.control[3]
        first = [ip for ip in system.control if ip != successor]
        for index, ip in enumerate(system.control):
            if ip != successor:
                system.start_control(index)
        if system.publish(1, addresses=first) is None:
            raise RuntimeError('the first configuration was not acknowledged')
        system.loop.run(5)

        # The successor starts first, at a new address and with an empty disk.
        if TROUBLE:
            system.start_control(3, bootstrap=False)
        system.loop.run(deployment.SYNC_S + 2)
        if system.publish(2, addresses=first) is None:
            raise RuntimeError('no confirmation although nothing was lost')

        # Then the machine that it replaces is removed for good.
        removed = 2
        if TROUBLE:
            system.signal(f'control-{removed}', signal.SIGTERM)
            system.kill(f'control-{removed}', signal.SIGTERM)
            record.write(f'control-{removed} has ended and does not come back')
            left = [ip for ip in system.control if ip != system.control[removed]]
        else:
            left = first
        system.loop.run(WIPE_DELAY_S)
        acknowledged_by = system.publish(3, addresses=[ip for ip in left if ip != successor])
        if acknowledged_by is None:
            raise RuntimeError('no confirmation although no machine that counts was lost')

        # The machine that has just acknowledged loses its disk, and comes back with an empty one.
        if TROUBLE:
            name = system.name_at(acknowledged_by)
            system.lose_disk(name)
            system.loop.run(WIPED_S)
            system.start_control(system.control.index(acknowledged_by), bootstrap=False)
        system.loop.run(deployment.RECOVERY_S)
        versions = system.read_back(deployment.CONTACT_S + 2, addresses=left)
        system.publish(4, limit_s=8, addresses=left)
        system.check_running()
        system.write_raft_lines()
        if not versions:
            record.write('CONFIG: the acknowledged version 3 does not come')
        elif max(versions) < 3:
            record.write(f'CONFIG: version {max(versions)} was read, 3 was acknowledged')
        return HELD if versions and max(versions) >= 3 else BROKEN


deployment.run_case(FOLDER, case)
