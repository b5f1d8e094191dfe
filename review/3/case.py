"""A check-in with missing fields arrives at a node beside a backend: the backend is taken for one of another service."""
import http.client
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'common'))
import deployment  # noqa: E402
from deployment import BROKEN, HELD, KILN_ROUTE, SCAN_ROUTE, TROUBLE  # noqa: E402

SERVICE_OF = {KILN_ROUTE: 'kiln', '198.18.0.1:8080': 'kiln', SCAN_ROUTE: 'scan'}


def send_foreign_check_in(system, record, ip):
    """One check-in of another writer. It has no Address, MaxConcurrency, Version, WarmupLeftMs and Sequence."""
    body = json.dumps({'Service': 'scan', 'Zone': 'a', 'State': 'ready', 'born': int(time.time() * 1000)})
    connection = http.client.HTTPConnection(ip, deployment.platform_system.PORTS.control, timeout=1)
    connection.request('POST', '/instances/i-0ther/heartbeat', body, {'Content-Type': 'application/json'})
    status = connection.getresponse().status
    connection.close()
    record.write(f'check-in of another writer to {ip}: {body} -> {status}')


def case(record):
    with deployment.Deployment(record, heartbeat_ms=770) as system:
        system.deploy(n_kiln=3, n_scan=1)
        for _ in range(12):  # long flows
            system.call(KILN_ROUTE, 'safe', requests=24, pause_s=0.5)
        system.loop.run(2)
        if TROUBLE:
            send_foreign_check_in(system, record, system.upstreams['kiln-0'].ip)
        for _ in range(60):  # a flow for each download, 10 a second
            system.call(SCAN_ROUTE, 'download', length=40000, work_ms=5, deadline_s=8)
            system.loop.run(0.1)
        system.loop.run(8)
        system.check_running()
        system.write_ledgers()
        wrong = [(upstream, run) for upstream in system.all_upstreams() for run in upstream.runs
                 if SERVICE_OF[run[2]] != upstream.service]
        reset = [caller for caller in system.callers if caller.route == KILN_ROUTE and caller.reset_by_system]
        record.write(f'FLOW: {len(reset)} open flows of the kiln service were reset by the system')
        record.write(f'ROUTE: {len(wrong)} requests of the scan route were run by backends of the kiln service')
        return BROKEN if wrong else HELD


deployment.run_case(FOLDER, case)
