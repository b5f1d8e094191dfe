"""Ledger of open flows: which upstream has each flow, what its callers and the other upstreams got of it, and the
violations of the platform's rule for open flows."""
MISROUTED_WINDOW_S = 2  # ReorderWindowMs
MISROUTED_SEGMENTS = 3  # of an open flow at other upstreams, and none at its own, within the window
IDLE_TIMEOUT_S = 15  # IdleTimeoutMs: a flow that was idle for longer may be discarded


class OpenFlow:
    """upstream: the one that has the flow; opened, ended: times, ended is None while it is open; own: times at which
    segments reached that upstream; foreign: (time, address) of segments that reached another one."""

    def __init__(self, upstream, opened):
        self.upstream, self.opened, self.ended = upstream, opened, None
        self.own, self.foreign = [opened], []


class FlowLedger:
    def __init__(self):
        self.flows = {}  # key (caller address and port, route address and port): OpenFlow
        self.resets = []  # (time, key, OpenFlow) of resets by the system on open flows
        self.dropped_routes = set()  # (address, port) of routes that the newest configuration does not have

    def drop_route(self, route, now):
        """A configuration without the route was sent: the flows of the route may end from now on."""
        self.dropped_routes.add(route)
        for key, flow in self.flows.items():
            if key[2:] == route and flow.ended is None:
                flow.ended = now

    def add_route(self, route):
        self.dropped_routes.discard(route)

    def handle_own_segment(self, key, upstream, now, ends):
        flow = self.flows.get(key)
        if flow is None or flow.upstream is not upstream:
            flow = self.flows[key] = OpenFlow(upstream, now)
        flow.own.append(now)
        if (ends or key[2:] in self.dropped_routes) and flow.ended is None:
            flow.ended = now

    def handle_foreign_segment(self, key, address, now):
        flow = self.flows.get(key)
        if flow is not None and flow.ended is None:
            flow.foreign.append((now, address))

    def handle_reset(self, key, now):
        """The system has reset the flow. Counts it if the flow was open and its upstream alive."""
        flow = self.flows.get(key)
        if flow is None or flow.ended is not None:
            return
        if flow.upstream.alive and now - flow.own[-1] <= IDLE_TIMEOUT_S:
            self.resets.append((now, key, flow))
        flow.ended = now

    def end_flows(self, upstream, now):
        """The upstream has ended, and with it all its flows."""
        for flow in self.flows.values():
            if flow.upstream is upstream and flow.ended is None:
                flow.ended = now

    @staticmethod
    def misrouted(flow):
        """The start of a window in which MISROUTED_SEGMENTS reached other upstreams and none its own; None if there was
        none."""
        for (first, _), (last, _) in zip(flow.foreign, flow.foreign[MISROUTED_SEGMENTS - 1:]):
            previous = max(at for at in flow.own if at <= first)
            following = min([at for at in flow.own if at > first] + [flow.ended or float('inf')])
            if last < following and last - first <= MISROUTED_WINDOW_S and following - previous >= MISROUTED_WINDOW_S:
                return first
        return None

    def violations(self, describe):
        """Texts that begin with FLOW. describe(time, key, flow) gives details."""
        texts = [f'FLOW: reset of an open flow {describe(at, key, flow)}' for at, key, flow in self.resets]
        for key, flow in self.flows.items():
            at = self.misrouted(flow)
            if at is not None:
                n_others = len({address for _, address in flow.foreign})
                texts.append(f'FLOW: segments of an open flow at {n_others} other upstreams {describe(at, key, flow)}')
        return texts
