"""Stand-ins for the platform's store, the workers and the clients, and a starter for nodes.

Everything listens on loopback. The store and the workers follow PROTOCOL.md; a case changes what they do through the
hooks of `Store` and `Worker`.
"""
import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "chicorydockd")
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


def free_ports(count):
    """Free ports of 127.0.0.1 below the range of outgoing connections."""
    ports, port = [], 12000 + os.getpid() % 180 * 100
    while len(ports) < count:
        port += 1
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            ports.append(port)
        except OSError:
            continue
    return ports


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{now():8.3f} s  {text}\n")


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


async def read_head(reader):
    line = await reader.readline()
    while line in (b"\r\n", b"\n"):
        line = await reader.readline()
    if not line:
        return None, None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            return line.decode("latin1").strip(), headers
        name, _, value = field.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers, until_close=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def response(status, headers=None, body=b"", close=False):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


class Server:
    """An HTTP/1.1 server; `handle(request, writer)` answers, and returns False to close the connection."""

    async def listen(self, port):
        self.writers = set()
        self.port, self.address = port, f"127.0.0.1:{port}"
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 24)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                if not line:
                    break
                method, target, _ = line.split(" ", 2)
                request = Request(method, target, headers, await read_body(reader, headers))
                if await self.handle(request, reader, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's metadata store: rows, their feed, and raw objects."""

    def __init__(self):
        self.rows, self.changes, self.objects, self.version = {}, [], {}, 0
        self.changed = asyncio.Condition()
        #: Called with each call before it is carried out. It may wait, or return (status, body) to refuse the call.
        self.before = None
        #: Called with each call and its answer before that is sent. It may wait, or return False to drop the answer.
        self.after = None

    def clock_ms(self):
        return int(now() * 1000) + 1_000_000

    async def apply(self, puts, removals=()):
        async with self.changed:
            self.version += 1
            for address, value in puts:
                self.rows[address] = (value, self.version)
                self.changes.append((self.version, address, value))
            for address in removals:
                self.rows.pop(address, None)
                self.changes.append((self.version, address, None))
            self.changed.notify_all()
        return self.version

    async def put(self, table, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return await self.apply([((table, "", key), value)])

    async def remove(self, table, key):
        return await self.apply([], [(table, "", key)])

    def text(self, address, value, version):
        table, part, key = address
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    def page(self, rows, more=False):
        return 200, {"ver": self.version, "now_ms": self.clock_ms(), "rows": rows, "more_pages": more}

    async def handle(self, request, reader, writer):
        refusal = await self.before(request) if self.before else None
        if refusal is None:
            await asyncio.sleep(0.004)
            status, body = await self.answer(request)
        else:
            status, body = refusal
        if self.after and await self.after(request, status, body) is False:
            return False
        payload = body if isinstance(body, bytes) else json.dumps(body).encode()
        writer.write(response(status, {"Content-Type": "application/json"}, payload))
        return True

    async def answer(self, request):
        path, query = request.path, request.query
        if path == "/api/rows-tx":
            return await self.transact(json.loads(request.body))
        if path == "/api/rows-get":
            return self.get(query)
        if path == "/api/rows-feed":
            return await self.feed(query)
        if path == "/api/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == query["table"]})
            return 200, {"ver": self.version, "now_ms": self.clock_ms(), "parts": parts, "more_pages": False}
        name = path.rsplit("/", 1)[1]
        if path.startswith("/api/blob-put/"):
            if request.headers.get("if-none-match") == "*" and name in self.objects:
                return 412, {}
            self.objects[name] = request.body
            return 200, {}
        if path.startswith("/api/blob-get/"):
            return (200, self.objects[name]) if name in self.objects else (404, {})
        if path.startswith("/api/blob-drop/"):
            return (200, {}) if self.objects.pop(name, None) is not None else (404, {})
        return 404, {}

    async def transact(self, call):
        def address(row):
            return row["table"], row.get("part", ""), row["key"]

        conditions = call.get("expected_rev") or []
        wrong = [it for it in conditions if self.rows.get(address(it), (None, 0))[1] != it["ver"]]
        if wrong:
            rows = [self.text(address(it), *self.rows[address(it)]) for it in conditions if address(it) in self.rows]
            status, body = self.page(rows)
            return 412, body
        await self.apply([(address(it), it["value"]) for it in call.get("puts") or []],
                         [address(it) for it in call.get("delete") or []])
        return self.page([])

    def get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        start, end = query.get("from", ""), query.get("target", "")
        found = sorted(((address[2], address) for address in self.rows
                        if address[:2] == (query["table"], query.get("part", "")) and address[2] >= start
                        and (not end or address[2] < end)), key=lambda it: it[0].encode())
        rows, size = [], 0
        for _, address in found:
            size += len(self.rows[address][0])
            if len(rows) == limit or (rows and size > 1_000_000):
                break
            rows.append(self.text(address, *self.rows[address]))
        return self.page(rows, len(rows) < len(found))

    async def feed(self, query):
        after, deadline = int(query.get("after", 0)), time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            newest = {}
            for version, address, value in self.changes:
                if version > after and address[0] == query["table"]:
                    newest.pop(address, None)
                    newest[address] = (version, value)
            left = deadline - time.monotonic()
            if newest or left <= 0:
                rows = [dict(self.text(address, value or "", version), **({"deleted": True} if value is None else {}))
                        for address, (version, value) in newest.items()]
                return self.page(rows)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Worker(Server):
    """A worker: runs streams, items and plain requests in `slots` slots, and drops a request whose caller closes."""

    def __init__(self, store, record, ident, service, slots=8, zone="zone-a", events=20, gap_s=0.05):
        self.store, self.record, self.id, self.service = store, record, ident, service
        self.slots, self.zone, self.events, self.gap_s = slots, zone, events, gap_s
        self.free, self.waiting, self.running, self.runs, self.born = asyncio.Semaphore(slots), 0, 0, [], 1
        self.state, self.software = "ready", "v1"
        #: May replace the behaviour of one request: `override(request, reader, writer)`, None to go on as usual.
        self.override = None

    def entry(self, sequence=1):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.software,
                "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": sequence,
                "born": self.born}

    async def register(self):
        await self.store.put("servers", self.id, self.entry())

    def headers(self, request):
        return {"Request-Id": request.headers.get("request-id", ""), "Instance-Id": self.id,
                "Server-Load": f"{self.running},{self.waiting},{self.slots}"}

    async def handle(self, request, reader, writer):
        if request.path == "/health":
            writer.write(response(200, self.headers(request)))
            return True
        if request.path == "/api/report":
            writer.write(response(200, {"Content-Type": "application/json"}, json.dumps(
                {"stage": "both", "models": [], "busy": False, "sequence": 0, "waiting": self.waiting,
                 "running": self.running, "kv_used": 0, "kv_total": 100000, "handles": 0}).encode()))
            return True
        ident = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.id) != self.id:
            writer.write(response(421, self.headers(request)))
            return True
        if self.override:
            done = await self.override(request, reader, writer)
            if done is not None:
                return done
        if self.waiting >= 24:
            writer.write(response(503, {**self.headers(request), "Not-Executed": "1"}))
            return True
        self.waiting += 1
        closed = asyncio.ensure_future(self.wait_closed(reader))
        slot = asyncio.ensure_future(self.free.acquire())
        await asyncio.wait([slot, closed], return_when=asyncio.FIRST_COMPLETED)
        self.waiting -= 1
        if not slot.done():
            slot.cancel()
            return False
        self.running += 1
        run = {"id": ident, "worker": self.id, "at": now(), "after": request.headers.get("last-event-id"), "end": ""}
        self.runs.append(run)
        self.record(f"worker {self.id}: begins to run {ident} ({request.method} {request.target})"
                    + (f" after event {run['after']}" if run["after"] else ""))
        try:
            work = asyncio.ensure_future(self.run(request, writer, run))
            await asyncio.wait([work, closed], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                run["end"] = "dropped"
                self.record(f"worker {self.id}: the caller of {ident} closed")
                return False
            run["end"] = run["end"] or "complete"
            return await work
        finally:
            closed.cancel()
            run["until"] = now()
            self.running -= 1
            self.free.release()

    async def wait_closed(self, reader):
        # The caller sends nothing while it waits for its answer.
        while not reader.at_eof() and not reader._buffer:
            try:
                await asyncio.sleep(0.01)
                if reader.exception():
                    return
            except ConnectionError:
                return

    def event(self, request, number):
        return f"{request.headers.get('request-id', '')}/{number}"

    async def run(self, request, writer, run):
        head = {**self.headers(request), "Server-Signature": f"{self.id}.{run['id']}"}
        if request.path.startswith("/plain"):
            await asyncio.sleep(self.gap_s)
            writer.write(response(200, head, self.event(request, 0).encode()))
            return True
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in head.items())
                      + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(run["after"] or 0) + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            data = f"id: {number}\ndata: {self.event(request, number)}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        writer.write(b"0\r\n\r\n")
        return True


class Node:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, store, folder, number, zone="zone-a", zones=("zone-a",), memory_mb=310):
        self.memory_mb = memory_mb
        self.store, self.folder, self.name, self.zone, self.zones = store, folder, f"node-{number}", zone, zones
        self.ports, self.process = free_ports_for_node(), None

    def address(self, n):
        return f"127.0.0.1:{self.ports[n]}"

    def settings(self):
        regions = "\n".join(f'{zone} = "region-1"' for zone in self.zones)
        return f"""[node]
id = "{self.name}"
region = "region-1"
failure_domain = "{self.zone}"
[http]
address = "{self.address(0)}"
drain_timeout_ms = 7600
[rpc]
address = "{self.address(3)}"
[platform]
address = "{self.store.address}"
[log]
level = "info"
[gateway]
status_address = "{self.address(1)}"
peer_address = "{self.address(2)}"
cpu_share = 0.5
learn_endpoint_load = true
place_by_prompt = true
[gateway.regions]
{regions}
"""

    async def start(self):
        path = os.path.join(self.folder, self.name + ".toml")
        with open(path, "w") as file:
            file.write(self.settings())
        log = open(os.path.join(self.folder, self.name + ".log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, f"--settings={path}", f"--memory_mb={self.memory_mb}", "--max_descriptors=8200", cwd=ROOT, stdout=log,
            stderr=log)

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                if (await call(self.address(1), "GET", "/api/ready", timeout_s=1))[0] == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


_ports = []


def free_ports_for_node():
    if not _ports:
        _ports.extend(free_ports(64))
    return [_ports.pop() for _ in range(4)]


async def call(address, method, target, headers=None, body=b"", timeout_s=5.0):
    """Makes one call on a new connection. Returns (status, headers, body); status 0 if there was no answer."""
    host, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
        fields = {"Host": "h.example", **(headers or {})}
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        writer.write((f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
                      + "\r\n").encode("latin1") + body)
        line, answer = await read_head(reader)
        if not line:
            return 0, {}, b""
        return int(line.split(" ")[1]), answer, await read_body(reader, answer, True)

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, ValueError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


def configuration(version=1, routes=(), services=("llm", "app")):
    """A configuration with the routes /s/ (resumable streams), /u/ (not idempotent), /i/ (idempotent) and /b/ (jobs)."""
    common = {"host": "h.example", "max_attempts": 3, "priority": 0, "sticky": True}
    default = [
        {**common, "name": "stream", "prefix": "/s/", "service": "llm", "route_type": "streaming", "can_resume": True,
         "timeout_ms": 5000, "target_latency_ms": 300, "gap_aim_ms": 250},
        {**common, "name": "unsafe", "prefix": "/plain-u/", "service": "app", "route_type": "non_idempotent",
         "timeout_ms": 5000, "target_latency_ms": 300},
        {**common, "name": "idem", "prefix": "/plain-i/", "service": "app", "route_type": "idempotent",
         "timeout_ms": 1200, "target_latency_ms": 200},
        {**common, "name": "batch", "prefix": "/b/", "service": "llm", "route_type": "batch", "timeout_ms": 15000,
         "target_latency_ms": 500, "gap_aim_ms": 250, "completion_target_ms": 18000, "max_wait_s": 60, "cap": 2600000,
         "priority": 2},
    ]
    return {"version": version, "routes": [*default, *routes],
            "services": [{"name": it, "health_check_path": "/health", "max_connections": 180,
                          **({"engine": {"x": 1}} if it == "llm" else {})} for it in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 10000}}


def job(ident, items, path="/b/x", size=1):
    """The body of a submission with items `ident`-0, `ident`-1, ..."""
    return json.dumps({"items": [
        {"id": f"{ident}{n:04x}", "path": path, "headers": {"Model": "m", "Token-Count": "100,100",
                                                           "Prompt-Prefix": f"aa:50,{n:x}:50"},
         "body": base64.b64encode(b"x" * size).decode(), "token_count": 200} for n in range(items)]}).encode()


async def read_job(address, ident):
    """Reads all results of a job. Returns (total, results), or (None, status)."""
    results = []
    while True:
        status, _, body = await call(address, "GET", f"/api/lots/{ident}?after={len(results)}")
        if status != 200:
            return None, status
        page = json.loads(body)
        results += page["results"]
        if not page["results"]:
            return page["total"], results


def run_case(main):
    """Runs `main(folder, record, trouble)`, which returns the exit status, and always ends within its time."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(asyncio.wait_for(main(temporary, record, trouble), 115))
        except Exception as error:  # the case could not run
            record(f"could not run: {error!r}")
            status = 2
    record(f"exit status {status}")
    sys.exit(status)
