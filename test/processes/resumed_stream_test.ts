/**
 * Streams that break off and go on at another server, behind a whole gateway on real sockets: whatever that server responds
 * with, callers get events in order and nothing else, and a stream looks complete only if a server has ended it.
 */
import type { IncomingMessage } from "node:http";
import { request } from "node:http";
import { connect } from "node:net";
import test from "ava";
import type { LogLine } from "../harness/single_gateway.ts";
import { SingleGateway } from "../harness/single_gateway.ts";
import type { IRawReply, IRawServer } from "../stand_ins/raw_server.ts";
import { ConnectionEnd, startRawServer } from "../stand_ins/raw_server.ts";

const HOST = "127.0.0.63";
const CALLER_PORT = 7491;
/** Long enough that no verdict depends on the speed of the machine. */
const TIMEOUT_MS = 60_000;
const SERVERS = 8;
const TOKENS_PER_EVENT = 22;

const event = (id: number | string, data: string) => `id: ${id}\ndata: ${data}\n\n`;
const WHOLE = event(1, "a") + event(2, "b") + event(3, "c") + event(4, "d");
const REST = event(3, "c") + event(4, "d");
/** What the server sends on which a stream begins. */
const BEGINNING = `${event(1, "a")}${event(2, "b")}id: 3\nda`;

/** Replies to a request that resumes the stream, without the head lines that all have in common. */
interface IContinuation {
  readonly status?: string;
  /** The id of the request by default. */
  readonly id?: string;
  readonly isSealed?: boolean;
  readonly type?: string;
  readonly headers?: readonly string[];
  readonly framing: Framing;
  readonly body?: string;
  /** Bytes before the head. */
  readonly before?: string;
  readonly end?: ConnectionEnd;
  /** Bytes of which the body is written one after the other; all at once by default. */
  readonly pieceBytes?: number;
}

enum Framing {
  Length = "with a length",
  /** The length states more bytes than the body has. */
  LongLength = "with a longer length",
  Chunks = "in chunks",
  /** The last chunk is missing. */
  OpenChunks = "in chunks without the last one",
  Connection = "without a length",
  /** Bytes without any head. */
  NoHead = "without a head",
}

const { Length, LongLength, Chunks, OpenChunks, Connection, NoHead } = Framing;
const ERROR_TEXT = "upstream connect error";
const ERROR_HEAD = `HTTP/1.1 500 Internal Server Error\r\nContent-Length: ${ERROR_TEXT.length}\r\n\r\n`;

/** Continuations that end the stream in order. */
const SOUND: Readonly<Record<string, IContinuation>> = {
  "length": { framing: Length, body: REST },
  "chunks": { framing: Chunks, body: REST },
  "connection": { framing: Connection, body: REST },
  "pieces": { framing: Chunks, body: REST, pieceBytes: 5 },
  "pieces-of-connection": { framing: Connection, body: REST, pieceBytes: 5 },
  "from-the-start": { framing: Chunks, body: WHOLE },
  "comments-between": {
    framing: Chunks,
    body: `: ping\n\n${event(3, "c")}: ping\n\n${event(4, "d")}: bye\n`,
  },
  "informational-first": { framing: Chunks, body: REST, before: "HTTP/1.1 103 Early Hints\r\n\r\n" },
};

/** Continuations that do not end the stream in order. */
const UNSOUND: Readonly<Record<string, IContinuation>> = {
  "empty-length": { framing: Length },
  "empty-chunks": { framing: Chunks },
  "empty-connection": { framing: Connection },
  "reset-after-head": { framing: Connection, end: ConnectionEnd.Reset },
  "204": { status: "204 No Content", framing: Length },
  "204-without-length": { status: "204 No Content", framing: Connection },
  "205": { status: "205 Reset Content", framing: Length },
  "206-with-events": { status: "206 Partial Content", framing: Length, body: REST },
  "101": { status: "101 Switching Protocols", framing: Connection, body: REST },
  "103-alone": { status: "103 Early Hints", framing: Connection },
  "302": { status: "302 Found", framing: Length, body: ERROR_TEXT },
  "304": { status: "304 Not Modified", framing: Length },
  "400": { status: "400 Bad Request", framing: Length, body: ERROR_TEXT },
  "404": { status: "404 Not Found", framing: Length, body: ERROR_TEXT },
  "404-with-events": { status: "404 Not Found", framing: Chunks, body: REST },
  "429": { status: "429 Too Many Requests", framing: Length, body: ERROR_TEXT },
  "500-length": { status: "500 Internal Server Error", framing: Length, body: ERROR_TEXT },
  "500-chunks": { status: "500 Internal Server Error", framing: Chunks, body: ERROR_TEXT },
  "500-connection": { status: "500 Internal Server Error", framing: Connection, body: ERROR_TEXT },
  "500-with-events": { status: "500 Internal Server Error", framing: Chunks, body: REST },
  "503": { status: "503 Service Unavailable", framing: Length, body: ERROR_TEXT },
  "503-not-run": {
    status: "503 Service Unavailable",
    headers: ["Ragwortcleat-Not-Run: 1"],
    framing: Length,
    body: ERROR_TEXT,
  },
  "no-head": { framing: NoHead, body: ERROR_TEXT },
  "no-head-events": { framing: NoHead, body: REST },
  "other-id": { id: "other", framing: Chunks, body: REST },
  "no-seal": { isSealed: false, framing: Chunks, body: REST },
  "plain-type": { type: "text/plain", framing: Chunks, body: REST },
  "json-type": { type: "application/json", framing: Length, body: '{"error":"overloaded"}' },
  "encoded": { headers: ["Content-Encoding: gzip"], framing: Chunks, body: REST },
  "comments-only": { framing: Chunks, body: ": ping\n\n: ping\n\n" },
  "blank-lines-only": { framing: Length, body: "\n\n\n\n" },
  "blank-lines-of-connection": { framing: Connection, body: "\r\n\r\n" },
  "no-ids": { framing: Chunks, body: "data: c\n\ndata: d\n\n" },
  "no-id-at-the-end": { framing: Chunks, body: `${event(3, "c")}data: d\n\n` },
  "named-ids": { framing: Chunks, body: event("three", "c") + event("four", "d") },
  "duplicates-only": { framing: Chunks, body: event(1, "a") + event(2, "b") },
  "gap": { framing: Chunks, body: event(4, "d") },
  "gap-within": { framing: Chunks, body: event(3, "c") + event(5, "e") },
  "repeated-within": { framing: Chunks, body: event(3, "c") + event(3, "x") },
  "head-after-event": { framing: Connection, body: `${event(3, "c")}${ERROR_HEAD}${ERROR_TEXT}` },
  "head-before-events": { framing: Connection, body: `${ERROR_HEAD}${REST}` },
  "head-within-event": { framing: Connection, body: `HTTP/1.1 200 OK\r\n${REST}` },
  "text": { framing: Length, body: ERROR_TEXT },
  "text-and-blank-line": { framing: Chunks, body: `${ERROR_TEXT}\n\n` },
  "text-after-event": { framing: Connection, body: `${event(3, "c")}${ERROR_TEXT}` },
  "partial-event": { framing: Length, body: `${event(3, "c")}id: 4\ndata: d\n` },
  "partial-event-of-connection": { framing: Connection, body: `${event(3, "c")}id: 4\nda` },
  "short": { framing: LongLength, body: event(3, "c"), end: ConnectionEnd.Closed },
  "open-chunks": { framing: OpenChunks, body: event(3, "c"), end: ConnectionEnd.Closed },
  "reset": { framing: Connection, body: event(3, "c"), end: ConnectionEnd.Reset },
};
/** Continuations of which only a gateway that has relayed the beginning of the stream can know that they are unsound. */
const UNKNOWN_TO_OTHERS = new Set(["gap", "gap-within"]);
const CONTINUATIONS = { ...SOUND, ...UNSOUND };

const RESUMABLE = { Kind: "stream", Resumable: true };
const ROUTES = [
  /** One server may resume a stream. */
  { kind: "once", Attempts: 2, ...RESUMABLE },
  /** Two servers may; the second one is sound. */
  { kind: "twice", Attempts: 3, ...RESUMABLE },
  { kind: "turn", Attempts: 2, ...RESUMABLE, RetainS: 60, KeepContext: true },
];

interface IReply {
  readonly status: number;
  readonly isComplete: boolean;
  readonly text: string;
}

interface ISend {
  readonly id: string;
  readonly program?: string;
  readonly previousTurn?: string;
  /** Attempt and last event of the stream that the caller resumes. */
  readonly resumes?: { readonly id: string; readonly lastEventId: string };
}

function headersOf({ id, program, previousTurn, resumes }: ISend): Record<string, string> {
  const headers: Record<string, string> = {
    "Host": "h",
    "Ragwortcleat-Request-Id": id,
    "Ragwortcleat-Deadline-Ms": String(TIMEOUT_MS),
    "Ragwortcleat-Model": "m",
    "Ragwortcleat-Token-Count": "10,220",
  };
  if (program !== undefined) {
    headers["Ragwortcleat-Program"] = program;
    headers["Ragwortcleat-Session"] = program;
    headers["Ragwortcleat-Token-Budget"] = "10000";
  }
  if (previousTurn !== undefined) headers["Ragwortcleat-Previous-Turn"] = previousTurn;
  if (resumes !== undefined) {
    headers["Resumes"] = resumes.id;
    headers["Last-Event-Id"] = resumes.lastEventId;
  }
  return headers;
}

function send(path: string, options: ISend): Promise<IReply> {
  return new Promise((resolve) => {
    let status = 0;
    let text = "";
    const finish = (isComplete: boolean) => resolve({ status, isComplete, text });
    const onResponse = (res: IncomingMessage) => {
      status = res.statusCode ?? 0;
      res.on("data", (chunk) => text += chunk);
      res.on("error", () => finish(false));
      res.on("end", () => finish(res.complete));
    };
    const headers = headersOf(options);
    const req = request({ host: HOST, port: CALLER_PORT, path, headers, agent: false }, onResponse);
    req.on("error", () => finish(false)).end();
  });
}

/** Sends a request of HTTP/1.0, whose response ends with its connection. */
function sendHttp10(path: string, options: ISend): Promise<{ end: ConnectionEnd; text: string }> {
  return new Promise((resolve) => {
    const socket = connect(CALLER_PORT, HOST);
    let text = "";
    socket.on("data", (data) => text += data.toString("latin1"));
    socket.on("error", () => resolve({ end: ConnectionEnd.Reset, text }));
    socket.on("end", () => resolve({ end: ConnectionEnd.Closed, text }));
    const headers = Object.entries(headersOf(options)).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`GET ${path} HTTP/1.0\r\n${headers.join("")}\r\n`);
  });
}

function headerOf(req: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)\\r$`, "im").exec(req)?.[1];
}

function makeReply(req: string, continuation: IContinuation): IRawReply {
  const { status = "200 OK", isSealed = true, type = "text/event-stream", body = "", before = "" } =
    continuation;
  const { framing, pieceBytes = Math.max(1, body.length), headers: additional = [] } = continuation;
  if (framing === NoHead) return { bytes: body, end: ConnectionEnd.Closed };
  const { id = headerOf(req, "ragwortcleat-request-id") ?? "" } = continuation;
  const head = [
    `HTTP/1.1 ${status}`,
    `Ragwortcleat-Request-Id: ${id}`,
    `Content-Type: ${type}`,
    ...additional,
  ];
  if (isSealed) head.push("Ragwortcleat-Seal: x");
  if (framing === Length) head.push(`Content-Length: ${body.length}`);
  if (framing === LongLength) head.push(`Content-Length: ${body.length + 10}`);
  const isChunked = framing === Chunks || framing === OpenChunks;
  if (isChunked) head.push("Transfer-Encoding: chunked");
  const pieces: string[] = [];
  for (let at = 0; at < body.length; at += pieceBytes) {
    const piece = body.slice(at, at + pieceBytes);
    pieces.push(isChunked ? `${piece.length.toString(16)}\r\n${piece}\r\n` : piece);
  }
  if (framing === Chunks) pieces.push("0\r\n\r\n");
  const defaultEnd = framing === Connection ? ConnectionEnd.Closed : undefined;
  return {
    bytes: [`${before}${head.join("\r\n")}\r\n\r\n`, ...pieces],
    end: continuation.end ?? defaultEnd,
  };
}

interface IServedRequest {
  readonly path: string;
  readonly isContinuation: boolean;
  readonly body: string;
}

/** Breaks off each stream that begins, and resumes it as its path says; the second time in order. */
function replyTo(req: string, seen: IServedRequest[]): IRawReply {
  const path = req.split(" ")[1];
  const [, route, name] = path.split("/");
  const isContinuation = headerOf(req, "last-event-id") !== undefined;
  const isSecond = seen.some((other) => other.path === path && other.isContinuation);
  seen.push({ path, isContinuation, body: req.slice(req.indexOf("\r\n\r\n") + 4) });
  if (name === "whole") return makeReply(req, { framing: Chunks, body: WHOLE });
  if (!isContinuation) {
    // A reset could discard bytes that the gateway has not read yet.
    return makeReply(req, { framing: OpenChunks, body: BEGINNING, end: ConnectionEnd.Closed });
  }
  if (route === "twice" && isSecond) return makeReply(req, { framing: Chunks, body: restAfter(req) });
  return makeReply(req, CONTINUATIONS[name]);
}

function restAfter(req: string): string {
  return WHOLE.slice(WHOLE.indexOf("id:", 1 + WHOLE.indexOf(`id: ${headerOf(req, "last-event-id")}\n`)));
}

interface IRunningGateway {
  readonly seen: readonly IServedRequest[];
  linesOf(event: string): readonly LogLine[];
  stop(): Promise<void>;
}

async function start(): Promise<IRunningGateway> {
  const seen: IServedRequest[] = [];
  const servers: IRawServer[] = [];
  for (let index = 0; index < SERVERS; index++) {
    servers.push(await startRawServer((req) => replyTo(req, seen)));
  }
  const gateway = new SingleGateway({ host: HOST, callerPort: CALLER_PORT });
  gateway.listServers(servers.map(({ address }) => address));
  gateway.publishRoutes(ROUTES, { timeoutMs: TIMEOUT_MS, tokensPerEvent: TOKENS_PER_EVENT });
  await gateway.start();
  return {
    seen,
    linesOf: (event) => gateway.linesOf(event),
    stop: async () => {
      await gateway.stop();
      for (const server of servers) server.close();
    },
  };
}

let requests = 0;
const nextId = () => `r${++requests}`;

/** Sends a turn until its budget's owner is ready, so that the test does not depend on the time that this takes. */
async function sendTurn(path: string, options: Omit<ISend, "id">): Promise<IReply & { id: string }> {
  while (true) {
    const id = nextId();
    const reply = await send(path, { id, ...options });
    if (!reply.text.includes("budget-unavailable")) return { ...reply, id };
  }
}

/** Whether a text is the beginning of the stream, up to the end of an event. */
function isBeginning(text: string): boolean {
  return WHOLE.startsWith(text) && (text === "" || text.endsWith("\n\n"));
}

let gateway: IRunningGateway;
test.before(async () => gateway = await start());
test.after.always(() => gateway.stop());

for (const name of Object.keys(SOUND)) {
  test.serial(`a stream that is resumed (${name}) is complete`, async (t) => {
    const reply = await send(`/once/${name}/${nextId()}`, { id: nextId() });
    t.deepEqual([reply.status, reply.isComplete, withoutComments(reply.text)], [200, true, WHOLE]);
  });
}

for (const name of Object.keys(UNSOUND)) {
  test.serial(`a stream whose continuation is unsound (${name}) does not look complete`, async (t) => {
    const reply = await send(`/once/${name}/${nextId()}`, { id: nextId() });
    t.is(reply.status, 200);
    t.false(reply.isComplete, reply.text);
    t.true(isBeginning(reply.text), reply.text);
  });

  test.serial(`a stream whose first continuation is unsound (${name}) goes on at another server`, async (t) => {
    const reply = await send(`/twice/${name}/${nextId()}`, { id: nextId() });
    t.deepEqual([reply.status, reply.isComplete, reply.text], [200, true, WHOLE]);
  });

  if (UNKNOWN_TO_OTHERS.has(name)) continue;
  test.serial(`a stream that its caller resumes does not look complete if the rest is unsound (${name})`, async (t) => {
    const path = `/once/${name}/${nextId()}`;
    const id = nextId();
    const first = await send(path, { id });
    const lastEventId = /id: (\d+)\n.*\n\n$/.exec(first.text)?.[1] ?? "";
    const reply = await send(path, { id: nextId(), resumes: { id, lastEventId } });
    t.false(reply.status === 200 && reply.isComplete, `${reply.status} ${reply.text}`);
    if (reply.status === 200) t.true(isBeginning(first.text + reply.text), reply.text);
  });
}

test.serial("a caller of HTTP/1.0 sees whether a resumed stream is complete", async (t) => {
  for (
    const name of ["empty-length", "empty-chunks", "empty-connection", "404", "head-after-event", "short"]
  ) {
    const { end } = await sendHttp10(`/once/${name}/${nextId()}`, { id: nextId() });
    t.is(end, ConnectionEnd.Reset, name);
  }
  const { end, text } = await sendHttp10(`/once/chunks/${nextId()}`, { id: nextId() });
  t.deepEqual([end, text.endsWith(`\r\n\r\n${WHOLE}`)], [ConnectionEnd.Closed, true]);
});

test.serial("a resumed turn is stored with its whole output, and not without its end", async (t) => {
  for (
    const name of ["length", "comments-between", "empty-length", "duplicates-only", "no-id-at-the-end", "404"]
  ) {
    const program = `p-${name}`;
    const turn = await sendTurn(`/turn/${name}/${nextId()}`, { program });
    t.is(turn.isComplete, name in SOUND, name);
    const path = `/turn/whole/${nextId()}`;
    const next = await sendTurn(path, { program, previousTurn: turn.id });
    t.is(next.status, name in SOUND ? 200 : 503, name);
    const received = gateway.seen.filter((other) => other.path === path).map(({ body }) => body);
    t.deepEqual(received, name in SOUND ? ["a\nb\nc\nd\n"] : [], name);
  }
});

test.serial("a turn that its caller resumes is not stored without its beginning", async (t) => {
  const program = "p-resumed";
  const path = `/turn/length/${nextId()}`;
  const id = nextId();
  await sendTurn(`/turn/whole/${nextId()}`, { program });
  await send(`/turn/404/${nextId()}`, { id, program });
  const resumed = await send(path, { id: nextId(), program, resumes: { id, lastEventId: "2" } });
  t.is(resumed.status, 503);
  t.is(gateway.seen.filter((other) => other.path === path).length, 0);
});

test.serial("no response leads to an internal error", (t) => {
  t.deepEqual(gateway.linesOf("internal-error"), []);
});

function withoutComments(text: string): string {
  return text.replaceAll(/^: .*\n\n?/gm, "");
}
