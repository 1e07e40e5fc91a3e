"""Stand-ins for the review's scripts: the platform's store, its promote call, databases, and clients.

They speak what the users' pages say, in one asyncio process, on loopback addresses and the real clock. They use the
standard library only. Everything that is sent, answered and run is written to a record.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.parse

STARTED = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """Writes one line for each event to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def write(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():9.4f} {event} {text}\n")


class HttpServer:
    """HTTP/1.1 with keep-alive. A handler gets method, path, query, headers and body, and returns status and bytes."""

    def __init__(self, handler, headers=None):
        self.handler = handler
        self.headers = headers or {}
        self.connections = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in head[1:] if ":" in line}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await self.handler(method, url.path, query, headers, body)
                extra = "".join(f"{key}: {value}\r\n" for key, value in self.headers.items())
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{extra}Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Store:
    """The platform's store: objects by kind and name, conditional writes, listings and watches.

    A spec is kept as the text that its writer sent and handed on unchanged."""

    def __init__(self):
        self.revision = 10
        self.objects = {}  # (kind, name) -> {"revision", "created", "spec": text, "finalizers"}
        self.history = []  # (revision, kind, object text, deleted)
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle, {"Store-Era": "1"})

    async def start(self, ip, port=0):
        return await self.server.start(ip, port)

    def text(self, kind, name):
        it = self.objects[kind, name]
        meta = {"Name": name, "Revision": it["revision"], "Created": it["created"], "Finalizers": it["finalizers"], "Deleting": False}
        return '{"meta":%s,"spec":%s,"status":null}' % (json.dumps(meta), it["spec"])

    async def write(self, kind, name, spec_text, finalizers=()):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec_text and known["finalizers"] == list(finalizers):
            return
        self.revision += 1
        created = known["created"] if known else self.revision
        self.objects[kind, name] = {"revision": self.revision, "created": created, "spec": spec_text, "finalizers": list(finalizers)}
        self.history.append((self.revision, kind, self.text(kind, name), False))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, kind, name):
        if (kind, name) not in self.objects:
            return False
        text = self.text(kind, name)
        del self.objects[kind, name]
        self.revision += 1
        self.history.append((self.revision, kind, text, True))
        async with self.changed:
            self.changed.notify_all()
        return True

    async def watch(self, kind, since, wait):
        until = time.monotonic() + wait
        while True:
            events = [item for item in self.history if item[0] > since and item[1] == kind]
            remaining = until - time.monotonic()
            if events or remaining <= 0:
                shown = ",".join('{"Deleted":%s,"Object":%s}' % ("true" if deleted else "false", text) for _, _, text, deleted in events)
                return 200, ('{"events":[%s],"AsOf":%d}' % (shown, self.revision)).encode("utf-8", "surrogatepass")
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining)
                except asyncio.TimeoutError:
                    pass

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) not in (2, 3):
            return 404, b"{}"
        kind = parts[1]
        if method == "GET" and len(parts) == 2:
            if "Watch" in query:
                return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)) / 1000)
            items = ",".join(self.text(kind, name) for k, name in sorted(self.objects) if k == kind and name > query.get("after", ""))
            return 200, ('{"items":[%s],"More":false,"AsOf":%d}' % (items, self.revision)).encode()
        if method == "GET":
            return (200, self.text(*parts[1:]).encode()) if tuple(parts[1:]) in self.objects else (404, b"{}")
        if method == "DELETE":
            return (200, b"{}") if await self.remove(*parts[1:]) else (404, b"{}")
        sent = json.loads(body)
        name = sent["meta"]["Name"] if method == "POST" else parts[2]
        known = self.objects.get((kind, name))
        wanted = sent["meta"].get("Revision")
        if method == "PUT" and known is None:
            return 404, b"{}"
        if (method == "POST" and known) or (known and wanted is not None and wanted != known["revision"]):
            return 409, self.text(kind, name).encode()
        await self.write(kind, name, json.dumps(sent["spec"]), sent["meta"].get("Finalizers") or ())
        return 200, self.text(kind, name).encode()


class Connection:
    """State of one session on a database."""

    def __init__(self):
        self.kind = None  # of the transaction: None, "read" or "plain"
        self.failed = False
        self.writes = []
        self.values = {}
        self.prepared = {}
        self.tag = "-"


class Database:
    """One database: its sessions, slots and log."""

    def __init__(self, service, name, ip, zone, record):
        self.service, self.id, self.ip, self.zone, self.record = service, name, ip, zone, record
        self.log = []  # (term, number, client's id, item, data)
        self.applied = 0
        self.term = 1
        self.busy = 0
        self.state = "ready"
        self.sequence = 0
        self.connections = {}
        self.work = service.work
        self.hold = None  # an event while commits do not arrive here
        self.has_crashed = False
        self.cut_hosts = set()  # hosts that are cut off from this database, by the name that they connect with

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=2 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.born = int(time.time() * 1000)

    def is_primary(self):
        return self.service.primary is self

    async def crash(self):
        """Ends at once: connections break, and its entry lapses after three heartbeats."""
        self.record.write("crashed", db=self.id)
        self.has_crashed = True
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def position(self, applied=True):
        entries = self.log[: self.applied] if applied else self.log
        return "%d.%d" % (max(self.term if self.is_primary() else 1, entries[-1][0] if entries else 1), len(entries))

    def entry(self):
        return json.dumps({"Service": self.service.name, "Address": self.address, "Zone": self.zone, "Version": "v1", "Slots": self.service.slots,
                           "State": self.state, "ColdLeftMs": 0, "DbRole": "primary" if self.is_primary() else "replica",
                           "Sequence": self.sequence, "born": self.born})

    async def beat(self, store):
        """Writes its entry every 1.2 s, and at once when something changes."""
        shown = None
        while not self.has_crashed:
            present = (self.state, self.is_primary())
            if shown != present or time.monotonic() >= due:
                shown, due = present, time.monotonic() + 1.2
                self.sequence += 1
                await store.write("servers", self.id, self.entry())
            await asyncio.sleep(0.02)
        await asyncio.sleep(3 * 1.2)
        await store.remove("servers", self.id)

    async def receive(self, commit, index):
        await asyncio.sleep(self.service.network_delay(self, commit))
        while self.hold is not None:
            await self.hold.wait()
        if self.is_primary() or commit not in self.service.history:
            return
        while len(self.log) < index:
            await asyncio.sleep(0.002)
            if self.is_primary() or commit not in self.service.history:
                return
        if len(self.log) == index:
            self.log.append(commit)
            self.service.received(commit)
            await asyncio.sleep(self.service.lag)
            self.applied = max(self.applied, min(index + 1, len(self.log)))

    async def serve(self, reader, writer):
        connection = Connection()
        self.connections[writer] = connection
        try:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2].split(" ")
            if line[0] != "START" or line[1] != self.service.name or (len(line) > 3 and line[3] != self.id):
                writer.write(b"ERR MISROUTED another database\r\n")
                return
            if len(self.connections) > self.service.max_connections:
                writer.write(b"ERR TOOMANY connections\r\n")
                return
            connection.tag = line[2]
            await self.stay_cut(connection)
            await asyncio.sleep(0.005)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                word, query, text = (await reader.readuntil(b"\r\n")).decode()[:-2].split(" ", 2)
                await self.stay_cut(connection)
                body = await self.run(connection, query, text)
                await self.stay_cut(connection)
                if body is None:
                    return
                state = "I" if connection.kind is None else "E" if connection.failed else "T"
                if query != "-":
                    self.record.write("db-answers", db=self.id, id=query, answer=body.strip().replace("\r\n", "|"))
                writer.write(f"{body}READY {state} {self.position()}\r\n".encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    async def stay_cut(self, connection):
        """Nothing passes between a host and a database that are partitioned; after 3 s the connection is dropped."""
        if connection.tag in self.cut_hosts:
            await asyncio.sleep(3.0)
            raise ConnectionError

    def error(self, connection, code, text="-"):
        if connection.kind is not None and code not in ("BUSY", "LAGGING"):
            connection.failed = True
        return f"ERR {code} {text}\r\n"

    async def run(self, connection, query, text):
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = map(int, words[1].split("."))
            have = tuple(map(int, self.position().split(".")))
            if have < (term, number):
                return self.error(connection, "LAGGING")
            words = words[2:]
        word = words[0]
        if word == "STATUS" or word == "DEMOTE":
            if self.busy >= self.service.slots:
                return "ERR BUSY slots\r\n"
            if word == "DEMOTE" and self.is_primary() and int(words[1]) > self.term:
                self.service.primary = None
                self.record.write("db-demoted", db=self.id)
            role = "primary" if self.is_primary() else "replica"
            return f"ROW {role} {self.term} {self.position(False)} 0 {self.busy} {len(self.connections)}\r\nDONE -\r\n"
        if word == "ROLLBACK":
            connection.kind, connection.failed, connection.writes = None, False, []
            return "DONE -\r\n"
        if connection.failed:
            if word == "COMMIT":
                connection.kind, connection.failed, connection.writes = None, False, []
            return "ERR MALFORMED the transaction failed\r\n"
        if word == "RESET":
            connection.values, connection.prepared = {}, {}
            return "DONE -\r\n"
        if word == "SET":
            connection.values[words[1]] = " ".join(words[2:])
            return "DONE -\r\n"
        if word == "PREPARE":
            connection.prepared[words[1]] = (words[2], words[3])
            return "DONE -\r\n"
        if word == "DEALLOC":
            connection.prepared.pop(words[1], None)
            return "DONE -\r\n"
        if word == "BEGIN":
            if len(words) == 1 and not self.is_primary():
                return self.error(connection, "READONLY", self.id)
            connection.kind = "read" if len(words) > 1 else "plain"
            return "DONE -\r\n"
        return await self.run_statement(connection, query, words)

    async def run_statement(self, connection, query, words):
        if self.busy >= self.service.slots + self.service.queue:
            return "ERR BUSY slots\r\n"
        self.record.write("db-gets", db=self.id, id=query, text="_".join(words[:2]))
        self.service.reached[query] = (now(), self.id)
        if words[0] == "EXEC":
            if words[1] not in connection.prepared:
                return self.error(connection, "NOSTMT")
            words = [connection.prepared[words[1]][0]] + words[2:]
        self.busy += 1
        try:
            await asyncio.sleep(self.work)
            lost_lead = connection.kind == "plain" and not self.is_primary()
            if words[0] == "COMMIT":
                writes, connection.writes, kind = connection.writes, [], connection.kind
                connection.kind = None
                if writes and lost_lead:
                    return f"ERR READONLY {self.id}\r\n"
                if writes and not await self.commit(query, writes):
                    return None
                return f"DONE {self.id}.{query}\r\n"
            if lost_lead:
                return self.error(connection, "READONLY", self.id)
            if words[0] == "READ":
                return f"ROW {self.value(words[1])}\r\nDONE {self.id}.{query}\r\n"
            if connection.kind is None:
                if not self.is_primary():
                    return self.error(connection, "READONLY", self.id)
                if not await self.commit(query, [(words[1], words[2])]):
                    return None
                return f"DONE {self.id}.{query}\r\n"
            if connection.kind == "read" or not self.is_primary():
                return self.error(connection, "READONLY", self.id)
            connection.writes.append((words[1], words[2]))
            return f"DONE {self.id}.{query}\r\n"
        finally:
            self.busy -= 1

    def value(self, item):
        return next((entry[4] for entry in reversed(self.log[: self.applied]) if entry[3] == item), "none")

    async def commit(self, query, writes):
        """Appends the commit and waits for a replica if the service asks for it. False if the lead was lost meanwhile."""
        commit = (self.term, len(self.log) + 1, query, writes[-1][0], writes[-1][1])
        self.log.append(commit)
        self.applied = len(self.log)
        self.service.history.add(commit)
        self.record.write("db-commits", db=self.id, id=query, position=self.position())
        return await self.service.replicate(self, commit, len(self.log) - 1)


class Service:
    """One primary and its replicas."""

    def __init__(self, name, record, slots=3, queue=24, max_connections=41, sync=0, work=0.006, lag=0.008, promote_s=1.0):
        self.name, self.record, self.slots, self.queue, self.max_connections = name, record, slots, queue, max_connections
        self.sync, self.work, self.lag, self.promote_s = sync, work, lag, promote_s
        self.databases = []
        self.primary = None
        self.history = set()
        self.waiting = {}
        self.cut_commits = []  # Commits that promotions have cut off, by the client's id.
        self.reached = {}  # When a request of a client last reached a database, and which.

    def network_delay(self, database, commit):
        return 0.0005

    def received(self, commit):
        if commit in self.waiting and not self.waiting[commit].done():
            self.waiting[commit].set_result(True)

    async def replicate(self, primary, commit, index):
        self.waiting[commit] = asyncio.get_running_loop().create_future()
        for database in self.databases:
            if database is not primary:
                asyncio.create_task(database.receive(commit, index))
        if not self.sync:
            return True
        done = await self.waiting[commit]
        return done and self.primary is primary

    async def promote(self, name):
        await asyncio.sleep(self.promote_s)
        chosen = next((it for it in self.databases if it.id == name), None)
        if chosen is None or chosen is self.primary:
            return
        lost = []
        for database in self.databases:
            if database.log[len(chosen.log):]:
                lost += database.log[len(chosen.log):]
                database.log = database.log[: len(chosen.log)]
                database.applied = min(database.applied, len(database.log))
        for commit in lost:
            self.history.discard(commit)
            if commit in self.waiting and not self.waiting[commit].done():
                self.waiting[commit].set_result(False)
        chosen.applied = len(chosen.log)
        term = max(it.term for it in self.databases) + 1
        for database in self.databases:
            database.term = term
        self.primary = chosen
        self.cut_commits += [it[2] for it in lost]
        self.record.write("promoted", db=name, term=term, log=len(chosen.log), cut=",".join(it[2] for it in lost) or "-")


class PromoteCall:
    """The platform's call that replaces a primary, with its fence."""

    def __init__(self, services, record):
        self.services, self.record, self.newest, self.orders = services, record, {}, []
        self.server = HttpServer(self.handle)

    async def start(self, ip):
        return await self.server.start(ip, 0)

    async def handle(self, method, path, query, headers, body):
        order = json.loads(body)
        token = int(headers["x-fencing-token"])
        name = order["Service"]
        status = 409 if token < self.newest.get(name, 0) else 200
        self.newest[name] = max(token, self.newest.get(name, 0))
        self.orders.append((now(), headers["x-lease-holder"], token, name, order["Id"], status))
        self.record.write("promote-call", holder=headers["x-lease-holder"], token=token, id=order["Id"], status=status)
        if status == 200:
            asyncio.create_task(self.services[name].promote(order["Id"]))
        return status, b"{}"


class Client:
    """One session of a client."""

    def __init__(self, record, address, database):
        self.record, self.address, self.database = record, address, database
        self.reader = None

    async def open(self):
        ip, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.writer.write(f"START {self.database} u1\r\n".encode())
        return (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)).decode().strip()

    async def query(self, query, text, timeout=10.0):
        """Returns (lines, state) of the answer, or (None, reason) if the connection ends without one."""
        self.record.write("client-sends", to=self.address, id=query, text=text.replace(" ", "_"))
        lines = []
        try:
            self.writer.write(f"QUERY {query} {text}\r\n".encode())
            while True:
                line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout)).decode()[:-2]
                if line.startswith("READY"):
                    self.record.write("client-gets", id=query, answer="|".join(lines), state=line.split(" ")[1])
                    return lines, line.split(" ")[1]
                lines.append(line)
        except asyncio.TimeoutError:
            reason = "silence"
        except (asyncio.IncompleteReadError, ConnectionError):
            reason = "closed"
        self.record.write("client-gets", id=query, answer="none", reason=reason)
        return None, reason

    def close(self):
        if self.reader is not None:
            self.writer.close()


def new_id():
    return "%016x" % random.getrandbits(64)


PROXY_PORTS = (8784, 8785, 8782, 7440, 9464)  # Clients, ready, peers, loans, metrics.


def free_net(hosts):
    """A loopback network on which the ports of all proxies are free."""
    while True:
        net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        try:
            for host in range(hosts):
                for port in PROXY_PORTS:
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host + 1}", port))
            return net
        except OSError:
            continue


class Fleet:
    """The platform of one service and the proxies in front of it."""

    def __init__(self, folder, hosts, **service_options):
        self.record = Record(folder)
        self.folder = folder
        self.top = os.path.abspath(os.path.join(folder, "..", ".."))
        self.hosts = hosts
        self.processes = {}
        self.temporary = subprocess.run(["mktemp", "-d"], capture_output=True, text=True, check=True).stdout.strip()
        self.net = free_net(hosts)
        self.store = Store()
        self.service = Service("huvo11a", self.record, **service_options)
        self.promote = PromoteCall({self.service.name: self.service}, self.record)
        self.zones = [("dfw-a", "dfw"), ("hou-a", "hou"), ("aus-a", "aus")]
        self.version = 7

    def config(self):
        def route(name, host, kind, timeout, target, priority, staleness):
            it = {"Name": name, "Host": host, "PathPrefix": "/", "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": target,
                  "Priority": priority, "Service": self.service.name, "MaxAttempts": 2}
            return {**it, "MaxStalenessMs": staleness} if staleness else it
        routes = [route("r-own", "fiti832", "read_your_writes", 800, 2000, 2, 2500), route("r-primary", "lepu270", "primary", 800, 500, 0, 0),
                  route("r-bounded", "xapu221", "bounded", 2000, 1000, 1, 1500)]
        services = [{"Name": self.service.name, "HealthPath": "/health", "MaxConns": self.service.max_connections, "Protocol": "h1", "Tls": False, "SyncReplicas": self.service.sync}]
        return json.dumps({"Version": self.version, "Routes": routes, "Services": services, "Limits": {"TxIdleMs": 3000}})

    async def start_platform(self):
        ip = self.net + ".200"
        self.store_address = await self.store.start(ip)
        self.promote_address = await self.promote.start(ip)
        await self.store.write("config", "main", self.config())
        for n, (zone, _) in enumerate(self.zones):
            database = Database(self.service, "i-%010x" % random.getrandbits(40), f"{self.net}.{100 + n}", zone, self.record)
            await database.start()
            self.service.databases.append(database)
        self.service.primary = self.service.databases[0]
        for database in self.service.databases:
            asyncio.create_task(database.beat(self.store))

    def address(self, host, port):
        return f"{self.net}.{host + 1}:{port}"

    def settings(self, host, **changes):
        zone, region = self.zones[host % 3]
        it = {"host": f"front-{zone}-{host}", "dataCentre": zone, "region": region, "processorShare": 0.25, "processorSpeed": 1,
              "clientAddress": self.address(host, 8784), "readyAddress": self.address(host, 8785), "peerAddress": self.address(host, 8782),
              "loanAddress": self.address(host, 7440), "seeds": [self.address(n, 8782) for n in range(min(3, self.hosts))],
              "metricsAddress": self.address(host, 9464), "storeAddress": self.store_address, "promotionAddress": self.promote_address,
              "graceSeconds": 6}
        it.update(changes)
        return it

    def write_settings(self, host, **changes):
        path = os.path.join(self.temporary, f"host-{host}.json")
        with open(path + ".new", "w") as file:
            json.dump(self.settings(host, **changes), file)
        os.replace(path + ".new", path)
        return path

    def start_proxy(self, host):
        """The command of the deploy file, with the path of this process's settings."""
        program = os.path.join(self.top, "target", "apps", "kumquatbank-pooler")
        log = open(os.path.join(self.temporary, f"host-{host}.log"), "ab")
        self.processes[host] = subprocess.Popen([program, "--settings", self.write_settings(host)], cwd=self.top, stdout=log, stderr=log)
        self.record.write("proxy-starts", host=host, pid=self.processes[host].pid)

    async def is_ready(self, host):
        ip, port = self.address(host, 8785).split(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def start_proxies(self, timeout=10.0):
        """False if a proxy is not ready in time."""
        for host in range(self.hosts):
            self.start_proxy(host)
        until = now() + timeout
        for host in range(self.hosts):
            while not await self.is_ready(host):
                if now() > until:
                    return False
                await asyncio.sleep(0.05)
        self.record.write("ready", hosts=self.hosts)
        return True

    def signal(self, host, number):
        self.record.write("signal", host=host, number=int(number))
        self.processes[host].send_signal(number)

    def proxy_log(self, host):
        with open(os.path.join(self.temporary, f"host-{host}.log"), errors="replace") as file:
            return file.read()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        subprocess.run(["rm", "-rf", self.temporary], check=False)


def run_case(folder, hosts, case, **service_options):
    """Runs a case and exits: 1 if it reports a broken rule, 0 if the rule held, 2 if it could not run."""
    async def main():
        fleet = Fleet(folder, hosts, **service_options)
        try:
            await fleet.start_platform()
            if not await fleet.start_proxies():
                print("the proxies did not become ready")
                return 2
            await asyncio.sleep(3.0)  # The hosts find each other and the primary.
            broken = await case(fleet, os.environ.get("TROUBLE", "1") != "0")
            for line in broken:
                fleet.record.write("RULE-BROKEN", what=line)
                print(line)
            fleet.record.write("result", broken=len(broken))
            print("rule broken" if broken else "rule held")
            return 1 if broken else 0
        finally:
            fleet.stop()

    try:
        code = asyncio.run(main())
    except Exception as error:  # A stand-in failed: the case has no result.
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    sys.stdout.flush()
    os._exit(code)
