"""Stand-ins for the second review: state service, cloud, workers, load balancer, users.

They follow PROTOCOL-sorrelhinge.md. All run in one process (asyncio), on loopback addresses
and free ports; the controllers and agents are separate processes. Nothing is imported beyond
the standard library of Python 3.
"""
import asyncio, json, os, random, shutil, signal, socket, sys, tempfile, time, traceback
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BEGAN = time.monotonic()


def free_ports(count):
    """Returns free ports of the loopback address.

    They lie below the ports that outgoing connections commonly take, one of which could
    otherwise take the port before the program that it is meant for.
    """
    socks = []
    while len(socks) < count:
        s = socket.socket()
        try:
            s.bind(('127.0.0.1', random.randrange(20000, 32000)))
            socks.append(s)
        except OSError:
            s.close()
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


class Record:
    """Writes what was sent, answered and run to record.txt in the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, 'record.txt'), 'w')

    def note(self, text):
        self.file.write('%8.3f %s\n' % (time.monotonic() - BEGAN, text))
        self.file.flush()


# ---- HTTP/1.1 -------------------------------------------------------------------------------

async def read_message(reader):
    """Reads a request or an answer: first line, headers, body. None at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if ':' in line:
            k, v = line.split(':', 1)
            headers[k.strip().lower()] = v.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return lines[0], headers, body


async def serve_http(port, handler):
    """Serves `handler(method, path, query, body) -> (status, object)`."""
    async def attend(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(' ', 2)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                answer = await handler(method, url.path, query, json.loads(body) if body else None)
                if answer is None:      # no answer at all
                    break
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
                             b'content-length: %d\r\n\r\n' % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(attend, '127.0.0.1', port, limit=1 << 22, backlog=1024)


class Connection:
    """A client's connection to one address, which stays open between requests."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def ask(self, method, path, body=None, timeout=5.0):
        """Returns (status, headers, object), or None if no answer came in time."""
        try:
            return await asyncio.wait_for(self._ask(method, path, body), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
            self.close()
            return None

    async def _ask(self, method, path, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection('127.0.0.1', self.port, limit=1 << 22)
        data = b'' if body is None else json.dumps(body).encode()
        self.writer.write(('%s %s HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n'
                           'content-length: %d\r\n\r\n' % (method, path, len(data))).encode() + data)
        first, headers, text = await read_message(self.reader)
        value = json.loads(text) if text else None
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return int(first.split(' ')[1]), headers, value

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def ask_once(port, method, path, body=None, timeout=5.0):
    connection = Connection(port)
    answer = await connection.ask(method, path, body, timeout)
    connection.close()
    return answer


# ---- State service --------------------------------------------------------------------------

class Bucket:
    """A limit of so many a second, with bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < n:
            return False
        self.level -= n
        return True


class State:
    """The key-value store."""

    def __init__(self, rps=120.0, write_rps=25.0, value_kb=4.0, txn_ops=8):
        self.keys, self.leases, self.events = {}, {}, []
        self.ledger, self.tickets = 0, 0
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.changed = asyncio.Condition()
        self.out = False
        # A coroutine function that may hold up a transaction, or drop its answer (by True).
        self.before_txn = None
        self.after_txn = None

    async def start(self):
        self.port = free_ports(1)[0]
        self.server = await serve_http(self.port, self.handle)
        self.ticker = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.out:
                for lease in self.leases.values():
                    lease['until'] = time.monotonic() + lease['life']
                continue
            for ticket in [t for t, l in self.leases.items() if time.monotonic() > l['until'] + 0.02]:
                await self.end_lease(ticket)

    async def end_lease(self, ticket):
        del self.leases[ticket]
        gone = [k for k, v in self.keys.items() if v['ticket'] == ticket]
        if gone:
            self.ledger += 1
            for key in gone:
                del self.keys[key]
                self.events.append({'delete': key, 'stamp': self.ledger})
            await self.tell()

    async def tell(self):
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, path, query, body):
        if self.out:
            return 503, {'error': 'trouble'}
        if not self.requests.take(1):
            return 429, {'error': 'too many'}
        if path == '/txn':
            return await self.txn(body)
        if path == '/leases':
            self.tickets += 1
            life = body['life_ms'] / 1000.0
            self.leases[self.tickets] = {'life': life, 'until': time.monotonic() + life}
            return 200, {'ticket': self.tickets}
        if path.startswith('/leases/'):
            ticket = int(path.split('/')[2])
            if ticket not in self.leases:
                return 404, {}
            if method == 'DELETE':
                await self.end_lease(ticket)
            else:
                self.leases[ticket]['until'] = time.monotonic() + self.leases[ticket]['life']
            return 200, {}
        if path == '/follow':
            return await self.follow(query)
        if path == '/keys':
            return self.page(query)
        if path.startswith('/keys/'):
            held = self.keys.get(path[len('/keys/'):])
            if held is None:
                return 404, {'ledger': self.ledger}
            return 200, dict(held, key=path[len('/keys/'):])
        return 400, {'error': 'no such path'}

    def page(self, query):
        under, since, most = query['under'], query.get('since', ''), min(int(query.get('most', 1000)), 1000)
        names = sorted(k for k in self.keys if k.startswith(under) and k > since)
        items, size = [], 0
        for name in names:
            item = dict(self.keys[name], key=name)
            size += len(json.dumps(item))
            if len(items) >= most or size > 512 * 1024:
                break
            items.append(item)
        return 200, {'items': items, 'truncated': len(items) < len(names), 'ledger': self.ledger}

    async def follow(self, query):
        since, under = int(query['since']), query['under']
        until = time.monotonic() + int(query.get('block_ms', 0)) / 1000.0
        while True:
            if len(self.events) > 10000:
                self.events = self.events[-10000:]
            if self.events and since < self.events[0]['stamp'] - 1 and self.events[0]['stamp'] > 1:
                return 410, {}
            news = [e for e in self.events
                    if e['stamp'] > since and (e.get('write') or e.get('delete')).startswith(under)]
            left = until - time.monotonic()
            if not self.out and (news or left <= 0):
                return 200, {'ledger': self.ledger, 'events': news}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.02, left))
                except asyncio.TimeoutError:
                    pass

    async def txn(self, body):
        if self.before_txn and await self.before_txn(body):
            return None
        when, apply = body.get('when') or [], body.get('apply') or []
        if len(apply) > self.txn_ops or len(when) > 4 * self.txn_ops:
            return 400, {'error': 'too large'}
        for change in apply:
            if 'write' in change and len(json.dumps(change['value'], separators=(',', ':'))) > self.value_bytes:
                return 400, {'error': 'value too large'}
        if not self.writes.take(len(apply)):
            return 429, {'error': 'too many'}
        failed = [c['key'] for c in when if self.keys.get(c['key'], {'stamp': 0})['stamp'] != c['stamp']]
        for change in apply:
            if change.get('ticket') is not None and change['ticket'] not in self.leases:
                return 400, {'error': 'no such lease'}
        if failed:
            return 409, {'failed': failed, 'ledger': self.ledger}
        if apply:
            self.ledger += 1
            for change in apply:
                if 'write' in change:
                    held = {'value': change['value'], 'stamp': self.ledger, 'ticket': change.get('ticket')}
                    self.keys[change['write']] = held
                    self.events.append({'write': change['write'], 'value': change['value'], 'stamp': self.ledger})
                else:
                    self.keys.pop(change['delete'], None)
                    self.events.append({'delete': change['delete'], 'stamp': self.ledger})
            await self.tell()
        if self.after_txn and await self.after_txn(body):
            return None
        return 200, {'ledger': self.ledger}


# ---- Cloud ----------------------------------------------------------------------------------

class Cloud:
    """Rents machines. `start_machine(name, build, rack, loaners)` brings one up."""

    def __init__(self, builds, start_machine=None, stop_machine=None, capacity=0, rps=10.0):
        self.builds, self.capacity, self.requests = builds, capacity, Bucket(2 * rps)
        self.start_machine, self.stop_machine = start_machine, stop_machine
        self.boxes, self.hires, self.number = {}, {}, 0

    async def start(self):
        self.port = free_ports(1)[0]
        self.server = await serve_http(self.port, self.handle)

    async def rent(self, build, rack, loaners, boot=True):
        self.number += 1
        name = 'vm-%06d' % self.number
        self.boxes[name] = {'uid': name, 'addr': None, 'build': build, 'rack': rack, 'loaners': loaners,
                            'phase': 'booting', 'since': time.monotonic()}
        if boot:
            asyncio.create_task(self.boot(name, next(b['startup_s'] for b in self.builds if b['label'] == build)))
        else:
            await self.boot(name, 0)
        return name

    async def boot(self, name, after):
        await asyncio.sleep(after)
        if name in self.boxes:
            box = self.boxes[name]
            box['addr'] = await self.start_machine(name, box['build'], box['rack'], box['loaners'])
            box['phase'] = 'running'

    async def handle(self, method, path, query, body):
        if not self.requests.take(1):
            return 429, {'error': 'too many'}
        if path == '/machine_types':
            return 200, {'builds': self.builds}
        if path == '/rentals/delete':
            for name in body['boxes']:
                if self.boxes.pop(name, None) is not None:
                    await self.stop_machine(name)
            return 200, {}
        if path == '/rentals' and method == 'POST':
            if body['hire'] in self.hires:
                return 200, {'boxes': self.hires[body['hire']]}
            number = min(body['number'], self.capacity - len(self.boxes))
            if number <= 0:
                return 503, {'error': 'no capacity'}
            names = [await self.rent(body['build'], body['rack'], body['loaners']) for _ in range(number)]
            self.hires[body['hire']] = names
            return 200, {'boxes': names}
        if path == '/rentals':
            since, most = query.get('since', ''), min(int(query.get('most', 500)), 500)
            names = sorted(n for n in self.boxes if n > since)
            shown = []
            for name in names[:most]:
                box = dict(self.boxes[name])
                box['held_s'] = round(time.monotonic() - box.pop('since'), 3)
                shown.append(box)
            return 200, {'boxes': shown, 'truncated': len(names) > most}
        return 400, {'error': 'no such path'}


# ---- Workers --------------------------------------------------------------------------------

class Worker:
    """One machine: reports, leases, tokens, commands and tasks, as PROTOCOL has them."""

    def __init__(self, world, name, build, rack, loaners):
        self.world, self.name, self.build, self.rack, self.loaners = world, name, build, rack, loaners
        self.shift, self.tick, self.baton = 1, 0, 0
        self.tasks, self.answered, self.target = {}, time.monotonic(), random.randrange(len(world.nodes))
        self.changed, self.gone = asyncio.Event(), False
        # What the network does: reports are lost, or answers are, or direct commands are.
        self.mute = self.deaf = self.no_orders = False
        self.taken_at = None    # when the cloud takes the machine, if a notice was given

    async def start(self):
        self.port = free_ports(1)[0]
        self.server = await serve_http(self.port, self.handle)
        self.loops = [asyncio.create_task(self.report()), asyncio.create_task(self.lease())]
        return '127.0.0.1:%d' % self.port

    async def stop(self):
        self.gone = True
        for loop in self.loops:
            loop.cancel()
        self.server.close()
        self.drop_all('machine gone')

    def drop_all(self, why):
        for (piece, number), task in list(self.tasks.items()):
            if task.get('run'):
                task['run'].cancel()
            if task['phase'] != 'ended':
                self.world.left(self, piece, number, why)
        self.tasks.clear()

    async def lease(self):
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.answered > self.world.lease_s:
                self.drop_all('lease over')
                self.shift, self.answered = self.shift + 1, time.monotonic()
                self.changed.set()

    def body(self):
        self.tick += 1
        pieces = []
        for (piece, number), task in self.tasks.items():
            one = {'piece': piece, 'try': number, 'phase': task['phase']}
            if task['phase'] == 'ended':
                one['cause'] = task['cause']
            pieces.append(one)
        return {'box': self.name, 'addr': '127.0.0.1:%d' % self.port, 'build': self.build, 'rack': self.rack,
                'loaners': self.loaners, 'shift': self.shift, 'tick': self.tick, 'baton': self.baton,
                'warning_s': self.taken_at and max(0.0, self.taken_at - time.monotonic()), 'pieces': pieces}

    async def report(self):
        connection, wait = None, 0.0
        while True:
            await asyncio.sleep(max(wait, 0.5))
            if wait == 0.0:
                try:
                    await asyncio.wait_for(self.changed.wait(), self.world.report_s * random.uniform(0.75, 1.25) - 0.5)
                except asyncio.TimeoutError:
                    pass
            self.changed.clear()
            wait, sent, shift = 0.0, time.monotonic(), self.shift
            node = self.world.nodes[self.target]
            if connection is None or connection.port != node.port:
                if connection:
                    connection.close()
                connection = Connection(node.port)
            answer = None if self.mute else await connection.ask('POST', '/agent/beat', self.body(), 4.0)
            if self.deaf or self.mute:
                answer = None
            if answer and answer[0] == 200:
                if shift == self.shift and (answer[2].get('baton') or -1) >= self.baton:
                    self.answered = sent
                    self.learn(answer[2]['baton'])
                    for order in answer[2].get('orders') or []:
                        self.execute(order)
            elif answer and answer[0] == 421 and (answer[2] or {}).get('foreman') in self.world.names \
                    and self.world.names[answer[2]['foreman']] != self.target:
                self.target, wait = self.world.names[answer[2]['foreman']], 0.1
            else:
                self.target, wait = (self.target + 1) % len(self.world.nodes), 1.0

    def learn(self, baton):
        if baton > self.baton:
            self.baton = baton
            self.changed.set()

    async def handle(self, method, path, query, body):
        if self.no_orders or self.gone:
            return None
        if path == '/status':
            return 200, self.body()
        if path != '/orders' or 'baton' not in body or 'shift' not in body:
            return 400, {'error': 'malformed'}
        if body['baton'] < self.baton or body['shift'] != self.shift:
            return 409, self.body()
        self.learn(body['baton'])
        for order in body.get('orders') or []:
            self.execute(order)
        return 200, self.body()

    def execute(self, order):
        key = (order['piece'], order['try'])
        task = self.tasks.get(key)
        if order['verb'] == 'start' and task is None:
            self.changed.set()
            if any(p == order['piece'] and t['phase'] != 'ended' for (p, _), t in self.tasks.items()):
                self.tasks[key] = {'phase': 'ended', 'cause': 'in_use'}
                return
            self.world.entered(self, *key)
            task = self.tasks[key] = {'phase': 'running', 'cause': None}
            task['run'] = asyncio.create_task(self.run(key, task))
        elif order['verb'] == 'kill' and task and task['phase'] != 'ended':
            task['run'].cancel()
            self.end(key, task, 'stopped')
        elif order['verb'] == 'forget' and task and task['phase'] == 'ended':
            del self.tasks[key]
            self.changed.set()

    async def run(self, key, task):
        await asyncio.sleep(self.world.run_s(key[0]))
        self.end(key, task, 'error' if key[0].split('/')[0] in self.world.faulty else 'done')

    def end(self, key, task, cause):
        task['phase'], task['cause'] = 'ended', cause
        self.world.left(self, key[0], key[1], cause)
        self.changed.set()


# ---- Controllers ----------------------------------------------------------------------------

class Node:
    """One controller: a process of the service's own program."""

    def __init__(self, world, index, zone):
        self.world, self.name, self.zone = world, 'hinge-%d' % index, zone
        self.port, self.peer_port = free_ports(2)
        self.process = None

    def settings(self):
        w = self.world
        text = ['node = "%s"' % self.name, 'area = "%s"' % self.zone,
                'bind = "127.0.0.1:%d"' % self.port, 'peer_bind = "127.0.0.1:%d"' % self.peer_port]
        for other in w.nodes:
            if other is not self:
                text += ['[[others]]', 'node = "%s"' % other.name, 'area = "%s"' % other.zone,
                         'address = "127.0.0.1:%d"' % w.peer_address(self, other)]
        text += ['[outside]', 'cloud = "127.0.0.1:%d"' % w.cloud.port,
                 'state = "127.0.0.1:%d"' % w.state_address(self), '[params]',
                 'initial_size = %d' % len(w.nodes), 'zones = %s' % json.dumps(w.zones), 'clock_off_ms = 1000.0']
        for team, cpus, most in w.teams:
            text += ['[[params.teams]]', 'name = "%s"' % team, 'cpus = %.1f' % cpus, 'cpus_max = %.1f' % most,
                     'gpus = 0.0', 'gpus_max = 0.0']
        text += ['[params.workers]', 'report_s = %.1f' % w.report_s, 'lease_s = %.1f' % w.lease_s,
                 'gang_wait_s = 45.0', 'gang_peer_s = 6.0', 'cancel_s = %.1f' % w.cancel_s,
                 '[params.state]', 'rps = %.1f' % w.rps, 'write_rps = %.1f' % w.write_rps, 'value_kb = %.1f' % w.value_kb,
                 'txn_ops = %d' % w.txn_ops, '[params.cloud]', 'rps = 10.0', 'list_lag_s = 6.0',
                 '[params.machine_limits]', 'cpu_share = 0.16', 'memory_mb = 200.0', 'max_sockets = 3500']
        return '\n'.join(text) + '\n'

    async def start(self):
        path = os.path.join(self.world.folder, self.name + '.toml')
        with open(path, 'w') as file:
            file.write(self.settings())
        log = open(os.path.join(self.world.folder, self.name + '.log'), 'a')
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, 'target/release/sorrelhinge'), '--config', path,
            stdout=log, stderr=log, cwd=ROOT, env=dict(os.environ, LOG_LEVEL=os.environ.get('LOG_LEVEL', 'info')))
        self.world.record.note('%s started' % self.name)

    def send(self, what):
        self.process.send_signal(what)
        self.world.record.note('%s gets %s' % (self.name, signal.Signals(what).name))

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class World:
    """A small deployment: three controllers and what is around them."""

    zones = ['hanoi-rack', 'danang-rack', 'saigon-cloud']
    teams = [('art-team', 64.0, 184.0), ('play-team', 88.0, 160.0)]
    report_s, lease_s, cancel_s = 3.0, 36.0, 56.0
    rps, write_rps, value_kb, txn_ops = 120.0, 25.0, 4.0, 8
    builds = [{'label': 'tre-small', 'cpus': 4.0, 'cards': 0.0, 'ram_gb': 32.0, 'cache_gb': 50.0,
               'pull_gb_per_s': 1.0, 'rate': 0.27, 'market_price': 0.07, 'startup_s': 15.0, 'racks': zones},
              {'label': 'tre-large', 'cpus': 16.0, 'cards': 0.0, 'ram_gb': 128.0, 'cache_gb': 35.0,
               'pull_gb_per_s': 0.8, 'rate': 1.01, 'market_price': 0.26, 'startup_s': 20.0, 'racks': zones}]

    def __init__(self, case_folder, capacity=0, controllers=3):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix='sorrelhinge-review-')
        self.workers, self.on, self.runs, self.log_runs = {}, {}, {}, True
        self.faulty = set()     # jobs that were submitted with a mistake: they fail on every machine
        self.twice = []
        self.state = State(self.rps, self.write_rps, self.value_kb, self.txn_ops)
        self.cloud = Cloud(self.builds, self.start_machine, self.stop_machine, capacity)
        self.nodes = [Node(self, i, self.zones[i % 3]) for i in range(controllers)]
        self.names = {n.name: i for i, n in enumerate(self.nodes)}

    def peer_address(self, node, other):
        return other.peer_port

    def state_address(self, node):
        return self.state.port

    def run_s(self, piece):
        return self.runs.get(piece.split('/')[0], 3.0)

    async def start(self, machines=()):
        await self.state.start()
        await self.cloud.start()
        for build, rack in machines:
            await self.cloud.rent(build, rack, False, boot=False)
        for node in self.nodes:
            await node.start()
        await self.until_healthy(self.nodes)

    async def until_healthy(self, nodes, seconds=20.0):
        until = time.monotonic() + seconds
        for node in nodes:
            while True:
                answer = await ask_once(node.port, 'GET', '/healthz', timeout=1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun('%s is not healthy' % node.name)
                await asyncio.sleep(0.1)

    async def start_machine(self, name, build, rack, loaners):
        worker = self.workers[name] = Worker(self, name, build, rack, loaners)
        self.record.note('%s is up (%s, %s)' % (name, build, rack))
        return await worker.start()

    async def stop_machine(self, name):
        worker = self.workers.pop(name, None)
        if worker:
            await worker.stop()
            self.record.note('%s is deleted' % name)

    def entered(self, worker, piece, number):
        others = [w for w in self.on.get(piece, []) if w is not worker]
        self.record.note('%s runs %s try %d' % (worker.name, piece, number))
        if others:
            self.twice.append(piece)
            self.record.note('RAN TWICE: %s is also on %s' % (piece, others[0].name))
        self.on.setdefault(piece, []).append(worker)

    def left(self, worker, piece, number, why):
        if worker in self.on.get(piece, []):
            self.on[piece].remove(worker)
        self.record.note('%s left %s try %d: %s' % (piece, worker.name, number, why))

    async def end(self):
        for node in self.nodes:
            await node.kill()
        # Routines that are cut short at the end of the script are no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        keep = os.environ.get('KEEP')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


def job(uid, crew='art-team', pieces=1, cpus=2.0, **more):
    """A job as its user submits it."""
    spec = {'uid': uid, 'jobclass': 'level-bake', 'crew': crew, 'shape': 'sweep', 'rank': 'normal',
            'pieces': pieces, 'cpus': cpus, 'cards': 0.0, 'ram_gb': 4.0, 'bundle': 'img-1', 'pull_gb': 0.6,
            'builds': None, 'rack': None, 'together': False, 'spread': False, 'loaners': True,
            'guess_s': 25.0, 'mark_s': 0.0, 'stash_s': 0.0, 'due_s': None}
    spec.update(more)
    return spec


class Balancer:
    """The load balancer: probes, and picks a healthy node with few open connections of users."""

    def __init__(self, world):
        self.world = world
        self.state = {n: {'healthy': True, 'last': [], 'since': 0.0, 'removals': 0, 'open': set()} for n in world.nodes}

    def start(self):
        self.probes = [asyncio.create_task(self.probe(n)) for n in self.world.nodes]

    async def probe(self, node):
        s = self.state[node]
        while True:
            begun = time.monotonic()
            answer = await ask_once(node.port, 'GET', '/healthz', timeout=1.0)
            ok = bool(answer) and answer[0] == 200
            s['last'] = (s['last'] + [ok])[-6:]
            if s['healthy'] and (s['last'][-2:] == [False, False] or s['last'].count(False) >= 3):
                s.update(healthy=False, since=time.monotonic(), removals=s['removals'] + 1)
                self.world.record.note('balancer: %s is unhealthy' % node.name)
            elif not s['healthy']:
                pause = min(60.0, 3.0 * 2 ** (s['removals'] - 1))
                if time.monotonic() - s['since'] >= 5.0:
                    for connection in list(s['open']):
                        connection.close()
                if s['last'][-2:] == [True, True] and time.monotonic() - s['since'] >= pause:
                    s.update(healthy=True, last=[True])
                    self.world.record.note('balancer: %s is healthy' % node.name)
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - begun)))

    def pick(self):
        nodes = [n for n in self.world.nodes if self.state[n]['healthy']] or self.world.nodes
        return min(nodes, key=lambda n: (len(self.state[n]['open']), random.random()))

    async def ask(self, method, path, body=None, timeout=5.0):
        """One request over a new connection. Returns the node and the answer."""
        node = self.pick()
        connection = Connection(node.port)
        self.state[node]['open'].add(connection)
        try:
            return node, await connection.ask(method, path, body, timeout)
        finally:
            self.state[node]['open'].discard(connection)
            connection.close()


async def submit(world, balancer, spec, patience=60.0):
    """A user's submission with its retries. Returns the last status, or None."""
    until, status = time.monotonic() + patience, None
    while time.monotonic() < until:
        node, answer = await balancer.ask('POST', '/v1/jobs', spec)
        status = answer[0] if answer else None
        world.record.note('submit %s at %s: %s' % (spec['uid'], node.name, status or 'no answer in 5 s'))
        if status in (200, 201, 400, 422):
            return status
        wait = float(answer[1].get('retry-after', 1)) if answer else 1.0
        await asyncio.sleep(min(30.0, max(1.0, wait)))
    return status


def main(run):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def limited():
        try:
            code = await asyncio.wait_for(run(), 116.0)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            print('could not run: %r' % error)
            code = 2
        except Exception:
            traceback.print_exc()
            code = 2
        # The case has ended its processes. The stand-ins' own routines need not be waited for.
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)
    asyncio.run(limited())
