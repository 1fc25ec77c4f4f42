"""Stand-ins for the scripts of the cases: store, backend server and clients, and the start of daemons.

Everything runs on loopback addresses. A daemon gets its settings from `deploy/node.json`, filled in
as the platform does it, and every instance has a loopback address of its own.
"""

import asyncio
import base64
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "sycamorelinkd")
TEMPLATE = os.path.join(ROOT, "deploy", "node.json")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT = 112
STARTED = time.monotonic()
PORTS = {"inbound": 8145, "outbound": 8141, "ready": 8140, "admin": 8146}
GOSSIP_PORT, METRICS_PORT, APP_PORT, STORE_PORT = 7660, 7675, 8147, 8142

# A backend server as the small sites have it.
MAX_CONNECTIONS, QUEUE, IDLE_CLOSE_S, HEALTH_CHECK_S = 330, 48, 10, 0.025
HEARTBEAT_S, WARM_UP_S = 1.5, 3.0
KEEP_ALIVE = f"Keep-Alive: timeout={IDLE_CLOSE_S}\r\n"

HELD, BROKEN, NOT_RUN = 0, 1, 2


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """What was sent, answered and run, written to `record.txt` in the folder of the case."""

    def __init__(self, directory):
        self.file = open(os.path.join(directory, "record.txt"), "w", encoding="utf-8")
        self.line("with the disruption" if TROUBLE else "TROUBLE=0: without the disruption")

    def line(self, text):
        self.file.write(f"{now():8.3f} s  {text}\n")
        self.file.flush()


def fill_template(text, fields):
    """Fills in the placeholders and sections that the template of the settings uses."""

    def look_up(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        present = bool(look_up(match[2]))
        return match[3] if present == (match[1] == "#") else ""

    def placeholder(match):
        value = look_up(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Head:
    """Start line and headers of a message."""

    def __init__(self, raw):
        lines = raw.decode("latin1").split("\r\n")
        self.line = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.headers[name.lower()] = value.strip()

    @property
    def method(self):
        return self.line.split(" ")[0]

    @property
    def target(self):
        return self.line.split(" ")[1]

    @property
    def status(self):
        return int(self.line.split(" ")[1])

    @property
    def id(self):
        return self.headers.get("request-id", "")


async def read_head(reader):
    return Head(await reader.readuntil(b"\r\n\r\n"))


async def read_body(head, reader):
    """Reads a body that has a length or chunks."""
    if "content-length" in head.headers:
        return await reader.readexactly(int(head.headers["content-length"]))
    body = b""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return body


class Store:
    """The platform's metadata store: keyed topics of one partition each."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        # Machines that the store turns away, and when each machine last asked for the configuration.
        self.turned_away = set()
        self.config_read_at = {}

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, ip):
        self.address = f"{ip}:{STORE_PORT}"
        self.server = await asyncio.start_server(self.serve, ip, STORE_PORT)

    async def start_for(self, ip, machine):
        """Listens for the calls of one machine, which loopback addresses don't tell apart."""

        async def serve(reader, writer):
            await self.serve(reader, writer, machine)

        port = STORE_PORT + 1 + machine
        await asyncio.start_server(serve, ip, port)
        return f"{ip}:{port}"

    async def serve(self, reader, writer, machine=None):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(head, reader)
                path, _, query = head.target.partition("?")
                terms = dict(term.split("=", 1) for term in query.split("&") if "=" in term)
                if terms.get("topic") == "keyed.op":
                    self.config_read_at[machine] = now()
                status, kind, answer = 503, "application/json", b"{}"
                if machine not in self.turned_away:
                    status, kind, answer = await self.answer(path, terms, body)
                if machine in self.turned_away:
                    status, kind, answer = 503, "application/json", b"{}"
                lines = f"HTTP/1.1 {status} -\r\nStore-Era: 1\r\nContent-Type: {kind}\r\nContent-Length: {len(answer)}\r\n\r\n"
                writer.write(lines.encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, terms, body):
        kind = "application/json"
        topic = self.topics.setdefault(terms.get("topic", ""), [])
        if path == "/log-newest":
            newest = {key: (value, offset) for offset, (key, value) in enumerate(topic)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
                if value and key > terms.get("after", "")
            ]
            page = {"items": items[:500], "hasMore": len(items) > 500, "endOffset": len(topic)}
            return 200, kind, json.dumps(page).encode()
        if path == "/log-read":
            return await self.read(topic, int(terms["from"]), min(30_000, int(terms.get("waitMs", 0))) / 1000)
        if path == "/log-append":
            if terms["topic"] in ("keyed.op", "keyed.servers"):
                return 403, kind, b"{}"
            first = len(topic)
            if int(terms.get("at", first)) != first:
                return 412, kind, json.dumps({"endOffset": first}).encode()
            await asyncio.sleep(0.002)
            while body:
                (size,) = struct.unpack(">I", body[:4])
                record, body = body[4 : 4 + size], body[4 + size :]
                self.put(terms["topic"], record[1 : 1 + record[0]].decode(), record[1 + record[0] :])
            return 200, kind, json.dumps({"offset": first, "endOffset": len(topic)}).encode()
        # Calls that the daemons don't make: nothing was done.
        return 503, kind, b"{}"

    async def read(self, topic, start, wait):
        if start > len(topic):
            return 410, "application/json", b'{"firstOffset":0}'
        end = time.monotonic() + wait
        while start >= len(topic) and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
            except asyncio.TimeoutError:
                break
        answer = struct.pack(">QQ", len(topic), 0)
        for key, value in topic[start:]:
            record = bytes([len(key)]) + key.encode() + value
            answer += struct.pack(">I", len(record)) + record
        return 200, "application/octet-stream", answer


def route(prefix, kind, service, timeout, target):
    return {
        "name": f"r-{prefix.strip('/')}", "pathPrefix": prefix, "kind": kind, "timeout": timeout,
        "targetLatency": target, "priority": 1, "service": service, "maxAttempts": 2,
    }


def configuration(routes, version=5, tenants=()):
    services = sorted({entry["service"] for entry in routes})
    return {
        "version": f"r{version}",
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 330, "protocol": "h1", "tls": False}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms", "idleTimeout": "15000ms",
        },
        **({"tenants": list(tenants)} if tenants else {}),
        "virtualHosts": [{"host": "shop.example", "paths": routes}],
    }


class Backend:
    """The backend server beside a daemon. A case gives the coroutine that runs a request."""

    def __init__(self, service, ip, admin, run, record, slots=5):
        self.service, self.ip, self.admin, self.run, self.record = service, ip, admin, run, record
        self.slots = slots
        self.connections = set()
        self.runs = []
        self.free, self.waiting = asyncio.Semaphore(slots), 0
        self.beating = True
        self.new_incarnation()

    def new_incarnation(self):
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.started = now()

    async def start(self):
        await self.listen()
        self.beats = asyncio.ensure_future(self.send_heartbeats())

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, APP_PORT, limit=1 << 20)

    def crash(self):
        """Ends as a process does: nothing listens any more, and all connections are reset."""
        self.beating = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def restart(self):
        """Starts again, as a new incarnation at the same address."""
        self.new_incarnation()
        await self.listen()
        self.beating = True

    def next_heartbeat(self):
        """Returns path and body of the next heartbeat."""
        self.seq += 1
        body = {
            "service": self.service, "address": f"{self.ip}:{APP_PORT}", "zone": "zone-a", "version": "v1",
            "slots": self.slots, "state": "ready", "warmupLeft": f"{int(self.warm_up_left() * 1000)}ms", "seq": self.seq, "born": self.born,
        }
        return f"/instances/{self.id}/heartbeat", body

    async def call_daemon(self, path, body):
        """Sends a heartbeat. Returns the status, or None without an answer within a second."""
        ip, port = self.admin.split(":")
        data = json.dumps(body).encode()
        lines = f"POST {path} HTTP/1.1\r\nHost: {self.admin}\r\nContent-Type: application/json\r\n"
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            try:
                writer.write(f"{lines}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                head = await asyncio.wait_for(read_head(reader), 1)
                answer = await asyncio.wait_for(read_body(head, reader), 1)
                return head.status if len(answer) <= 4096 else None
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def send_heartbeats(self):
        while True:
            if self.beating:
                await self.call_daemon(*self.next_heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        if len(self.connections) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while True:
                head = await asyncio.wait_for(read_head(reader), IDLE_CLOSE_S)
                if not await self.handle(head, reader, writer):
                    break
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, head, reader, writer):
        """Runs or rejects one request. A health check waits for a slot, or is rejected, as any other.
        Returns whether the connection stays open."""
        is_check = head.method == "GET" and head.target == "/healthz"
        end = now() + int(head.headers.get("deadline-ms", 60_000)) / 1000
        body = await read_body(head, reader)
        if not is_check and not head.id:
            return await self.reject(head, writer, 400)
        if head.headers.get("expected-instance", self.id) != self.id:
            self.record.line(f"server {self.id} answers 421 to {head.id}, not run")
            writer.write(f"HTTP/1.1 421 -\r\nInstance-Id: {self.id}\r\n{KEEP_ALIVE}Content-Length: 0\r\n\r\n".encode())
            return True
        if self.waiting >= QUEUE:
            return await self.reject(head, writer)
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), max(0.001, end - now()))
        except asyncio.TimeoutError:
            return await self.reject(head, writer)
        finally:
            self.waiting -= 1
        try:
            if is_check:
                await asyncio.sleep(HEALTH_CHECK_S)
                lines = f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n{KEEP_ALIVE}"
                writer.write(f"{lines}Content-Length: 0\r\n\r\n".encode())
                return True
            stays_open = await self.run_until(end, head, body, reader, writer)
        finally:
            self.free.release()
        if stays_open is None:
            await reader.read()
        return bool(stays_open)

    async def run_until(self, end, head, body, reader, writer):
        """Runs a request until it ends, its deadline passes or its connection is closed."""
        self.began(head)
        task = asyncio.ensure_future(self.run(self, head, body, writer))
        while not task.done():
            is_closed = reader.at_eof() or reader.exception() or writer.transport.is_closing()
            if is_closed or now() > end:
                task.cancel()
                break
            await asyncio.wait([task], timeout=0.02)
        if not task.cancelled() and task.done():
            return task.result()
        if is_closed:
            self.record.line(f"server {self.id} drops {head.id}, whose connection was closed")
            return False
        self.record.line(f"server {self.id} ends {head.id} at its deadline")
        return await self.reply(head, writer, b"", 504)

    async def work(self, seconds):
        """Works for this time, and for up to twice as long just after a start."""
        await asyncio.sleep(seconds * (1 + self.warm_up_left() / WARM_UP_S))

    def warm_up_left(self):
        return max(0.0, self.started + WARM_UP_S - now())

    def began(self, head):
        """Notes that the server began to work on a request."""
        self.runs.append((now(), head.id))
        self.record.line(f"server {self.id} runs {head.id}")

    async def reply(self, head, writer, body, status=200):
        lines = f"HTTP/1.1 {status} -\r\nRequest-Id: {head.id}\r\nResponse-Signature: s.{head.id}\r\n{KEEP_ALIVE}"
        writer.write(f"{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True

    async def reject(self, head, writer, status=503):
        request_id = f"Request-Id: {head.id}\r\n" if head.id else ""
        lines = f"HTTP/1.1 {status} -\r\n{request_id}Not-Executed: 1\r\n{KEEP_ALIVE}"
        writer.write(f"{lines}Content-Length: 0\r\n\r\n".encode())
        await writer.drain()
        return True


class Instance:
    """A daemon, with the settings that the platform would fill in."""

    def __init__(self, number, service, base, store, directory, bounds):
        self.name, self.ip = f"sidecar-{number}", f"{base}.{number + 1}"
        self.addresses = {name: f"{self.ip}:{port}" for name, port in PORTS.items()}
        self.max_fds = None
        self.directory = directory
        self.fields = {
            "nodeName": self.name, "zone": "zone-a", "region": "region-a", "bootstrap": True,
            "service": service, "ip": self.ip, "portRange": [GOSSIP_PORT, METRICS_PORT],
            "listenAddrs": self.addresses, "bounds": bounds, "platform": {"address": store},
        }

    async def start(self):
        with open(TEMPLATE, encoding="utf-8") as template:
            settings = fill_template(template.read(), self.fields)
        path = os.path.join(self.directory, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(os.path.join(self.directory, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                DAEMON, "--settings", path, stdout=log, stderr=log, env=environment, cwd=ROOT,
                preexec_fn=self.limit_descriptors if self.max_fds else None,
            )

    def limit_descriptors(self):
        """Gives the process `maxFds` descriptors, as the platform does."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

    async def is_ready(self):
        ip, port = self.addresses["ready"].split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            try:
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                return (await asyncio.wait_for(read_head(reader), 1)).status == 200
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Fleet:
    """A store, some daemons and a backend server beside each."""

    def __init__(self, record, services, routes, run, bounds, slots=5, tenants=(), max_fds=None, own_stores=False):
        self.record, self.bounds = record, bounds
        self.tenants, self.max_fds, self.own_stores = tenants, max_fds, own_stores
        self.services, self.routes, self.run, self.slots = services, routes, run, slots
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.instances, self.backends = [], []

    async def start(self):
        base = free_base(len(self.services))
        self.store = Store()
        await self.store.start(f"{base}.200")
        self.configure(5, self.tenants)
        for number, service in enumerate(self.services):
            store = self.store.address
            if self.own_stores:
                store = await self.store.start_for(f"{base}.200", number)
            instance = Instance(number, service, base, store, self.directory, self.bounds)
            instance.max_fds = self.max_fds
            self.instances.append(instance)
            admin = instance.addresses["admin"]
            backend = Backend(service, instance.ip, admin, self.run, self.record, self.slots)
            self.backends.append(backend)
        for instance in self.instances:
            await instance.start()
        for backend in self.backends:
            await backend.start()
        end = time.monotonic() + 20
        while not all([await instance.is_ready() for instance in self.instances]):
            if time.monotonic() > end:
                raise RuntimeError("a daemon did not become ready")
            await asyncio.sleep(0.1)
        self.record.line(f"{len(self.instances)} daemons are ready")

    def configure(self, version, tenants=(), routes=None):
        """Writes a configuration as the operator does."""
        text = json.dumps(configuration(routes or self.routes, version, tenants))
        self.store.put("keyed.op", "config", text.encode())

    def outbound(self, number):
        return self.instances[number % len(self.instances)].addresses["outbound"]

    def runs_of(self, request_id):
        return sum(1 for backend in self.backends for _, run in backend.runs if run == request_id)

    async def stop(self):
        for instance in self.instances:
            process = getattr(instance, "process", None)
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def free_base(count):
    """Returns the first three parts of loopback addresses on which all ports are free."""
    for _ in range(100):
        base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        needed = [(f"{base}.200", STORE_PORT + number) for number in range(count + 1)]
        for number in range(count):
            ports = [*PORTS.values(), GOSSIP_PORT, METRICS_PORT, APP_PORT]
            needed += [(f"{base}.{number + 1}", port) for port in ports]
        if all(is_free(address) for address in needed):
            return base
    raise RuntimeError("no free loopback addresses")


def is_free(address):
    with socket.socket() as probe:
        try:
            probe.bind(address)
            return True
        except OSError:
            return False


def request_bytes(method, target, request_id, deadline_ms, body=b"", key=None):
    credential = f"Credential: {key}\r\n" if key else ""
    lines = f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {request_id}\r\n"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{lines}Deadline-Ms: {deadline_ms}\r\n{credential}{length}\r\n".encode() + body


class Answer:
    """What a client got: a status and a whole body, or what happened instead."""

    def __init__(self, status, text, took):
        self.status, self.text, self.took = status, text, took


async def ask(address, method, target, request_id, deadline_ms, body=b"", key=None, body_delay=0.0):
    """Sends one request on a connection of its own and waits for the final answer until its
    deadline. Answers with a status below 200 are not final and are noted in the text. With
    `body_delay` the body follows its head after this time in seconds."""
    ip, port = address.split(":")
    begin = now()
    writer, interim = None, ""

    async def exchange():
        nonlocal writer, interim
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
        data = request_bytes(method, target, request_id, deadline_ms, body, key)
        if body_delay:
            writer.write(data[: len(data) - len(body)])
            await asyncio.sleep(body_delay)
            data = body
        writer.write(data)
        while True:
            head = await read_head(reader)
            if head.status >= 200:
                return head.status, await read_body(head, reader)
            interim += f"{head.status} "

    try:
        status, answer = await asyncio.wait_for(exchange(), deadline_ms / 1000)
        return Answer(status, interim + answer[:60].decode("latin1"), now() - begin)
    except asyncio.TimeoutError:
        return Answer(None, f"{interim}no final answer", now() - begin)
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(None, f"{interim}connection ended: {type(error).__name__}", now() - begin)
    finally:
        if writer:
            writer.close()


def run_case(file, main):
    """Runs a case and ends the script with its result."""
    record = Record(os.path.dirname(os.path.abspath(file)))
    if not os.path.exists(DAEMON):
        record.line("could not run: the daemon is not built")
        sys.exit(NOT_RUN)
    fleets = []

    def make_fleet(*terms, **more):
        fleets.append(Fleet(record, *terms, **more))
        return fleets[-1]

    async def limited():
        task = asyncio.ensure_future(main(record, make_fleet))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, TIME_LIMIT)
        except (Exception, asyncio.CancelledError) as error:
            record.line(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            for fleet in fleets:
                await fleet.stop()

    result = asyncio.run(limited())
    record.line({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    sys.stderr.flush()
    os._exit(result)
