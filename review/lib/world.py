"""A small deployment on loopback: settings as in a site file, stand-ins and controllers."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile

import standins as s

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# The lists below are those of the site files of the pages, with fewer machines.
MAYTRE = {
    "zones": ["danang-rack", "hanoi-rack", "saigon-cloud"],
    "teams": [("art-team", 64.0, 184.0), ("play-team", 88.0, 160.0)],
    "objectives": [("finished", "level-bake", 50.0, 0.9), ("wait", "puzzle-server", 2.0, 0.9)],
    "report_s": 3.0, "lease_s": 36.0, "cancel_s": 56.0,
    "rps": 120.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 8,
    "cloud_rps": 10.0, "list_lag_s": 6.0,
    "cpu_share": 0.16, "memory_mb": 200.0, "max_sockets": 3500, "clock_off_ms": 1000.0,
    "types": [
        {"label": "tre-small", "cpus": 4, "cards": 0, "ram_gb": 32, "cache_gb": 50.0,
         "pull_gb_per_s": 1.0, "rate": 0.27, "market_price": 0.07, "startup_s": 15,
         "racks": ["danang-rack", "hanoi-rack", "saigon-cloud"]},
        {"label": "tre-large", "cpus": 16, "cards": 0, "ram_gb": 128, "cache_gb": 35.0,
         "pull_gb_per_s": 0.8, "rate": 1.01, "market_price": 0.26, "startup_s": 20,
         "racks": ["danang-rack", "hanoi-rack", "saigon-cloud"]}],
}
SPILAHOLL = {
    "zones": ["akureyri-rack", "keflavik-dc", "reykjavik-hall"],
    "teams": [("floor-crew", 32.0, 96.0), ("ratings-desk", 40.0, 112.0),
              ("deck-lab", 40.0, 120.0), ("akureyri-stats", 0.0, 0.0)],
    "objectives": [("finished", "replay-check", 120.0, 0.9), ("wait", "table-live", 2.0, 0.9)],
    "report_s": 6.0, "lease_s": 28.0, "cancel_s": 48.0,
    "rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 32,
    "cloud_rps": 6.0, "list_lag_s": 3.0,
    "cpu_share": 0.12, "memory_mb": 136.0, "max_sockets": 3000, "clock_off_ms": 250.0,
    "types": [
        {"label": "lundi-box", "cpus": 4, "cards": 0, "ram_gb": 16, "cache_gb": 60.0,
         "pull_gb_per_s": 0.4, "rate": 0.29, "market_price": 0.1, "startup_s": 20,
         "racks": ["akureyri-rack", "keflavik-dc", "reykjavik-hall"]},
        {"label": "hvalur-box", "cpus": 16, "cards": 0, "ram_gb": 64, "cache_gb": 60.0,
         "pull_gb_per_s": 0.4, "rate": 1.12, "market_price": 0.36, "startup_s": 25,
         "racks": ["akureyri-rack", "keflavik-dc", "reykjavik-hall"]}],
}


def params(site, nodes):
    lines = ["[params]", "initial_size = %d" % nodes, "zones = %s" % s.toml(site["zones"]),
             "clock_off_ms = %r" % site["clock_off_ms"]]
    for name, cpus, most in site["teams"]:
        lines += ["[[params.teams]]", 'name = "%s"' % name, "cpus = %r" % cpus,
                  "cpus_max = %r" % most, "gpus = 0.0", "gpus_max = 0.0"]
    for kind, name, within, share in site["objectives"]:
        lines += ["[[params.objectives]]", 'kind = "%s"' % kind, 'class = "%s"' % name,
                  "within_s = %r" % within, "share = %r" % share]
    lines += ["[params.workers]", "report_s = %r" % site["report_s"],
              "lease_s = %r" % site["lease_s"], "gang_wait_s = 45.0", "gang_peer_s = 6.0",
              "cancel_s = %r" % site["cancel_s"], "[params.state]", "rps = %r" % site["rps"],
              "write_rps = %r" % site["write_rps"], "value_kb = %r" % site["value_kb"],
              "txn_ops = %d" % site["txn_ops"], "[params.cloud]", "rps = %r" % site["cloud_rps"],
              "list_lag_s = %r" % site["list_lag_s"], "[params.machine_limits]",
              "cpu_share = %r" % site["cpu_share"], "memory_mb = %r" % site["memory_mb"],
              "max_sockets = %d" % site["max_sockets"]]
    return lines


class World:
    """Stand-ins and controllers. Each controller has a line of its own to the state service,
    tagged with its number."""

    def __init__(self, site, record, nodes=3, machines=2, run_s=None):
        self.site, self.record, self.count, self.first = site, record, nodes, machines
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.jobs = {}
        self.state = s.State(site["rps"], site["write_rps"], site["value_kb"], site["txn_ops"])

        async def make_worker(machine):
            addresses = {c.name: c.port for c in self.controllers}
            worker = s.Worker(machine, addresses, site["report_s"], site["lease_s"],
                              self.jobs, record, run_s=run_s)
            return await worker.start()

        self.cloud = s.Cloud(site["types"], site["zones"], site["list_lag_s"], make_worker)
        self.controllers = []

    async def start(self):
        ports = s.free_ports(2 + 3 * self.count)
        self.lb_port, cloud_port = ports[0], ports[1]
        lines = [ports[2 + 3 * i:5 + 3 * i] for i in range(self.count)]
        names = [("hinge-%d" % i, self.site["zones"][i % len(self.site["zones"])],
                  "%s:%d" % (s.HOST, lines[i][1])) for i in range(self.count)]
        for i, (port, peer, state) in enumerate(lines):
            await self.state.listen(state, i)
            others = [n for n in names if n != names[i]]
            self.controllers.append(s.Controller(
                REPO, self.folder, names[i][0], names[i][1], others, cloud_port, state,
                params(self.site, self.count), (port, peer), self.record))
        asyncio.ensure_future(self.state.run())
        await self.cloud.listen(cloud_port)
        asyncio.ensure_future(self.cloud.run())
        for zone in self.site["zones"]:
            for _ in range(self.first):
                self.cloud.add(self.site["types"][-1]["label"], zone, False, 0.0)

    async def balance(self):
        self.balancer = s.Balancer({c.name: c.port for c in self.controllers}, self.record)
        await self.balancer.start(self.lb_port)

    def leader(self):
        entry = self.state.keys.get("h/leader")
        return s.json.loads(entry[0])["node"] if entry else None

    async def until(self, what, seconds, so):
        end = s.now() + seconds
        while not so():
            if s.now() > end:
                raise CouldNotRun("not within %d s: %s" % (seconds, what))
            await asyncio.sleep(0.05)

    async def healthy(self, seconds=20):
        """Waits until all controllers are healthy and one leads."""
        for c in self.controllers:
            end = s.now() + seconds
            while (await s.http(c.port, "GET", "/healthz", timeout=1.0))[0] != 200:
                if s.now() > end:
                    raise CouldNotRun("%s is not healthy" % c.name)
                await asyncio.sleep(0.1)
        await self.until("a leader", seconds, lambda: self.leader() is not None)

    async def end(self):
        for c in self.controllers:
            await c.kill()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder)


class CouldNotRun(Exception):
    pass


def main(case, here):
    """Runs `case(record, trouble)`, a coroutine that returns what broke the rule (a list)."""
    record = s.Record(os.path.join(here, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.ensure_future(case(record, trouble))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, 116)

    code, lines = 2, []
    try:
        loop = asyncio.new_event_loop()
        broken = loop.run_until_complete(run())
        code, lines = (1, ["BROKEN " + line for line in broken]) if broken \
            else (0, ["the rule held"])
    except (CouldNotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        lines = ["could not run: %r" % error]
    for line in lines:
        record.line(line)
        print(line, flush=True)
    # The stand-ins' routines end with this process; the controllers have ended before.
    os._exit(code)
