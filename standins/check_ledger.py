#!/usr/bin/env python3
"""Compares the callers' ledgers with the upstreams' ledgers.

Prints one line of KEY=VALUE pairs and, with --verbose, the entries that violate a guarantee. The exit status is 1 if
there are any. The ledger formats are documented in standins/load.c and standins/standin_upstream.c.

Violations:
  lost             a request without an outcome, or one that was answered although no upstream ran it
  doubled          a request of the kind "once" that ran more than once
  crossed          a request with a wrong answer, for instance the answer to another request
  falsely_refused  a once or repeatable request that ran although the caller was told that it did not run
  wrong_service    a request that ran at an upstream of a service other than that of its flow
  broken_flows     a flow that was lost after it was opened, or whose feed ended, repeated or left out items, delivered
                   wrong ones, or was silent for too long
"""
import argparse
import collections
import sys

WINDOW_US = 1000000
SILENCE_LIMIT_US = 15000000  # path checks and reopening take at most 7 s, an election and a lease 5 s more
MIN_WORK_PER_UPSTREAM_US = 200000  # in a window; with less, a single request determines the ratio


class Ledgers:
    """The entries of all ledgers. Times are in microseconds of the monotonic clock."""

    def __init__(self):
        self.requests = []  # (flow, number, kind, outcome, result, check, started, finished)
        self.feeds = []  # (flow, items, gaps, duplicates, bad, longest silence, state)
        self.flows = {}  # flow: (service, state, result, generation, reopened, moved, paths replaced)
        self.upstreams = {}  # instance: (service, slots, first start)
        self.starts = collections.defaultdict(list)  # (flow, number): [(instance, service, kind, time)]
        self.runs = []  # (instance, slots, kind, started, finished or None)
        self.last_us = 0  # the last outcome of a request

    def read_caller_ledger(self, path):
        for words in complete_lines(path):
            if words[0] == 'request':
                self.requests.append((words[1], int(words[2]), *words[3:7], int(words[7]), int(words[8])))
                self.last_us = max(self.last_us, int(words[8]))
            elif words[0] == 'feed':
                self.feeds.append((words[1], *map(int, words[2:7]), words[7]))
            elif words[0] == 'flow':
                self.flows[words[1]] = (words[2], words[3], words[4], *map(int, words[5:9]))

    def read_upstream_ledger(self, path):
        running = collections.defaultdict(list)
        for words in complete_lines(path):
            if words[0] == 'up':
                instance, service, slots, time_us = words[1], words[2], int(words[3]), int(words[4])
                self.upstreams.setdefault(instance, (service, slots, time_us))
                running.clear()  # a restart ended the runs of the earlier process
                continue
            event, instance, service, slots, flow, number, kind, time_us = words
            key = (flow, int(number))
            if event == 'start':
                self.starts[key].append((instance, service, kind, int(time_us)))
                run = [instance, int(slots), kind, int(time_us), None]
                self.runs.append(run)
                running[key].append(run)
            elif running[key]:
                running[key].pop(0)[4] = int(time_us)


def complete_lines(path):
    """Yields the words of each line. The last line is left out if a killed process wrote only a part of it."""
    with open(path, encoding='ascii') as file:
        for line in file:
            if line.endswith('\n') and line.strip():
                yield line.split()


def check_requests(ledgers):
    """Returns {violation: list of entries} for the violations that requests and runs show."""
    found = collections.defaultdict(list)
    for request in ledgers.requests:
        flow, number, kind, outcome, _result, check = request[:6]
        starts = ledgers.starts.get((flow, number), [])
        if outcome == 'none':
            found['lost'].append(request)
        if outcome == 'answer' and not starts:
            found['lost'].append(request)
        if outcome == 'answer' and check == 'bad':
            found['crossed'].append(request)
        if outcome == 'not_run' and starts and kind in ('once', 'repeatable'):
            found['falsely_refused'].append(request)
    for (flow, number), starts in ledgers.starts.items():
        service = ledgers.flows.get(flow, (None,))[0]
        if sum(1 for start in starts if start[2] == 'once') > 1:
            found['doubled'].append((flow, number, starts))
        if any(service is not None and start[1] != service for start in starts):
            found['wrong_service'].append((flow, number, service, starts))
    return found


def check_flows(ledgers):
    """Returns the sorted ids of the flows that count as broken_flows."""
    broken_flows = {flow for flow, entry in ledgers.flows.items() if entry[1] == 'broken'}
    for flow, _items, gaps, duplicates, bad, silence_us, state in ledgers.feeds:
        if state == 'ended' or gaps or duplicates or bad or (state == 'open' and silence_us > SILENCE_LIMIT_US):
            broken_flows.add(flow)
    return sorted(broken_flows)


def imbalance(ledgers, excluded, skip_us):
    """For each service and one-second window, the work per slot of the busiest upstream is divided by the mean of all
    upstreams of the service. Returns the mean and the maximum of these ratios; 1.0 is an even distribution.

    An upstream counts in a window if it was up for the whole window and is not excluded in it. Feeds take no slot and
    don't count. excluded: (instance, from_us, to_us).
    """
    work = collections.defaultdict(float)  # (window, instance): microseconds of work per slot
    times = [run[3] for run in ledgers.runs]
    if not times:
        return 1.0, 1.0
    first_us, last_us = min(times) + skip_us, max(times)
    for instance, slots, kind, started_us, finished_us in ledgers.runs:
        end_us = finished_us if finished_us is not None else ledgers.last_us
        while kind != 'feed' and started_us < end_us:
            window = started_us // WINDOW_US
            window_end_us = min(end_us, (window + 1) * WINDOW_US)
            work[window, instance] += (window_end_us - started_us) / slots
            started_us = window_end_us
    ratios = []
    services = collections.defaultdict(list)
    for instance, (service, _slots, up_us) in ledgers.upstreams.items():
        services[service].append((instance, up_us))
    for window in range(first_us // WINDOW_US + 1, last_us // WINDOW_US):
        for members in services.values():
            counted = [instance for instance, up_us in members if up_us < window * WINDOW_US
                       and not any(name == instance and start < (window + 1) * WINDOW_US
                                   and window * WINDOW_US < end for name, start, end in excluded)]
            loads = [work[window, instance] for instance in counted]
            total = sum(loads[i] * ledgers.upstreams[name][1] for i, name in enumerate(counted))
            if len(counted) > 1 and total >= MIN_WORK_PER_UPSTREAM_US * len(counted):
                ratios.append(max(loads) / (sum(loads) / len(loads)))
    if not ratios:
        return 1.0, 1.0
    return sum(ratios) / len(ratios), max(ratios)


def latency_ms(ledgers, quantile):
    """Latency of answered single requests, from request to outcome; 0 if there are none."""
    latencies_us = sorted(request[7] - request[6] for request in ledgers.requests
                          if request[3] == 'answer' and request[2] in ('once', 'repeatable'))
    return latencies_us[int(quantile * (len(latencies_us) - 1))] / 1000 if latencies_us else 0.0


VIOLATIONS = ('lost', 'doubled', 'crossed', 'falsely_refused', 'wrong_service', 'broken_flows')


def evaluate(ledgers, excluded=(), skip_us=0):
    """Returns {name: figure}, with the number of each violation, and {violation: list of entries}. excluded and skip_us
    apply to the imbalance.
    """
    found = check_requests(ledgers)
    found['broken_flows'] = check_flows(ledgers)
    outcomes = collections.Counter(request[3] for request in ledgers.requests)
    mean, maximum = imbalance(ledgers, excluded, skip_us)
    figures = {'requests': sum(count for name, count in outcomes.items() if name != 'continued')}
    figures.update({name: len(found[name]) for name in VIOLATIONS})
    figures.update({f'outcome_{name}': outcomes[name] for name in ('answer', 'not_run', 'unknown', 'failed')})
    figures['unknown_once'] = sum(1 for request in ledgers.requests
                                  if request[2] == 'once' and request[3] == 'unknown')
    figures['flows'] = len(ledgers.flows)
    figures['refused_flows'] = sum(1 for entry in ledgers.flows.values() if entry[1] == 'refused')
    figures['items'] = sum(feed[1] for feed in ledgers.feeds)
    figures['silence_ms'] = max((feed[5] for feed in ledgers.feeds), default=0) // 1000
    figures['reopened'] = sum(entry[4] for entry in ledgers.flows.values())
    figures['moved'] = sum(entry[5] for entry in ledgers.flows.values())
    figures['paths_replaced'] = sum(entry[6] for entry in ledgers.flows.values())
    figures['p50_ms'] = f'{latency_ms(ledgers, 0.5):.1f}'
    figures['p99_ms'] = f'{latency_ms(ledgers, 0.99):.1f}'
    figures['imbalance'] = f'{mean:.2f}'
    figures['imbalance_max'] = f'{maximum:.2f}'
    return figures, found


def read_ledgers(callers, upstreams):
    """Reads the ledgers at the paths given."""
    ledgers = Ledgers()
    for path in callers:
        ledgers.read_caller_ledger(path)
    for path in upstreams:
        ledgers.read_upstream_ledger(path)
    return ledgers


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--callers', nargs='+', required=True, metavar='FILE')
    parser.add_argument('--upstreams', nargs='+', required=True, metavar='FILE')
    parser.add_argument('--exclude', nargs=3, action='append', default=[],
                        metavar=('INSTANCE', 'FROM_US', 'TO_US'),
                        help='leave the upstream out of the imbalance for this time')
    parser.add_argument('--skip-ms', type=int, default=0, help='time at the start that is left out of the imbalance')
    parser.add_argument('--verbose', action='store_true')
    arguments = parser.parse_args()
    excluded = [(name, int(start), int(end)) for name, start, end in arguments.exclude]
    figures, found = evaluate(read_ledgers(arguments.callers, arguments.upstreams), excluded,
                              arguments.skip_ms * 1000)
    print(' '.join(f'{name}={value}' for name, value in figures.items()))
    if arguments.verbose:
        for name in VIOLATIONS:
            for entry in found[name]:
                print(name, entry, file=sys.stderr)
    return 1 if any(figures[name] for name in VIOLATIONS) else 0


if __name__ == '__main__':
    sys.exit(main())
