"""Stand-ins for the state service, the cloud, workers, the load balancer and the platform.

They follow PROTOCOL-sorrelhinge.md and DEPLOY-sorrelhinge.md. Everything listens on 127.0.0.1.
A script runs them in one asyncio loop; the controllers are separate processes.
"""

import asyncio
import bisect
import ctypes
import json
import os
import random
import signal
import socket
import time

HOST = "127.0.0.1"


def now():
    return time.monotonic()


def end_with_parent():
    """Has the kernel end a process with the one that started it, however that ends."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


def free_ports(count):
    """Ports that nobody listens on now."""
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((HOST, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = now()

    def line(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.start, text))

    def at(self):
        return now() - self.start


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """First line, headers and body of an HTTP/1.1 message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


NAMES = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
         410: "Gone", 421: "Misdirected", 429: "Too Many", 503: "Unavailable"}


class HttpServer:
    """Serves `answer(method, path, body, tag)`, a coroutine that returns (status, bytes)
    or None for no answer at all."""

    def __init__(self, answer):
        self.answer = answer
        self.servers = []

    async def listen(self, port, tag=None):
        async def attend(reader, writer):
            try:
                while True:
                    line, headers, body = await read_message(reader)
                    method, path, _ = line.split(" ", 2)
                    result = await self.answer(method, path, body, tag)
                    if result is None:
                        await asyncio.sleep(3600)
                        break
                    status, data = result
                    writer.write(b"HTTP/1.1 %d %s\r\ncontent-type: application/json\r\n"
                                 b"content-length: %d\r\n\r\n"
                                 % (status, NAMES.get(status, "X").encode(), len(data)))
                    writer.write(data)
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError, OSError,
                    asyncio.LimitOverrunError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(attend, HOST, port, limit=1 << 20, backlog=1024)
        self.servers.append(server)


async def http(port, method, path, body=None, timeout=5.0):
    """One request on a connection of its own: (status, JSON), or (None, reason)."""
    try:
        return await asyncio.wait_for(_http(port, method, path, body), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        return None, "connection failed: %s" % type(error).__name__


async def _http(port, method, path, body):
    reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        writer.write(("%s %s HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
                      "content-length: %d\r\nconnection: close\r\n\r\n"
                      % (method, path, len(data))).encode() + data)
        line, headers, text = await read_message(reader)
        status = int(line.split(" ")[1])
        try:
            value = json.loads(text) if text else None
        except ValueError:
            value = None
        return status, value
    finally:
        writer.close()


class Client:
    """A client that keeps its connection open between requests (HTTP/1.1)."""

    def __init__(self, port):
        self.port = port
        self.conn = None

    def close(self):
        if self.conn:
            self.conn[1].close()
            self.conn = None

    async def ask(self, method, path, body=None, timeout=5.0):
        try:
            return await asyncio.wait_for(self._ask(method, path, body), timeout)
        except asyncio.TimeoutError:
            self.close()
            return None, "no answer in time"
        except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return None, "connection failed: %s" % type(error).__name__

    async def _ask(self, method, path, body):
        if self.conn is None:
            self.conn = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        reader, writer = self.conn
        data = b"" if body is None else json.dumps(body).encode()
        writer.write(("%s %s HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
                      "content-length: %d\r\n\r\n" % (method, path, len(data))).encode() + data)
        line, headers, text = await read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = json.loads(text) if text else None
        except ValueError:
            value = None
        return int(line.split(" ")[1]), value


# ---------------------------------------------------------------- state service

class Bucket:
    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, now()

    def take(self, n):
        t = now()
        self.level = min(self.rate, self.level + (t - self.at) * self.rate)
        self.at = t
        if self.level < n:
            return False
        self.level -= n
        return True


KEPT_CHANGES = 10_000


class State:
    """The state service. `delay` (seconds) holds back answers of requests; a transaction is
    carried out when it is answered."""

    def __init__(self, rps, write_rps, value_kb, txn_ops, record=None):
        self.keys = {}          # key -> (value as bytes, stamp, ticket)
        self.sorted = []
        self.ledger = 0
        self.events = []        # (stamp, bytes)
        self.dropped = 0        # stamp of the last change that is not kept any more
        self.leases = {}        # ticket -> [life_s, ends_at]
        self.next_ticket = 1
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.changed = asyncio.Event()
        self.latency = lambda kind, tag: 0.004
        self.down = lambda tag: False
        self.record = record
        self.server = HttpServer(self.answer)

    async def listen(self, port, tag=None):
        await self.server.listen(port, tag)

    def put(self, key, value, ticket=None, stamp=None):
        if key not in self.keys:
            bisect.insort(self.sorted, key)
        self.keys[key] = (value, stamp, ticket)
        self.events.append((stamp, b'{"write":%s,"value":%s,"stamp":%d}'
                            % (json.dumps(key).encode(), value, stamp)))

    def delete(self, key, stamp):
        if key in self.keys:
            del self.keys[key]
            self.sorted.pop(bisect.bisect_left(self.sorted, key))
            self.events.append((stamp, b'{"delete":%s,"stamp":%d}'
                                % (json.dumps(key).encode(), stamp)))

    def commit(self):
        if len(self.events) > KEPT_CHANGES:
            cut = len(self.events) - KEPT_CHANGES
            self.dropped = self.events[cut - 1][0]
            del self.events[:cut]
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def expire(self):
        t = now()
        for ticket in [k for k, (_, end) in self.leases.items() if end < t]:
            self.end_lease(ticket)

    def end_lease(self, ticket):
        del self.leases[ticket]
        mine = [k for k, v in self.keys.items() if v[2] == ticket]
        if mine:
            self.ledger += 1
            for key in mine:
                self.delete(key, self.ledger)
            self.commit()

    async def run(self):
        """Ends leases in time: up to 100 ms late, never early."""
        while True:
            await asyncio.sleep(0.05)
            if not self.down(None):
                self.expire()

    async def answer(self, method, path, body, tag):
        path, _, query = path.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        kind = path.split("/")[1]
        if self.down(tag) and kind != "follow":
            return 503, b'{"error":"trouble"}'
        if not self.requests.take(1):
            return 429, b'{"error":"too many requests"}'
        delay = self.latency(kind, tag)
        if delay is None:
            return None
        await asyncio.sleep(delay)
        if kind == "txn":
            return self.txn(body)
        if kind == "leases":
            return self.lease(method, path, body)
        if kind == "follow":
            return await self.follow(args, tag)
        if kind == "keys":
            if path != "/keys":
                key = path[len("/keys/"):]
                if key not in self.keys:
                    return 404, b'{"ledger":%d}' % self.ledger
                value, stamp, ticket = self.keys[key]
                return 200, b'{"key":%s,"value":%s,"stamp":%d}' % (
                    json.dumps(key).encode(), value, stamp)
            return self.page(args)
        return 400, b'{"error":"no such path"}'

    def page(self, args):
        under, since = args.get("under", ""), args.get("since", "")
        most = min(int(args.get("most", 1000)), 1000)
        at = bisect.bisect_right(self.sorted, since) if since else \
            bisect.bisect_left(self.sorted, under)
        items, size, truncated = [], 0, False
        while at < len(self.sorted) and self.sorted[at].startswith(under):
            key = self.sorted[at]
            value, stamp, _ = self.keys[key]
            item = b'{"key":%s,"value":%s,"stamp":%d}' % (
                json.dumps(key).encode(), value, stamp)
            if len(items) >= most or size + len(item) > 512 * 1024:
                truncated = True
                break
            items.append(item)
            size += len(item) + 1
            at += 1
        return 200, b'{"items":[%s],"truncated":%s,"ledger":%d}' % (
            b",".join(items), b"true" if truncated else b"false", self.ledger)

    def txn(self, body):
        try:
            wanted = json.loads(body)
            when, apply = wanted.get("when", []), wanted.get("apply", [])
        except ValueError:
            return 400, b'{"error":"malformed"}'
        if len(apply) > self.txn_ops or len(when) > 4 * self.txn_ops or len(body) > 65536:
            return 400, b'{"error":"too large"}'
        values = []
        for change in apply:
            value = json.dumps(change["value"], separators=(",", ":")).encode() \
                if "write" in change else None
            if value is not None and len(value) > self.value_bytes:
                return 400, b'{"error":"value too large"}'
            values.append(value)
            ticket = change.get("ticket")
            if ticket is not None and ticket not in self.leases:
                return 400, b'{"error":"no such lease"}'
        if apply and not self.writes.take(len(apply)):
            return 429, b'{"error":"too many changes"}'
        failed = [c["key"] for c in when
                  if (self.keys[c["key"]][1] if c["key"] in self.keys else 0) != c["stamp"]]
        if failed:
            return 409, json.dumps({"failed": failed, "ledger": self.ledger}).encode()
        if apply:
            self.ledger += 1
            for change, value in zip(apply, values):
                if "write" in change:
                    self.put(change["write"], value, change.get("ticket"), self.ledger)
                else:
                    self.delete(change["delete"], self.ledger)
            self.commit()
        return 200, b'{"ledger":%d}' % self.ledger

    def lease(self, method, path, body):
        parts = path.strip("/").split("/")
        if len(parts) == 1:
            life = json.loads(body)["life_ms"] / 1000.0
            ticket, self.next_ticket = self.next_ticket, self.next_ticket + 1
            self.leases[ticket] = [life, now() + life]
            return 200, b'{"ticket":%d}' % ticket
        ticket = int(parts[1])
        if ticket not in self.leases:
            return 404, b'{"error":"no such lease"}'
        if method == "DELETE":
            self.end_lease(ticket)
            return 200, b'{}'
        self.leases[ticket][1] = now() + self.leases[ticket][0]
        return 200, b'{}'

    async def follow(self, args, tag):
        since, under = int(args.get("since", 0)), args.get("under", "")
        end = now() + min(int(args.get("block_ms", 0)), 60_000) / 1000.0
        while True:
            if since < self.dropped:
                return 410, b'{"error":"too old"}'
            at = bisect.bisect_right(self.events, since, key=lambda e: e[0])
            found = self.events[at:]
            left = end - now()
            if (found or left <= 0) and not self.down(tag):
                return 200, b'{"ledger":%d,"events":[%s]}' % (
                    self.ledger, b",".join(e[1] for e in found))
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(left, 0.05))
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- cloud and workers

class Cloud:
    """The cloud. Machines that it rents are up after `startup_s` as workers."""

    def __init__(self, types, zones, list_lag_s, make_worker, record=None):
        self.types, self.zones, self.lag = types, zones, list_lag_s
        self.machines = {}
        self.hires = {}
        self.count = 0
        self.make_worker = make_worker
        self.record = record
        self.history = []
        self.server = HttpServer(self.answer)

    async def listen(self, port):
        await self.server.listen(port)

    def add(self, build, zone, spot, startup_s):
        self.count += 1
        uid = "vm-%06d" % self.count
        self.machines[uid] = {"uid": uid, "build": build, "rack": zone, "loaners": spot,
                              "phase": "booting", "since": now(), "addr": None, "worker": None}
        asyncio.ensure_future(self.boot(uid, startup_s))
        return uid

    async def boot(self, uid, startup_s):
        await asyncio.sleep(startup_s)
        if uid in self.machines:
            machine = self.machines[uid]
            machine["worker"] = await self.make_worker(machine)
            machine["phase"] = "running"

    async def run(self):
        while True:
            shown = [{"uid": m["uid"], "addr": m["addr"], "build": m["build"], "rack": m["rack"],
                      "loaners": m["loaners"], "phase": m["phase"],
                      "held_s": round(now() - m["since"], 3)} for m in self.machines.values()]
            self.history.append((now(), shown))
            while len(self.history) > 1 and self.history[1][0] < now() - self.lag:
                self.history.pop(0)
            await asyncio.sleep(0.25)

    async def answer(self, method, path, body, tag):
        path, _, query = path.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        await asyncio.sleep(0.05)
        if path == "/machine_types":
            return 200, json.dumps({"builds": self.types}).encode()
        if path == "/rentals" and method == "GET":
            shown = self.history[0][1] if self.history else []
            shown = sorted((m for m in shown if m["uid"] > args.get("since", "")),
                           key=lambda m: m["uid"])
            most = min(int(args.get("most", 500)), 500)
            return 200, json.dumps({"boxes": shown[:most],
                                    "truncated": len(shown) > most}).encode()
        if path == "/rentals":
            order = json.loads(body)
            if order["hire"] not in self.hires:
                kind = next(t for t in self.types if t["label"] == order["build"])
                room = max(0, self.limit(order) - sum(
                    m["build"] == order["build"] and m["rack"] == order["rack"]
                    and m["loaners"] == order["loaners"] for m in self.machines.values()))
                number = min(order["number"], 50, room)
                if number == 0:
                    return 503, b'{"error":"no capacity"}'
                self.hires[order["hire"]] = [
                    self.add(order["build"], order["rack"], order["loaners"], kind["startup_s"])
                    for _ in range(number)]
            return 200, json.dumps({"boxes": self.hires[order["hire"]]}).encode()
        if path == "/rentals/delete":
            for uid in json.loads(body)["boxes"]:
                machine = self.machines.pop(uid, None)
                if machine and machine["worker"]:
                    machine["worker"].end()
            return 200, b"{}"
        return 400, b"{}"

    def limit(self, order):
        return 6


class Worker:
    """A worker as PROTOCOL describes it, without an image cache of its own: an image is
    there after `fetch_s`. `jobs` maps a job's id to the body that its user sent."""

    def __init__(self, machine, nodes, report_s, lease_s, jobs, record, fetch_s=0.2, run_s=None):
        self.machine, self.nodes, self.jobs, self.record = machine, nodes, jobs, record
        self.names = list(nodes)
        self.report_s, self.lease_s, self.fetch_s, self.run_s = report_s, lease_s, fetch_s, run_s
        self.at = random.randrange(len(self.names))
        self.shift, self.tick, self.baton = 1, 0, 0
        self.pieces = {}
        self.done = set()
        self.answered = now()
        self.change = asyncio.Event()
        self.alive = True
        self.loops = []
        self.server = HttpServer(self.answer)

    async def start(self):
        port = free_ports(1)[0]
        self.machine["addr"] = "%s:%d" % (HOST, port)
        await self.server.listen(port)
        self.loops = [asyncio.ensure_future(self.report_loop()),
                      asyncio.ensure_future(self.lease_loop())]
        return self

    def end(self):
        self.alive = False
        for loop in self.loops:
            loop.cancel()
        for server in self.server.servers:
            server.close()
        for key in list(self.pieces):
            self.record.line("machine %s gone with %s try %d" % (self.machine["uid"], *key))
        self.pieces.clear()

    def report(self):
        self.tick += 1
        return {"box": self.machine["uid"], "addr": self.machine["addr"],
                "build": self.machine["build"], "rack": self.machine["rack"],
                "loaners": self.machine["loaners"], "shift": self.shift, "tick": self.tick,
                "baton": self.baton, "warning_s": None,
                "pieces": [dict({"piece": k[0], "try": k[1], "phase": p["phase"]},
                                **({"cause": p["cause"]} if p["phase"] == "ended" else {}))
                           for k, p in self.pieces.items()]}

    async def report_loop(self):
        client, last = None, 0.0
        while self.alive:
            wait = self.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.change.wait(), wait)
                await asyncio.sleep(max(0.0, last + 0.5 - now()))
            except asyncio.TimeoutError:
                pass
            self.change.clear()
            while self.alive:
                name = self.names[self.at]
                if client is None or client.port != self.nodes[name]:
                    if client:
                        client.close()
                    client = Client(self.nodes[name])
                last, shift = now(), self.shift
                status, body = await client.ask("POST", "/agent/beat", self.report(), 4.0)
                if status == 200:
                    if shift == self.shift and body.get("baton", -1) >= self.baton:
                        self.answered = last
                        self.learn(body["baton"])
                        self.execute(body.get("orders", []))
                    break
                foreman = body.get("foreman") if status == 421 and isinstance(body, dict) else None
                if foreman in self.nodes and foreman != name:
                    self.at = self.names.index(foreman)
                    await asyncio.sleep(0.1)
                else:
                    self.at = (self.at + 1) % len(self.names)
                    await asyncio.sleep(1.0)

    async def lease_loop(self):
        while self.alive:
            await asyncio.sleep(0.05)
            if now() - self.answered > self.lease_s:
                for key in self.pieces:
                    self.record.line("lease of %s ended with %s try %d"
                                     % (self.machine["uid"], *key))
                self.pieces.clear()
                self.shift += 1
                self.answered = now()
                self.change.set()

    def learn(self, baton):
        if baton > self.baton:
            self.baton = baton
            self.change.set()

    def execute(self, orders):
        for order in orders:
            key = (order["piece"], order["try"])
            verb = order["verb"]
            if verb == "start" and key not in self.pieces:
                self.begin(key)
            elif verb == "kill" and key in self.pieces and \
                    self.pieces[key]["phase"] != "ended":
                self.finish(key, "stopped")
            elif verb == "forget" and key in self.pieces and \
                    self.pieces[key]["phase"] == "ended":
                del self.pieces[key]
                self.change.set()

    def begin(self, key):
        piece = {"phase": "fetching", "cause": None}
        self.pieces[key] = piece
        self.change.set()
        job = self.jobs.get(key[0].rsplit("/", 1)[0])
        if any(k[0] == key[0] and k != key and p["phase"] != "ended"
               for k, p in self.pieces.items()):
            return self.finish(key, "in_use")
        if job is None:
            return self.finish(key, "no_such")
        self.record.line("start %s try %d on %s" % (*key, self.machine["uid"]))
        asyncio.ensure_future(self.live(key, piece, job))

    async def live(self, key, piece, job):
        await asyncio.sleep(self.fetch_s)
        if self.pieces.get(key) is not piece or piece["phase"] != "fetching":
            return
        piece["phase"] = "running"
        self.change.set()
        if job["shape"] == "standing":
            return
        if key[0] not in self.done:
            await asyncio.sleep(self.run_s if self.run_s is not None else job["guess_s"])
        if self.pieces.get(key) is piece and piece["phase"] == "running":
            self.done.add(key[0])
            self.finish(key, "done")

    def finish(self, key, cause):
        self.pieces[key]["phase"], self.pieces[key]["cause"] = "ended", cause
        self.change.set()
        self.record.line("end %s try %d on %s: %s" % (*key, self.machine["uid"], cause))

    async def answer(self, method, path, body, tag):
        if path == "/status":
            return 200, json.dumps(self.report()).encode()
        try:
            sent = json.loads(body)
            baton, shift = sent["baton"], sent["shift"]
        except (ValueError, KeyError):
            return 400, b"{}"
        if baton < self.baton or shift != self.shift:
            return 409, json.dumps(self.report()).encode()
        self.learn(baton)
        self.execute(sent.get("orders", []))
        return 200, json.dumps(self.report()).encode()


# ---------------------------------------------------------------- load balancer

class Balancer:
    """The users' load balancer (PROTOCOL, "Users -> controller nodes"): connections only."""

    def __init__(self, nodes, record):
        self.nodes, self.record = nodes, record
        self.health = {n: {"healthy": False, "ever": False, "bad": 0, "good": 0, "last": [],
                           "since": now(), "removals": [], "open": {}, "failed": 0,
                           "passed": 0.0, "up_since": 0.0} for n in nodes}

    async def start(self, port):
        self.server = await asyncio.start_server(self.attend, HOST, port, backlog=1024)
        for name in self.nodes:
            asyncio.ensure_future(self.probe(name))

    async def probe(self, name):
        h = self.health[name]
        while True:
            begun = now()
            status, _ = await http(self.nodes[name], "GET", "/healthz", timeout=1.0)
            ok = status == 200
            h["last"] = (h["last"] + [ok])[-6:]
            h["good"], h["bad"] = (h["good"] + 1, 0) if ok else (0, h["bad"] + 1)
            if h["healthy"] and (h["bad"] >= 2 or h["last"].count(False) >= 3):
                h["healthy"], h["since"] = False, now()
                h["removals"] = [t for t in h["removals"] if now() - t < 120] + [now()]
                self.record.line("balancer: %s is unhealthy" % name)
            elif not h["healthy"]:
                pause = min(60.0, 3.0 * 2 ** max(0, len(h["removals"]) - 1))
                if ok and (not h["ever"] or h["good"] >= 2 and now() - h["since"] >= pause):
                    # At the very start all become healthy together, and none is spared.
                    h["up_since"] = now() if h["ever"] else now() - 10.0
                    h["healthy"], h["ever"], h["last"] = True, True, []
                    self.record.line("balancer: %s is healthy" % name)
                elif h["ever"] and now() - h["since"] >= 5.0 and h["open"]:
                    self.record.line("balancer: %d connections to %s are reset"
                                     % (len(h["open"]), name))
                    for reset in list(h["open"].values()):
                        reset()
            await asyncio.sleep(max(0.0, begun + 1.0 - now()))

    async def attend(self, reader, writer):
        tried = []
        for _ in range(3):
            healthy = [n for n in self.nodes if self.health[n]["healthy"] and n not in tried
                       and now() >= self.health[n]["passed"]]
            if not healthy:
                break
            name = self.choose(healthy)
            tried.append(name)
            h = self.health[name]
            try:
                up = await asyncio.wait_for(
                    asyncio.open_connection(HOST, self.nodes[name]), 0.5)
                h["failed"] = 0
            except (OSError, asyncio.TimeoutError):
                h["failed"] += 1
                if h["failed"] >= 3:
                    h["failed"], h["passed"] = 0, now() + 3.0
                continue
            return await self.carry(name, (reader, writer), up)
        writer.transport.abort()

    def choose(self, healthy):
        """The node with the fewest open connections; one that has become healthy is brought
        up to its share of new connections over 10 s."""
        ready = []
        for name in healthy:
            part = (now() - self.health[name]["up_since"]) / 10.0
            if part >= 1.0:
                ready.append(name)
            elif random.random() < part / len(healthy):
                return name
        return min(ready or healthy,
                   key=lambda n: (len(self.health[n]["open"]), random.random()))

    async def carry(self, name, near, far):
        opened = self.health[name]["open"]
        key = object()

        def reset():
            near[1].transport.abort()
            far[1].transport.abort()

        opened[key] = reset

        async def pump(source, to):
            try:
                while data := await source.read(65536):
                    to.write(data)
                    await to.drain()
            except (ConnectionError, OSError):
                pass

        pumps = [asyncio.ensure_future(pump(near[0], far[1])),
                 asyncio.ensure_future(pump(far[0], near[1]))]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for p in pumps:
            p.cancel()
        opened.pop(key, None)
        near[1].close()
        far[1].close()


# ---------------------------------------------------------------- the platform

def toml(value):
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, list):
        return "[" + ", ".join(toml(v) for v in value) + "]"
    return repr(value)


class Controller:
    """One controller process, started by the deploy file's command."""

    def __init__(self, repo, folder, name, zone, others, cloud, state, params, ports, record):
        self.repo, self.name, self.record = repo, name, record
        self.port, self.peer_port = ports
        self.settings = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        lines = ['node = "%s"' % name, 'area = "%s"' % zone, 'bind = "%s:%d"' % (HOST, self.port),
                 'peer_bind = "%s:%d"' % (HOST, self.peer_port)]
        for other in others:
            lines += ["[[others]]", 'node = "%s"' % other[0], 'area = "%s"' % other[1],
                      'address = "%s"' % other[2]]
        lines += ["[outside]", 'cloud = "%s:%d"' % (HOST, cloud), 'state = "%s:%d"' % (HOST, state)]
        lines += params
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    async def start(self, level="info"):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(self.repo, "target/release/sorrelhinge"), "--config", self.settings,
                cwd=self.repo, env=dict(os.environ, LOG_LEVEL=level), stderr=log,
                stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL,
                preexec_fn=end_with_parent)
        self.record.line("platform: %s started" % self.name)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.record.line("platform: signal %s to %s" % (signal.Signals(number).name, self.name))
            self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def memory_mb(self):
        """Memory that the process holds, in MB."""
        try:
            with open("/proc/%d/statm" % self.process.pid) as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            return 0.0

    async def kill(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


# ---------------------------------------------------------------- users

class User:
    """A user with one job (PROTOCOL, "POST /v1/jobs" and "GET /v1/jobs/{id}"): one connection
    through the load balancer, kept open; 5 s for the answer to a submission, 60 s of tries in
    all, each 1 s or more after the last, or after `Retry-After`."""

    def __init__(self, port, job, record):
        self.client, self.job, self.record = Client(port), job, record
        self.answers = []
        self.accepted_at = None

    async def submit(self, total_s=60.0):
        begun = now()
        while True:
            status, body = await self.client.ask("POST", "/v1/jobs", self.job, 5.0)
            self.answers.append((self.record.at(), status))
            shown = body if status is None or status >= 300 else body.get("phase")
            self.record.line("submit %s: %s %s" % (self.job["uid"], status, shown))
            if status in (200, 201):
                self.accepted_at = now()
                return True
            if status in (400, 422):
                return False
            if now() - begun + 1.0 > total_s:
                self.record.line("submit %s: given up after %.1f s"
                                 % (self.job["uid"], now() - begun))
                return False
            await asyncio.sleep(random.uniform(1.0, 1.3))

    async def poll(self):
        status, body = await self.client.ask("GET", "/v1/jobs/" + self.job["uid"], None, 2.0)
        shown = body.get("phase") if status == 200 else body
        self.record.line("poll %s: %s %s" % (self.job["uid"], status, shown))
        return status, body

    async def poll_until_over(self):
        while True:
            status, body = await self.poll()
            if status == 200 and body["phase"] in ("done", "cancelled"):
                self.client.close()
                return
            await asyncio.sleep(5.0)


def job(uid, **fields):
    """A submission's body, with what every test needs."""
    body = {"uid": uid, "jobclass": "bid-probes", "crew": "akureyri-stats", "shape": "sweep",
            "rank": "idle", "pieces": 1, "cpus": 0.25, "cards": 0.0, "ram_gb": 0.9,
            "bundle": "img-01", "pull_gb": 0.5, "builds": None, "rack": None, "together": False,
            "spread": False, "loaners": True, "guess_s": 150.0, "mark_s": 0.0, "stash_s": 0.0,
            "due_s": None}
    body.update(fields)
    return body
