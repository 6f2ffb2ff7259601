"""Small asyncio HTTP/1.1 server and client for the stand-ins; standard library only."""

import asyncio
import json
import urllib.parse


class Drop(Exception):
    """The handler gives no answer: the connection is aborted."""


class Request:
    def __init__(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        self.method, self.path = method, parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers, self.body = headers, body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns the start line, the headers and the body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length") or 0)
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def serve(handler, ip="127.0.0.1", port=0):
    """Starts a server; handler(request) returns a status and a JSON body. Returns it and its port."""

    writers = set()

    async def on_connection(reader, writer):
        writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                try:
                    status, body = await handler(Request(method, target, message[1], message[2]))
                except Drop:
                    writer.transport.abort()
                    return
                text = json.dumps(body, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    def abort_connections():
        for writer in list(writers):
            writer.transport.abort()

    server = await asyncio.start_server(on_connection, ip, port, limit=1 << 22, backlog=512)
    server.abort_connections = abort_connections
    return server, server.sockets[0].getsockname()[1]


async def call(address, method, target, body=None, headers=None, timeout=5.0):
    """Returns the status and the JSON body of an answer; status 0 if there is none in time."""

    async def talk():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(text)}"]
            lines += ["Content-Type: application/json", "Connection: close"]
            fields = {"Host": address} | (headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, {}
            try:
                answer = json.loads(message[2] or b"{}")
            except ValueError:
                answer = {}
            return int(message[0].split()[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
