#!/usr/bin/env python3
"""Control replicas on loopback under SIGKILL, SIGSTOP, lost data folders and concurrent operators.

Usage: control_processes.py ORIOLE_CONTROL ORIOLECTL VIEW_NODE [TEST...]
The docstring of each test states the failure that it guards against.
"""

import http.client
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

CONTROL, CTL, NODE = sys.argv[1:4]
TEXT = "[oriolehaven]\nname=foundation\n[service kiln-log]\naddress=127.0.0.1:7000\nqueue_per_slot={}\n"
# Exit statuses of oriolectl.
DONE, FAILED, USAGE, CONFLICT, INVALID_TEXT, UNKNOWN = range(6)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def wait_for(what, condition, timeout_s=15):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"not within {timeout_s} s: {what}")


class Cluster:
    def __init__(self, names="abc"):
        self.folder = tempfile.mkdtemp(prefix="oh-control-")
        self.key = self.path("master.key")
        with open(self.key, "w") as f:
            f.write(os.urandom(32).hex())
        ports = free_ports(3 * (len(names) + 1))
        self.endpoints = {n: f"tcp://127.0.0.1:{ports[i]}" for i, n in enumerate(names + "d")}
        self.admins = {n: f"127.0.0.1:{ports[i + len(names) + 1]}" for i, n in enumerate(names + "d")}
        self.operators = {n: f"127.0.0.1:{ports[i + 2 * (len(names) + 1)]}" for i, n in enumerate(names + "d")}
        self.initial = ",".join(f"{n}={self.endpoints[n]}" for n in names)
        self.list = ",".join(self.endpoints[n] for n in names)
        self.processes = {}
        self.nodes = []
        with open(self.path("ctl.ini"), "w") as f:
            f.write(f"[control]\nreplicas={self.list}\n[keys]\nfile={self.key}\n")
        for name in names:
            self.start(name)

    def path(self, name):
        return os.path.join(self.folder, name)

    def start(self, name, join=False):
        with open(self.path(name + ".ini"), "w") as f:
            f.write(f"[control]\nname={name}\nlisten={self.endpoints[name]}\nadmin={self.admins[name]}\n"
                    f"data={self.path('data-' + name)}\nreplicas={self.initial}\njoin={str(join).lower()}\n"
                    f"operators={self.operators[name]}\nzones=plv-a,plv-b\n"
                    f"[keys]\nfile={self.key}\n")
        with open(self.path(name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen([CONTROL, "--settings", self.path(name + ".ini")], stderr=log)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def ctl(self, *arguments):
        result = subprocess.run([CTL, "--settings", self.path("ctl.ini"), *arguments],
                                capture_output=True, text=True, timeout=60)
        pairs = dict(re.findall(r"(\w+)=(\S*)", result.stdout))
        return result.returncode, pairs, result.stdout + result.stderr

    def post(self, name, path):
        """Returns the HTTP status that the replica answers an operator with."""
        connection = http.client.HTTPConnection(self.operators[name], timeout=1)
        connection.request("POST", path)
        status = connection.getresponse().status
        connection.close()
        return status

    def text(self, number):
        path = self.path(f"text-{number}.ini")
        with open(path, "w") as f:
            f.write(TEXT.format(number))
        return path

    def apply(self, number, *arguments):
        code, pairs, output = self.ctl("apply", self.text(number), *arguments)
        assert code == DONE, output
        return int(pairs["version"])

    def counters(self, name):
        result = subprocess.run([CTL, "counters", self.admins[name]], capture_output=True, text=True, timeout=20)
        return {k: int(v) for k, v in (line.split() for line in result.stdout.splitlines())}

    def leader(self):
        def find():
            for name in list(self.processes):
                counters = self.counters(name)
                if counters.get("leader") and counters.get("confirmed"):
                    return name
            return None
        return wait_for("a leader", find)

    def roles(self):
        _, _, output = self.ctl("status")
        return dict(re.findall(r"member=(\S+) role=(\w+)", output))

    def node(self, name, replicas=None, agent=False):
        node = Node(self, name, replicas or self.list, agent)
        self.nodes.append(node)
        return node

    def close(self):
        for node in self.nodes:
            node.close()
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        codes = {name: process.wait(10) for name, process in self.processes.items()}
        assert all(code == 0 for code in codes.values()), f"exit status {codes}"
        shutil.rmtree(self.folder)


class Node:
    """A view_node process. views holds a tuple (time, version, confirmed, members, key generation) for each line."""

    def __init__(self, cluster, name, replicas, agent):
        command = [NODE, "--name", name, "--key-file", cluster.key, "--replicas", replicas]
        self.process = subprocess.Popen(command + (["--agent"] if agent else []), stdout=subprocess.PIPE,
                                        stderr=subprocess.DEVNULL, text=True)
        self.views = []
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self):
        for line in self.process.stdout:
            pairs = dict(re.findall(r"(\w+)=(\S*)", line))
            self.views.append((time.monotonic(), int(pairs["version"]), pairs["confirmed"] == "1",
                               pairs["members"], int(pairs["generation"])))

    def wait_version(self, version, timeout_s=4):
        """A configuration must be in effect on every node within 4 s."""
        wait_for(f"version {version}, views {self.views[-3:]}",
                 lambda: self.views and self.views[-1][1] >= version and self.views[-1][2], timeout_s)

    def check_versions_never_decrease(self):
        versions = [view[1] for view in self.views]
        assert versions == sorted(versions), f"the version decreased: {versions}"

    def close(self):
        self.check_versions_never_decrease()
        if self.process.poll() is None:
            self.process.terminate()
        self.process.wait(10)


def test_leader_killed_between_changes(cluster):
    """An accepted change is lost or applied twice when the leader dies."""
    nodes = [cluster.node(f"lb-{i}") for i in range(3)]
    for number in range(1, 7):
        version = cluster.apply(number)
        assert version == number, f"version {version} after {number} changes"
        leader = cluster.leader()
        cluster.kill(leader)
        for node in nodes:
            node.wait_version(version)
        cluster.start(leader)
    first_id = os.urandom(16).hex()
    assert cluster.apply(7, "--id", first_id) == 7
    assert cluster.apply(8) == 8
    cluster.kill(cluster.leader())
    assert cluster.apply(7, "--id", first_id) == 7, "a resent change must get its first result"
    code, pairs, output = cluster.ctl("apply", cluster.text(9), "--id", first_id)
    assert code == INVALID_TEXT, output


def test_concurrent_operators(cluster):
    """Two concurrent changes with one base version are both accepted, or the conflict does not name the winner."""
    for round_number in range(5):
        base = round_number
        results = [None, None]

        def apply_change(i):
            results[i] = cluster.ctl("apply", cluster.text(1 + 2 * round_number + i), "--base", str(base))

        threads = [threading.Thread(target=apply_change, args=(i,)) for i in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        codes = sorted(result[0] for result in results)
        assert codes == [DONE, CONFLICT], results
        winner, loser = sorted(results, key=lambda result: result[0])
        assert loser[1]["winner_id"] == winner[1]["id"], results
        assert int(winner[1]["version"]) == int(loser[1]["version"]) == base + 1, results
        again = cluster.ctl("apply", cluster.text(1 + 2 * round_number + results.index(loser)), "--base",
                            str(base), "--id", loser[1]["id"])
        assert again[0] == CONFLICT and again[1]["winner_id"] == winner[1]["id"], again


def test_lost_data_folder_twice(cluster):
    """A replica that lost its disk votes as before, or losing a second disk after the repair loses state."""
    assert cluster.apply(1) == 1
    for turn, name in enumerate(["a", "b"]):
        cluster.kill(name)
        shutil.rmtree(cluster.path("data-" + name))
        assert cluster.apply(2 + turn) == 2 + turn
        code, _, output = cluster.ctl("remove-replica", name)
        assert code == DONE, output
        cluster.start(name, join=True)
        code, _, output = cluster.ctl("add-replica", name, cluster.endpoints[name])
        assert code == DONE, output
        wait_for(f"{name} to vote", lambda: cluster.roles().get(name) == "voter", 20)
        wait_for(f"{name} to catch up", lambda: cluster.counters(name).get("version") == 2 + turn)
    assert cluster.apply(4) == 4
    assert sorted(cluster.roles().items()) == [("a", "voter"), ("b", "voter"), ("c", "voter")]
    # The last replica of the initial set dies: the two repaired replicas are a quorum.
    cluster.kill("c")
    assert cluster.apply(5) == 5


def check_stopped_replica(cluster, name):
    first = cluster.apply(1)
    watcher = cluster.node("watcher")
    watcher.wait_version(first)
    cluster.signal(name, signal.SIGSTOP)
    # Heartbeats queue up in its sockets. The peers close the connections after 2 s, so no log entry follows.
    time.sleep(2.5)
    versions = [cluster.apply(number) for number in range(2, 7)]
    time.sleep(2.0)
    # These nodes poll only the stopped replica; their polls queue up until it continues.
    late_nodes = [cluster.node(f"late-{i}", cluster.endpoints[name]) for i in range(10)]
    time.sleep(1.5)
    cluster.signal(name, signal.SIGCONT)
    for node in late_nodes:
        node.wait_version(versions[-1], 10)
    for node in late_nodes:
        stale = [view for view in node.views if view[2] and view[1] < versions[-1]]
        assert not stale, f"{name} served an old version as confirmed: {stale}"


def test_stopped_follower(cluster):
    """A follower serves an old version as confirmed after SIGSTOP and SIGCONT."""
    check_stopped_replica(cluster, [n for n in "abc" if n != cluster.leader()][0])


def test_stopped_leader(cluster):
    """A former leader serves an old version as confirmed after SIGSTOP and SIGCONT, as if it still led."""
    check_stopped_replica(cluster, cluster.leader())


def test_no_quorum(cluster):
    """Without a quorum a replica accepts changes or confirms views; a node reverts to an older version when the
    replicas restart."""
    assert cluster.apply(1) == 1
    early_node = cluster.node("early")  # close() checks that its version never decreased
    early_node.wait_version(1)
    names = [n for n in "abc" if n != cluster.leader()]
    leader = cluster.leader()
    for name in names:
        cluster.kill(name)
    wait_for("the leader to step down", lambda: not cluster.counters(leader)["confirmed"], 3)
    code, _, output = cluster.ctl("apply", cluster.text(2), "--base", "1", "--timeout-ms", "2000")
    assert code == UNKNOWN, output
    late_node = cluster.node("late")
    time.sleep(2.5)
    assert not any(view[2] for view in late_node.views), "a view without a quorum was confirmed"
    cluster.kill(leader)
    time.sleep(1)
    for name in "abc":
        cluster.start(name)
    late_node.wait_version(1, 10)
    assert cluster.apply(3) >= 2


def test_leases_and_keys(cluster):
    """An upstream that died or left stays listed, or a node loses contact over several key rotations."""
    assert cluster.apply(1) == 1
    watcher = cluster.node("watcher")
    agents = [cluster.node(f"kiln-log-{i}", agent=True) for i in range(3)]
    wait_for("all members", lambda: watcher.views and watcher.views[-1][3].count("kiln-log-") == 3)
    code, _, output = cluster.ctl("drain", "kiln-log-2")
    assert code == DONE, output
    wait_for("the drain in the view", lambda: "kiln-log-2:drained" in watcher.views[-1][3], 3)
    start = time.monotonic()
    agents[0].process.terminate()
    wait_for("removal of the upstream that left", lambda: "kiln-log-0" not in watcher.views[-1][3], 1)
    agents[1].process.kill()
    wait_for("removal of the dead upstream", lambda: "kiln-log-1" not in watcher.views[-1][3], 5)
    assert time.monotonic() - start > 2, "the lease of a node that did not leave ended too early"
    for generation in range(2, 6):
        code, _, output = cluster.ctl("rotate-keys")
        assert code == DONE, output
    late_node = cluster.node("late")
    late_node.wait_version(6)
    assert late_node.views[-1][4] == 5 and watcher.views[-1][4] == 5
    follower = [n for n in "abc" if n != cluster.leader()][0]
    cluster.kill(follower)
    cluster.start(follower)
    wait_for("the restarted replica", lambda: cluster.counters(follower).get("confirmed") == 1)


def test_drained_zone(cluster):
    """An order to drain a zone is lost when the leader or all replicas are killed, does not reach upstreams that are
    listed later, cannot be given or taken back by a new leader, or gets a 4xx although it is valid."""
    watcher = cluster.node("watcher")
    cluster.node("kiln-log-0", agent=True)
    wait_for("the member", lambda: watcher.views and watcher.views[-1][3] == "kiln-log-0")
    leader = cluster.leader()
    # 503 until all replicas have told the leader that they understand the order, or know the leader
    for name in [leader] + [name for name in "abc" if name != leader]:
        statuses = []
        wait_for(f"the answer of {name}, the leader is {leader}: {statuses}", lambda: statuses.append(
            cluster.post(name, "/evacuations/plv-a/start")) or statuses[-1] != 503, 6)
        assert statuses[-1] == (200 if name == leader else 307), (name, leader, statuses)
    assert cluster.post(leader, "/evacuations/plv-x/start") == 404, "an unknown zone"
    wait_for("the drain in the view", lambda: watcher.views[-1][3] == "kiln-log-0:drained", 3)
    wait_for("the gauge", lambda: cluster.counters(leader)["drained_zones"] == 1, 1)
    cluster.kill(leader)
    code, pairs, output = cluster.ctl("drain-zone", "plv-a")
    assert code == DONE and pairs["version"] == "1", output
    late_node = cluster.node("late")
    late_node.wait_version(1, 10)
    cluster.node("kiln-log-1", agent=True)
    for node in (watcher, late_node):
        wait_for("both members drained", lambda: node.views[-1][3] == "kiln-log-0:drained,kiln-log-1:drained", 5)
    output = cluster.ctl("status")[2]
    assert "drained_zone=plv-a" in output, output
    assert re.search(r"upstream=kiln-log-0 \S+ zone=plv-a \S+ drained=1", output), output
    for name in list(cluster.processes):
        cluster.kill(name)
    for name in "abc":
        cluster.start(name)
    leader = cluster.leader()
    output = cluster.ctl("status")[2]
    assert "drained_zone=plv-a" in output, output
    # 503 until the last replica has told the leader that it understands the order
    wait_for("the order to end it", lambda: cluster.post(leader, "/evacuations/plv-a/end") == 200, 6)
    wait_for("the end of the drain", lambda: watcher.views[-1][3] == "kiln-log-0,kiln-log-1", 3)
    output = cluster.ctl("status")[2]
    assert "drained_zone" not in output, output
    code, pairs, output = cluster.ctl("undrain-zone", "plv-a")
    assert code == DONE and pairs["version"] == "2", output


def test_member_of_dead_replica(cluster):
    """A member stays listed because the replica that listed it died first, or nodes drop members when all replicas
    die."""
    assert cluster.apply(1) == 1
    watcher = cluster.node("watcher")
    agents = [cluster.node(f"kiln-log-{i}", agent=True) for i in range(2)]
    wait_for("all members", lambda: watcher.views and watcher.views[-1][3].count("kiln-log-") == 2)
    time.sleep(3.5)  # past the first lease; until it ends, replicas send no snapshots
    cluster.kill("c")
    agents[0].process.kill()
    wait_for("removal of the dead upstream", lambda: "kiln-log-0" not in watcher.views[-1][3], 10)
    for name in "ab":
        cluster.kill(name)
    time.sleep(5)
    assert watcher.views[-1][3] == "kiln-log-1", "without control replicas a node must keep its members"
    changes = len(watcher.views)
    for name in "abc":
        cluster.start(name)
    cluster.leader()
    time.sleep(4)
    assert all(view[3] == "kiln-log-1" for view in watcher.views[changes:]), "a restart dropped a live member"


def test_command_line(cluster):
    """Exit statuses and output that operators' scripts rely on have changed."""
    bad = cluster.path("bad.ini")
    with open(bad, "w") as f:
        f.write("[oriolehaven]\nname=x\n[service kiln-log]\naddress=nowhere\n")
    code, _, output = cluster.ctl("check", bad)
    assert code == INVALID_TEXT, output
    for part in [bad, "[service kiln-log]", "address", "nowhere", "IPV4:PORT"]:
        assert part in output, output
    assert cluster.ctl("check", cluster.text(1))[0] == DONE
    assert cluster.ctl("apply", bad)[0] == INVALID_TEXT
    assert cluster.ctl("frobnicate")[0] == USAGE
    assert cluster.ctl("--unknown", "status")[0] == USAGE
    assert cluster.ctl("apply", cluster.text(1), "--id", "12")[0] == USAGE
    assert cluster.apply(1) == 1
    code, pairs, output = cluster.ctl("diff", cluster.text(2))
    assert code == DONE and pairs["version"] == "1", output
    assert "-queue_per_slot=1" in output and "+queue_per_slot=2" in output, output
    code, _, output = cluster.ctl("remove-replica", "a")
    assert code == DONE and cluster.roles().keys() == {"b", "c"}, output
    cluster.node("lb-1").wait_version(1)
    wait_for("the balancer in the status", lambda: "balancer=lb-1" in cluster.ctl("status")[2])
    wait_for("its version", lambda: re.search(r"balancer=lb-1 zone=plv-a version=1", cluster.ctl("status")[2]))
    for arguments in [["--help"], ["--version"]]:
        assert subprocess.run([CTL, *arguments], capture_output=True).returncode == 0
        assert subprocess.run([CONTROL, *arguments], capture_output=True).returncode == 0
    assert subprocess.run([CONTROL, "--settings", cluster.path("a.ini"), "--check"]).returncode == 0
    with open(cluster.path("a.ini"), "a") as f:
        f.write("[log]\nlevel=loud\n")
    result = subprocess.run([CONTROL, "--settings", cluster.path("a.ini")], capture_output=True, text=True)
    assert result.returncode == USAGE and "[log]" in result.stderr and "loud" in result.stderr, result.stderr


def main():
    tests = {name: value for name, value in globals().items() if name.startswith("test_")}
    chosen = sys.argv[4:] or list(tests)
    failed = 0
    for name in chosen:
        start = time.monotonic()
        cluster = Cluster()
        try:
            cluster.leader()
            tests[name](cluster)
            cluster.close()
            print(f"ok {name} {time.monotonic() - start:.1f} s", flush=True)
        except Exception as error:  # run the other tests too; keep the folder for its logs
            failed += 1
            print(f"FAILED {name}: {type(error).__name__}: {error} ({cluster.folder})", flush=True)
            for node in cluster.nodes:
                node.process.kill()
            for process in cluster.processes.values():
                process.kill()
    sys.exit(1 if failed else 0)


main()
