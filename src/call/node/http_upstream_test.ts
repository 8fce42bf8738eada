import type { AddressInfo, Server as TcpServer, Socket } from "node:net";
import { createServer as createTcpServer } from "node:net";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { ExecutionContext } from "ava";
import test from "ava";
import fc from "fast-check";
import { Deferred, Effect, Fiber, Result } from "effect";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type {
  IRequestCodec,
  IResponseHead,
  IUpstreamRequest,
  IUpstreamResponse,
} from "../common/opaque_request.ts";
import type { UpstreamError } from "../common/opaque_request.ts";
import { UpstreamFault } from "../common/opaque_request.ts";
import { UnacceptingServer } from "../../../test/stand_ins/unaccepting_server.ts";
import { Deliveries } from "../common/delivery.ts";
import type { IHttpUpstreamOptions } from "./http_upstream.ts";
import { HttpUpstream } from "./http_upstream.ts";

const CODEC: IRequestCodec = {
  readRequest: () => undefined,
  dispatchHeaders: () => [],
  readResponse: (status, headers): IResponseHead => {
    const has = (name: string) => headers.some((text) => text.toLowerCase() === name);
    return {
      status,
      headers,
      requestId: has("x-id")
        ? headers[headers.findIndex((name) => name.toLowerCase() === "x-id") + 1]
        : undefined,
      isNotRun: has("x-not-run"),
      isSigned: true,
      isLeaving: has("x-leaving"),
    };
  },
};

async function listen(serve: (req: IncomingMessage, res: ServerResponse) => void): Promise<Server> {
  const server = createServer(serve);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

const SERVER = { id: "b", service: "s", zone: "z", slots: 1, isDraining: false, startedAtMs: 0 };

function backendOf(server: TcpServer): IBackendEntry {
  const { port } = server.address() as AddressInfo;
  return { ...SERVER, host: "127.0.0.1", port };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}

function requestOf(requestId: string): IUpstreamRequest {
  const headers = ["Host", "h", "X-Id", requestId];
  return { requestId, method: "GET", target: "/a/../b?c", headers, body: new Uint8Array() };
}

function readAll({ body }: IUpstreamResponse): Effect.Effect<string, unknown> {
  const chunks: Uint8Array[] = [];
  return Effect.map(body.read((chunk) => chunks.push(chunk)), () => Buffer.concat(chunks).toString());
}

test("completes a request in progress after its server is no longer listed", async (t) => {
  let finish = () => {};
  const server = await listen((req, res) => {
    res.writeHead(200, { "x-id": req.headers["x-id"] });
    res.write("first ");
    finish = () => res.end("last");
  });
  const upstream = new HttpUpstream(CODEC);
  const backend = backendOf(server);
  const response = await Effect.runPromise(upstream.send(backend, requestOf("1")));
  upstream.removeBackend(backend);
  finish();
  t.is(await Effect.runPromise(readAll(response)), "first last");
  server.close();
  upstream.dispose();
});

test("interruption closes the connection, so that a server stops a request whose answer is not needed", async (t) => {
  for (const hasHead of [false, true]) {
    const arrived = Deferred.makeUnsafe<void>();
    const closed = Deferred.makeUnsafe<void>();
    const server = await listen((req, res) => {
      res.on("close", () => Deferred.doneUnsafe(closed, Effect.void));
      if (!hasHead) return Deferred.doneUnsafe(arrived, Effect.void);
      res.writeHead(200, { "x-id": req.headers["x-id"] });
      res.write("first");
    });
    const upstream = new HttpUpstream(CODEC);
    const sending = Effect.runFork(
      Effect.flatMap(
        upstream.send(backendOf(server), requestOf("1")),
        ({ body }) => body.read(() => Deferred.doneUnsafe(arrived, Effect.void)),
      ),
    );
    await Effect.runPromise(Deferred.await(arrived));
    await Effect.runPromise(Fiber.interrupt(sending));
    await Effect.runPromise(Deferred.await(closed));
    t.pass();
    server.close();
    upstream.dispose();
  }
});

test("sends the request target unchanged", async (t) => {
  const server = await listen((req, res) => {
    res.writeHead(200, { "x-id": req.headers["x-id"] });
    res.end(req.url);
  });
  const upstream = new HttpUpstream(CODEC);
  const response = await Effect.runPromise(upstream.send(backendOf(server), requestOf("1")));
  t.is(await Effect.runPromise(readAll(response)), "/a/../b?c");
  server.close();
  upstream.dispose();
});

test("reports that a server is leaving, whatever becomes of its response", async (t) => {
  const heads = [
    `${HEAD}X-Leaving: 1\r\nContent-Length: 0\r\n\r\n`,
    `${HEAD}X-Leaving: 1\r\nContent-Length: 9\r\n\r\nbroken`,
    "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nX-Leaving: 1\r\n\r\n",
  ];
  for (const head of heads) {
    const server = createTcpServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => socket.end(head));
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const upstream = new HttpUpstream(CODEC);
    const announced: string[] = [];
    upstream.onDidAnnounceLeaving(({ id }) => announced.push(id));
    await Effect.runPromise(
      Effect.result(Effect.flatMap(upstream.send(backendOf(server), requestOf("1")), readAll)),
    );
    t.deepEqual(announced, ["b"], head);
    server.close();
    upstream.dispose();
  }
});

test("treats a response to a different request as invalid", async (t) => {
  const server = await listen((_req, res) => {
    res.writeHead(200, { "x-id": "other" });
    res.end("secret");
  });
  const upstream = new HttpUpstream(CODEC);
  const result = await Effect.runPromise(Effect.result(upstream.send(backendOf(server), requestOf("1"))));
  t.true(Result.isFailure(result) && result.failure.fault === UpstreamFault.Invalid);
  server.close();
  upstream.dispose();
});

/** Sends a request to a server that reacts on the raw connection, and returns how it failed. */
async function faultOfSocket(react: (socket: Socket) => void): Promise<UpstreamFault | undefined> {
  const server = createTcpServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => react(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const upstream = new HttpUpstream(CODEC);
  const sending = Effect.flatMap(upstream.send(backendOf(server), requestOf("1")), readAll);
  const result = await Effect.runPromise(Effect.result(sending as Effect.Effect<string, UpstreamError>));
  server.close();
  upstream.dispose();
  return Result.isFailure(result) ? result.failure.fault : undefined;
}

/** Longer than the time limit for connections in the test that stalls the event loop. */
const STALL_MS = 20;
const HEAD = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";

test("a connection that ends or is reset at any point of the response is broken", async (t) => {
  const prefixes = [
    "",
    "HTTP/1.1 20",
    `${HEAD}Content-Length: 5\r\n\r\n`,
    `${HEAD}Content-Length: 5\r\n\r\nab`,
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nab`,
  ];
  for (const prefix of prefixes) {
    const close = (end: (socket: Socket) => void) =>
      faultOfSocket((socket) => prefix === "" ? end(socket) : socket.write(prefix, () => end(socket)));
    t.is(await close((socket) => socket.end()), UpstreamFault.Broken, `end after ${prefix}`);
    t.is(await close((socket) => socket.resetAndDestroy()), UpstreamFault.Broken, `reset after ${prefix}`);
  }
});

test("a body without a length is complete if its connection ends and broken if it is reset", async (t) => {
  for (const body of ["", "id: 1\ndata: x\n\n", "id: 1\nda"]) {
    const close = (end: (socket: Socket) => void) =>
      faultOfSocket((socket) => socket.write(`${HEAD}\r\n${body}`, () => end(socket)));
    t.is(await close((socket) => socket.end()), undefined, `end after ${body}`);
    t.is(await close((socket) => socket.resetAndDestroy()), UpstreamFault.Broken, `reset after ${body}`);
  }
});

test("a body without a length is broken if its connection is reset after its bytes were read", async (t) => {
  let reset = () => {};
  const server = createTcpServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.write(`${HEAD}\r\nid: 1`));
    reset = () => socket.resetAndDestroy();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const upstream = new HttpUpstream(CODEC);
  const { body } = await Effect.runPromise(upstream.send(backendOf(server), requestOf("1")));
  const result = await Effect.runPromise(Effect.result(body.read(() => reset())));
  t.true(Result.isFailure(result) && result.failure.fault === UpstreamFault.Broken);
  server.close();
  upstream.dispose();
});

test("a change of protocol is invalid, on a new and on a kept connection", async (t) => {
  const upgrade = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nX-Id: 1\r\n\r\n";
  t.is(await faultOfSocket((socket) => socket.write(upgrade)), UpstreamFault.Invalid);
  const server = await startKept(t, (socket) => socket.write(upgrade));
  t.is(await exchange(server, "1"), "200 ");
  t.is(await exchange(server, "1"), UpstreamFault.Invalid);
});

test("a request that ends without a response or an error has an unknown outcome", async (t) => {
  const closed = Deferred.makeUnsafe<void>();
  const server = createTcpServer((socket) => {
    socket.on("error", () => {});
    socket.on("close", () => Deferred.doneUnsafe(closed, Effect.void));
    socket.once("data", () => socket.write(`${HEAD}\r\n`));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const upstream = new HttpUpstream(CODEC);
  // Node.js closes the connection of a successful CONNECT request if nobody takes it over.
  const sending = upstream.send(backendOf(server), { ...requestOf("1"), method: "CONNECT", target: "h:1" });
  const result = await Effect.runPromise(Effect.result(sending));
  t.is(Result.isFailure(result) ? result.failure.fault : undefined, UpstreamFault.Broken);
  await Effect.runPromise(Deferred.await(closed));
  server.close();
  upstream.dispose();
});

test("a connection that is established during a stall of the event loop is in time", async (t) => {
  const server = await listen((req, res) => res.writeHead(200, { "x-id": req.headers["x-id"] }).end("x"));
  const upstream = new HttpUpstream(CODEC, { connectTimeoutMs: 1 });
  const reply = Effect.runPromise(Effect.flatMap(upstream.send(backendOf(server), requestOf("1")), readAll));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
  t.is(await reply, "x");
  server.close();
  upstream.dispose();
});

test("bytes that are not a response are invalid, on a connection that stays open", async (t) => {
  for (const bytes of ["garbage\r\n\r\n", `${HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n`]) {
    t.is(await faultOfSocket((socket) => socket.write(bytes)), UpstreamFault.Invalid, bytes);
  }
});

test("fails on a truncated body and reports a refused connection", async (t) => {
  const server = await listen((req, res) => {
    res.writeHead(200, { "x-id": req.headers["x-id"], "content-length": "100" });
    res.write("part");
    setImmediate(() => res.destroy());
  });
  const upstream = new HttpUpstream(CODEC);
  const backend = backendOf(server);
  const truncated = await Effect.runPromise(
    Effect.result(Effect.flatMap(upstream.send(backend, requestOf("1")), readAll)),
  );
  t.true(Result.isFailure(truncated));
  await new Promise((resolve) => server.close(resolve));
  const refused = await Effect.runPromise(Effect.result(upstream.send(backend, requestOf("2"))));
  t.true(Result.isFailure(refused) && refused.failure.fault === UpstreamFault.Refused);
  upstream.dispose();
});

interface IKeptServer {
  readonly upstream: HttpUpstream;
  readonly backend: IBackendEntry;
  readonly sockets: readonly Socket[];
}

/** Long enough that no outcome depends on the speed of the machine. */
const LONG_TIMEOUT_MS = 60_000;

interface IKeptOptions extends IHttpUpstreamOptions {
  /** Response to the first request on a connection. */
  readonly first?: string;
}

/** Starts a server whose connections answer their first request, and pass each later one to a function. */
async function startKept(
  t: ExecutionContext,
  react: (socket: Socket, upstream: HttpUpstream) => void,
  { first = `${HEAD}Content-Length: 0\r\n\r\n`, ...options }: IKeptOptions = {},
): Promise<IKeptServer> {
  const upstream = new HttpUpstream(CODEC, { extraResponseTimeoutMs: LONG_TIMEOUT_MS, ...options });
  const sockets: Socket[] = [];
  const server = createTcpServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(first);
      socket.on("data", () => react(socket, upstream));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.close();
    upstream.dispose();
  });
  return { upstream, backend: backendOf(server), sockets };
}

/** Sends a request and returns the status and body of its response, or how it failed. */
async function exchange({ upstream, backend }: IKeptServer, id: string): Promise<string> {
  const sending = Effect.flatMap(
    upstream.send(backend, requestOf(id)),
    (response) => Effect.map(readAll(response), (body) => `${response.head.status} ${body}`),
  );
  const result = await Effect.runPromise(Effect.result(sending as Effect.Effect<string, UpstreamError>));
  return Result.isFailure(result) ? result.failure.fault : result.success;
}

/** Writes a response to an earlier request, and calls back when its head has been read. */
function writeExtra(
  socket: Socket,
  { upstream, ids, onRead, body = "" }: {
    upstream: HttpUpstream;
    ids: string;
    onRead: () => void;
    body?: string;
  },
): void {
  const disposable = upstream.onDidAnnounceLeaving(() => {
    disposable.dispose();
    // A listener that is added during an event would receive that event too.
    queueMicrotask(onRead);
  });
  socket.write(
    `HTTP/1.1 503 Full\r\n${ids}X-Not-Run: 1\r\nX-Leaving: 1\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  );
}

const OWN = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\nown";

test("a response to an earlier request is skipped on a kept connection, which is closed afterwards", async (t) => {
  for (const ids of ["", "X-Id: 1\r\n", "X-Id: \r\n"]) {
    for (const body of ["", "body"]) {
      const server = await startKept(t, (socket, upstream) =>
        writeExtra(socket, {
          upstream,
          ids,
          body,
          onRead: () => socket.write(OWN),
        }));
      t.is(await exchange(server, "1"), "200 ");
      t.is(await exchange(server, "2"), "200 own", ids);
      t.is(server.sockets.length, 1);
      t.is(await exchange(server, "1"), "200 ");
      t.is(server.sockets.length, 2);
    }
  }
});

test("a request without a response of its own has an unknown outcome", async (t) => {
  const extra = (head: string) => `HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n${head}\r\n`;
  const ends: readonly (readonly [UpstreamFault, (socket: Socket, upstream: HttpUpstream) => void])[] = [
    [
      UpstreamFault.Broken,
      (socket, upstream) => writeExtra(socket, { upstream, ids: "", onRead: () => socket.end() }),
    ],
    [
      UpstreamFault.Broken,
      (socket, upstream) => writeExtra(socket, { upstream, ids: "", onRead: () => socket.resetAndDestroy() }),
    ],
    [
      UpstreamFault.Invalid,
      (socket, upstream) =>
        writeExtra(socket, { upstream, ids: "", onRead: () => socket.write("garbage\r\n\r\n") }),
    ],
    [UpstreamFault.Invalid, (socket) => socket.write(extra("Connection: close\r\nContent-Length: 0\r\n"))],
    [UpstreamFault.Invalid, (socket) => socket.write(extra(""))],
    [UpstreamFault.Invalid, (socket) => socket.write(extra("Content-Length: 0\r\n") + OWN)],
    [UpstreamFault.Invalid, (socket) => socket.end(`${extra("Content-Length: 9\r\n")}part`)],
    [
      UpstreamFault.Invalid,
      (socket) => socket.write(`${extra("Content-Length: 99999\r\n")}${"x".repeat(99_999)}`),
    ],
    [UpstreamFault.Invalid, (socket, upstream) => {
      const repeat = () => writeExtra(socket, { upstream, ids: "", onRead: repeat });
      repeat();
    }],
  ];
  for (const [index, [fault, react]] of ends.entries()) {
    const server = await startKept(t, react);
    t.is(await exchange(server, "1"), "200 ");
    t.is(await exchange(server, "2"), fault, `end ${index}`);
  }
});

test("a request whose own response does not begin after a skipped one has an unknown outcome", async (t) => {
  const extra = "HTTP/1.1 500 Internal Server Error\r\n";
  const writes = [
    `${extra}Content-Length: 0\r\n\r\n`,
    `${extra}Content-Length: 9\r\n\r\npart`,
    `${extra}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n`,
  ];
  for (const bytes of writes) {
    const closed = Deferred.makeUnsafe<void>();
    const server = await startKept(t, (socket) => {
      socket.on("close", () => Deferred.doneUnsafe(closed, Effect.void));
      socket.write(bytes);
    }, { extraResponseTimeoutMs: 1 });
    t.is(await exchange(server, "1"), "200 ");
    t.is(await exchange(server, "2"), UpstreamFault.Invalid, bytes);
    await Effect.runPromise(Deferred.await(closed));
  }
});

test("the first response on a connection needs the id of the request", async (t) => {
  const server = await listen((_req, res) => {
    res.writeHead(503, { "x-not-run": "1", "content-length": "0" });
    res.end();
  });
  const upstream = new HttpUpstream(CODEC);
  const setup = { upstream, backend: backendOf(server), sockets: [] };
  t.is(await exchange(setup, "1"), UpstreamFault.Invalid);
  server.close();
  upstream.dispose();
});

test("interruption closes a connection whose own response is awaited", async (t) => {
  const closed = Deferred.makeUnsafe<void>();
  const skipped = Deferred.makeUnsafe<void>();
  const server = await startKept(t, (socket, upstream) => {
    socket.on("close", () => Deferred.doneUnsafe(closed, Effect.void));
    const onRead = () => Deferred.doneUnsafe(skipped, Effect.void);
    writeExtra(socket, { upstream, ids: "", onRead });
  });
  await exchange(server, "1");
  const sending = Effect.runFork(server.upstream.send(server.backend, requestOf("2")));
  await Effect.runPromise(Deferred.await(skipped));
  await Effect.runPromise(Fiber.interrupt(sending));
  await Effect.runPromise(Deferred.await(closed));
  t.pass();
});

test("an id that a server has refused is sent again over a new connection", async (t) => {
  const refusal = "HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  const server = await startKept(t, (socket) => socket.write(OWN), { first: refusal });
  t.is(await exchange(server, "1"), "503 ");
  t.is(await exchange(server, "1"), "503 ");
  t.is(server.sockets.length, 2);
  t.is(await exchange(server, "2"), "200 own");
  t.is(server.sockets.length, 2);
});

test("data after a response that is not read yet closes the connection", async (t) => {
  const closed = Deferred.makeUnsafe<void>();
  const server = await startKept(t, () => {});
  const { body } = await Effect.runPromise(server.upstream.send(server.backend, requestOf("1")));
  const [socket] = server.sockets;
  socket.on("close", () => Deferred.doneUnsafe(closed, Effect.void));
  socket.write("HTTP/1.1 503");
  await Effect.runPromise(Deferred.await(closed));
  await Effect.runPromise(body.read(() => {}));
  t.is(await exchange(server, "1"), "200 ");
  t.is(server.sockets.length, 2);
});

test("arbitrary bytes in a response fail with a typed error or are a complete response", async (t) => {
  const pieces = fc.constantFrom(
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\n",
    "X-Id: 1\r\n",
    "Content-Length: 3\r\n",
    "Transfer-Encoding: chunked\r\n",
    "\r\n",
    "3\r\nabc\r\n",
    "0\r\n",
    "ffffffffffffffff\r\n",
    "1;a=b\r\nx\r\n",
    "x".repeat(20_000),
    "\0\x7f",
  );
  const faults = new Set<UpstreamFault | undefined>();
  await fc.assert(
    fc.asyncProperty(fc.array(pieces, { maxLength: 8 }), async (parts) => {
      faults.add(await faultOfSocket((socket) => socket.end(parts.join(""), "latin1")));
    }),
    { seed: 20261204, numRuns: 300 },
  );
  t.false(faults.has(UpstreamFault.NotSent) || faults.has(UpstreamFault.Refused));
  t.true(faults.has(UpstreamFault.Invalid) && faults.has(UpstreamFault.TooLarge));
});

test("what Node.js refuses to send fails as not sent, and the next request is served", async (t) => {
  const server = await listen((req, res) => res.writeHead(200, { "x-id": req.headers["x-id"] }).end("x"));
  const upstream = new HttpUpstream(CODEC);
  const backend = backendOf(server);
  const request = requestOf("1");
  const unsendable: readonly (readonly [IBackendEntry, IUpstreamRequest])[] = [
    [{ ...backend, port: 65_536 }, request],
    [{ ...backend, port: 1e25 }, request],
    [{ ...backend, port: -1 }, request],
    [{ ...backend, port: NaN }, request],
    [backend, { ...request, headers: ["Host", "h", "X-Id", "a\r\nb"] }],
    [backend, { ...request, headers: ["Host", "h", "X-Id", "\u0430"] }],
    [backend, { ...request, target: "/a b" }],
    [backend, { ...request, method: "A B" }],
  ];
  for (const [to, req] of unsendable) {
    const result = await Effect.runPromise(Effect.result(upstream.send(to, req)));
    t.is(Result.isFailure(result) ? result.failure.fault : undefined, UpstreamFault.Refused);
  }
  t.is(await Effect.runPromise(Effect.flatMap(upstream.send(backend, request), readAll)), "x");
  server.close();
  upstream.dispose();
});

test("a connection that fails at once is not sent", async (t) => {
  const upstream = new HttpUpstream(CODEC);
  // The system rejects a link-local address without an interface before anything is sent.
  const backend = { ...SERVER, host: "fe80::1", port: 1 };
  for (let attempt = 0; attempt < 2; attempt++) {
    const { fault } = await Effect.runPromise(Effect.flip(upstream.send(backend, requestOf("1"))));
    t.is(fault, UpstreamFault.NotSent);
  }
  upstream.dispose();
});

test("a request is not sent while its connection hangs, and may have arrived at a server that accepts and never reads", async (t) => {
  const server = await UnacceptingServer.start();
  const upstream = new HttpUpstream(CODEC);
  const backend = { ...SERVER, host: "127.0.0.1", port: server.port };
  const accepted = new Deliveries().start();
  const sending = Effect.runFork(upstream.send(backend, { ...requestOf("1"), delivery: accepted }));
  await waitUntil(() => !accepted.mayHaveArrived);
  await waitUntil(() => accepted.mayHaveArrived);
  t.false(accepted.tryWithdraw());
  await server.fill(1);
  const hanging = new Deliveries().start();
  const failed = upstream.send(backend, { ...requestOf("2"), delivery: hanging });
  t.is((await Effect.runPromise(Effect.flip(failed))).fault, UpstreamFault.NotSent);
  t.false(hanging.mayHaveArrived);
  await Effect.runPromise(Fiber.interrupt(sending));
  await server.close();
  upstream.dispose();
});

test("a request that was withdrawn while it waited for a connection is not sent", async (t) => {
  let connections = 0;
  let bytes = 0;
  const server = createTcpServer((socket) => {
    connections += 1;
    socket.on("data", (data) => bytes += data.length);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const upstream = new HttpUpstream(CODEC);
  const delivery = new Deliveries().start();
  const failed = Effect.runPromise(
    Effect.flip(upstream.send(backendOf(server), { ...requestOf("1"), delivery })),
  );
  t.true(delivery.tryWithdraw());
  t.is((await failed).fault, UpstreamFault.NotSent);
  await waitUntil(() => connections === 1);
  await new Promise<void>((resolve) => server.close(() => resolve()));
  t.is(bytes, 0);
  upstream.dispose();
});

test("an idle timeout of any length that a server announces leaves its connection usable", async (t) => {
  for (const timeout of ["9".repeat(20), "9".repeat(400)]) {
    const sockets = new Set<Socket>();
    const server = await listen((req, res) => {
      sockets.add(req.socket);
      res.writeHead(200, { "x-id": req.headers["x-id"], "Keep-Alive": `timeout=${timeout}` }).end("x");
    });
    const upstream = new HttpUpstream(CODEC);
    for (const id of ["1", "2"]) {
      const sending = Effect.flatMap(upstream.send(backendOf(server), requestOf(id)), readAll);
      t.is(await Effect.runPromise(sending), "x");
      // The connection is kept once the response's end has been handled.
      await new Promise((resolve) => setImmediate(resolve));
    }
    t.is(sockets.size, 1);
    server.close();
    upstream.dispose();
  }
});
