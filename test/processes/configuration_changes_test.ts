/**
 * Configurations that change continuously beside callers with kept connections, through a whole gateway on real sockets: each
 * request that a caller has sent completely gets one complete response, unless the backend server broke off.
 *
 * `CONFIGURATION_SEEDS=first:count` plays other seeds than those of CI. A seed fixes what is sent and published, not the order in which
 * the sockets deliver it.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import test from "ava";
import { UpstreamFault } from "../../src/call/common/opaque_request.ts";
import { SeededRandom } from "../demo/random.ts";
import type { IReceivedResponse } from "../harness/kept_connection.ts";
import { KeptConnection } from "../harness/kept_connection.ts";
import type { LogLine } from "../harness/single_gateway.ts";
import { SingleGateway } from "../harness/single_gateway.ts";

const HOST = "127.0.0.65";
const CALLER_PORT = 7531;
const [FIRST_SEED, SEEDS] = (process.env.CONFIGURATION_SEEDS ?? "1:3").split(":").map(Number);
const CALLERS = 12;
const REQUESTS_PER_CALLER = 25;
const SERVERS_PER_SERVICE = 3;
/** Long enough that no verdict depends on the speed of the machine. */
const LONG_DEADLINE_MS = 60_000;
/** Of requests that no server answers. */
const SHORT_DEADLINE_MS = 150;
const MAX_STALL_MS = 120;
const MANY_ROUTES = 400;
const BODY_BYTES = [1, 40, 20_000];
const KEY = "key-1";
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];

/** How a backend server handles a request, by the last part of its path. */
enum Behaviour {
  Whole = "whole",
  Chunks = "chunks",
  Late = "late",
  Full = "full",
  Failed = "failed",
  BrokenOff = "broken-off",
  Mute = "mute",
}
const BEHAVIOURS = Object.values(Behaviour);

interface IKind {
  readonly prefix: string;
  readonly route: object;
  readonly isStream?: boolean;
  readonly isTurn?: boolean;
}

const KINDS: readonly IKind[] = [
  { prefix: "/without-services/", route: { Kind: "safe", Backends: [] } },
  {
    prefix: "/split/",
    route: { Kind: "safe", Backends: [{ Service: "plain", Weight: 0 }, { Service: "none", Weight: 0 }] },
  },
  { prefix: "/safe/", route: { Kind: "safe", Service: "plain" } },
  { prefix: "/unsafe/", route: { Kind: "unsafe", Service: "plain" } },
  { prefix: "/stream/", route: { Kind: "stream", Service: "engines" }, isStream: true },
  { prefix: "/resumable/", route: { Kind: "stream", Service: "engines", Resumable: true }, isStream: true },
  {
    prefix: "/turn/",
    route: { Kind: "stream", Service: "engines", RetainS: 60 },
    isStream: true,
    isTurn: true,
  },
  {
    prefix: "/kept/",
    route: { Kind: "stream", Service: "engines", RetainS: 60, KeepContext: true },
    isStream: true,
    isTurn: true,
  },
];

function pause(turns: number): Promise<void> {
  return new Promise((resolve) => {
    const step = () => turns-- > 0 ? setImmediate(step) : resolve();
    step();
  });
}

/** Keeps the event loop busy, as other work on a small machine does. */
function stall(ms: number): void {
  if (ms > 0) Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Backend server whose behaviour the request states in its path. */
class PathServer {
  readonly #server: Server;
  /** Ids of the requests whose response this server broke off. */
  readonly brokenOff = new Set<string>();

  constructor(random: SeededRandom) {
    this.#server = createServer((req, res) => {
      req.resume();
      req.on("end", () => void this.#reply(req, res, random.nextInt(20)));
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, HOST, resolve));
  }

  get address(): string {
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #reply(req: IncomingMessage, res: ServerResponse, turns: number): Promise<void> {
    const id = String(req.headers["ragwortcleat-request-id"]);
    const path = String(req.url);
    const behaviour = path.split("/").at(-1) as Behaviour;
    const isStream = KINDS.some(({ prefix, isStream }) => isStream && path.startsWith(prefix));
    res.setHeader("Ragwortcleat-Request-Id", id);
    if (behaviour === Behaviour.Mute) return;
    if (behaviour === Behaviour.Late) await pause(turns * 20);
    if (behaviour === Behaviour.Full) {
      res.setHeader("Ragwortcleat-Not-Run", "full");
      return void res.writeHead(503).end();
    }
    if (behaviour === Behaviour.Failed) return void res.writeHead(500).end("failed");
    res.setHeader("Ragwortcleat-Seal", "x");
    const parts = isStream ? EVENTS : [`answer to ${id} `, "end"];
    if (behaviour === Behaviour.BrokenOff) {
      this.brokenOff.add(id);
      res.write(parts[0]);
      await pause(turns);
      return void req.socket.resetAndDestroy();
    }
    if (!isStream && behaviour === Behaviour.Whole) return void res.end(parts.join(""));
    for (const part of parts) {
      res.write(part);
      await pause(turns);
    }
    res.end();
  }
}

interface ISentRequest {
  readonly id: string;
  readonly kind: IKind;
  readonly behaviour: Behaviour;
  readonly bytes: readonly string[];
}

interface IFinding {
  readonly seed: number;
  readonly id: string;
  readonly path: string;
  readonly problem: string;
}

class Play {
  readonly findings: IFinding[] = [];
  readonly statuses = new Map<number, number>();
  versions = 0;
  readonly #seed: number;
  readonly #random: SeededRandom;
  readonly #gateway: SingleGateway;
  readonly #servers: { readonly id: string; readonly service: string; readonly server: PathServer }[] = [];
  #callersLeft = CALLERS;
  #requests = 0;
  #waiters: (() => void)[] = [];

  constructor(seed: number) {
    this.#seed = seed;
    this.#random = new SeededRandom(seed);
    this.#gateway = new SingleGateway({
      host: HOST,
      callerPort: CALLER_PORT,
      settings: { hedging: { maxExtraSends: 0.2, quantile: 0.5, minDelayMs: 1 } },
      onLine: ({ event }) => this.#noteEvent(event),
    });
  }

  get lines(): readonly LogLine[] {
    return this.#gateway.lines;
  }

  async run(): Promise<void> {
    for (const service of ["plain", "engines"]) {
      for (let index = 0; index < SERVERS_PER_SERVICE; index++) {
        const server = new PathServer(this.#random);
        await server.listen();
        const id = `${service}-${index}`;
        this.#servers.push({ id, service, server });
        this.#list(id, "ready");
      }
    }
    this.#publish();
    await this.#gateway.start();
    const callers = Array.from({ length: CALLERS }, (_, index) => this.#call(index));
    await Promise.all([...callers, this.#change()]);
    await this.#gateway.stop();
    for (const { server } of this.#servers) server.close();
  }

  #pick<T>(values: readonly T[]): T {
    return values[this.#random.nextInt(values.length)];
  }

  #noteEvent(event: unknown): void {
    if (event !== "configuration") return;
    for (const waiter of this.#waiters.splice(0)) waiter();
  }

  #nextConfiguration(): Promise<void> {
    return new Promise((resolve) => this.#waiters.push(resolve));
  }

  #list(id: string, State: "ready" | "draining" | undefined): void {
    const { service, server } = this.#servers.find((entry) => entry.id === id)!;
    const entry = {
      Service: service,
      Addr: server.address,
      Zone: "z",
      Slots: 16,
      State,
      Version: "1",
      born: 1,
    };
    this.#gateway.list(id, State === undefined ? undefined : entry);
  }

  /** Publishes configurations as fast as the gateway applies them, and changes the list of servers. */
  async #change(): Promise<void> {
    while (this.#callersLeft > 0) {
      for (let burst = this.#random.nextInt(3); burst >= 0; burst--) this.#publish();
      const { id } = this.#pick(this.#servers);
      this.#list(id, this.#pick(["ready", "ready", "draining", undefined]));
      await this.#nextConfiguration();
      if (this.#random.nextInt(8) === 0) stall(this.#random.nextInt(MAX_STALL_MS));
    }
  }

  #publish(): void {
    this.versions += 1;
    const kinds = KINDS.filter(() => this.#random.nextInt(8) > 0);
    const routes = kinds.map(({ prefix, route }) => ({
      Name: prefix,
      Host: "h",
      PathPrefix: prefix,
      TimeoutMs: LONG_DEADLINE_MS,
      TargetLatencyMs: this.#pick([LONG_DEADLINE_MS, LONG_DEADLINE_MS, 100, 0]),
      Attempts: this.#pick([2, 2, 1, 0]),
      Priority: this.#pick([0, 5, 1_000_000]),
      Public: this.#random.nextInt(4) === 0,
      ...route,
    }));
    const added = this.#random.nextInt(4) > 0 ? [] : Array.from({ length: MANY_ROUTES }, (_, index) => ({
      Name: `added-${index}`,
      Host: "h",
      PathPrefix: `/added-${index}/`,
      Kind: "safe",
      Backends: [{ Service: "plain", Weight: 1 }, { Service: "engines", Weight: index }],
      TimeoutMs: 1000,
    }));
    const plain = { Name: "plain", MaxConns: this.#pick([10, 100]) };
    const engines = { Name: "engines", MaxConns: 100, Engine: this.#pick(ENGINES) };
    const limited = this.#pick([
      {},
      {},
      {},
      { Priority: 3 },
      { RatePerS: 50, Burst: 50 },
      { RatePerS: 0.5, Priority: 1e9 },
    ]);
    const known = { Name: this.#pick(["a", "a", "a", "b"]), ApiKeys: [KEY], ...limited };
    this.#gateway.publish({
      Version: this.versions,
      Routes: [...routes, ...added],
      Services: this.#pick([[plain, engines], [plain, engines], [plain], []]),
      Limits: {
        MaxHeaderBytes: 30_000,
        MaxBodyBytes: this.#pick([10, 100_000, 1_000_000]),
        HeaderTimeoutMs: this.#pick([500, 5000, 60_000]),
        IdleTimeoutMs: this.#pick([0, 10, 1000, 10_000]),
      },
      Tenants: this.#random.nextInt(8) === 0
        ? [{ Name: "c", ApiKeys: [] }]
        : this.#pick([undefined, [known]]),
    });
  }

  async #call(caller: number): Promise<void> {
    let connection: KeptConnection | undefined;
    for (let sent = 0; sent < REQUESTS_PER_CALLER;) {
      connection ??= new KeptConnection({ host: HOST, port: CALLER_PORT });
      const pipelined = this.#random.nextInt(5) === 0 ? 3 : 1;
      // A caller that sends on behind a body that is refused may lose the refusal with the reset of its connection.
      const sizes = pipelined > 1 ? [1] : BODY_BYTES;
      const requests = Array.from({ length: pipelined }, () => this.#makeRequest(caller, sizes));
      sent += pipelined;
      for (const req of requests) {
        for (const [index, piece] of req.bytes.entries()) {
          if (index > 0) await (this.#random.nextInt(3) === 0 ? this.#nextConfiguration() : pause(1));
          connection.write(piece);
        }
      }
      const isKept = await this.#readResponses(connection, requests);
      if (isKept) continue;
      connection.close();
      connection = undefined;
    }
    connection?.close();
    this.#callersLeft -= 1;
    // The publisher waits for the configuration that it has written last.
    if (this.#callersLeft === 0) this.#publish();
  }

  /** Returns whether the connection may be used again. */
  async #readResponses(connection: KeptConnection, requests: readonly ISentRequest[]): Promise<boolean> {
    for (const [index, req] of requests.entries()) {
      const res = await connection.readResponse();
      if (res === undefined) {
        // The requests behind a response that is cut have not been answered either.
        if (!this.#hasServerFailed(req)) this.#find(req, connection.describeEnd());
        return false;
      }
      this.#judge(req, res);
      this.statuses.set(res.status, (this.statuses.get(res.status) ?? 0) + 1);
      if (res.headers.get("connection") === "close") {
        if (index < requests.length - 1) this.#find(req, "closed before the last response");
        return false;
      }
    }
    return true;
  }

  /** Servers share the process of the test, so that they fall silent while the machine holds it up. */
  #hasServerFailed({ id }: ISentRequest): boolean {
    const isSilence = ({ event, request, fault }: LogLine) =>
      event === "backend-failed" && request === id && fault === UpstreamFault.TimedOut;
    return this.#servers.some(({ server }) => server.brokenOff.has(id)) || this.lines.some(isSilence);
  }

  #judge({ id, kind, behaviour, ...req }: ISentRequest, { status, headers, body }: IReceivedResponse): void {
    if (status < 200 || status >= 300) return;
    const expected = kind.isStream ? EVENTS.join("") : `answer to ${id} end`;
    const isOwn = headers.get("ragwortcleat-request-id") === id || kind.isStream;
    if (!isOwn || body !== expected) this.#find({ id, kind, behaviour, ...req }, `wrong answer ${body}`);
  }

  #find({ id, kind, behaviour }: ISentRequest, problem: string): void {
    this.findings.push({ seed: this.#seed, id, path: `${kind.prefix}${behaviour}`, problem });
  }

  #makeRequest(caller: number, sizes: readonly number[]): ISentRequest {
    const id = `s${this.#seed}-${++this.#requests}`;
    const kind = this.#pick(KINDS);
    const behaviour = this.#pick(BEHAVIOURS);
    const deadlineMs = behaviour === Behaviour.Mute ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS;
    const form = this.#pick(["none", "length", "chunks"]);
    const body = "x".repeat(this.#pick(sizes));
    const head = [
      `${form === "none" ? "GET" : "POST"} ${kind.prefix}${id}/${behaviour} HTTP/1.1`,
      "Host: h",
      `Ragwortcleat-Request-Id: ${id}`,
      `Ragwortcleat-Deadline-Ms: ${deadlineMs}`,
      "Ragwortcleat-Token-Count: 10,88",
      "Ragwortcleat-Model: m",
    ];
    if (this.#random.nextInt(10) > 0) head.push(`Authorization: Bearer ${KEY}`);
    if (kind.isTurn) {
      head.push(`Ragwortcleat-Program: p${caller}`, `Ragwortcleat-Session: p${caller}`);
      head.push("Ragwortcleat-Token-Budget: 100000");
    }
    if (form === "length") head.push(`Content-Length: ${body.length}`);
    if (form === "chunks") head.push("Transfer-Encoding: chunked");
    const chunked = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
    const content = form === "none" ? "" : form === "length" ? body : chunked;
    const bytes = `${head.join("\r\n")}\r\n\r\n${content}`;
    if (this.#random.nextInt(2) === 0) return { id, kind, behaviour, bytes: [bytes] };
    const cut = 1 + this.#random.nextInt(bytes.length - 1);
    return { id, kind, behaviour, bytes: [bytes.slice(0, cut), bytes.slice(cut)] };
  }
}

const ENGINES = [
  { Slots: 16, KvCapacity: 100_000, TokensPerEvent: 22 },
  { Slots: 1, KvCapacity: 1, TokensPerEvent: 1 },
  { Slots: 0, KvCapacity: 0, TokensPerEvent: 0 },
  undefined,
];

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
  test.serial(`each request gets one complete response while configurations change (seed ${seed})`, async (t) => {
    const play = new Play(seed);
    await play.run();
    for (const { id } of play.findings) {
      for (const line of play.lines.filter(({ request }) => request === id)) t.log(JSON.stringify(line));
    }
    t.deepEqual(play.findings, []);
    t.true(play.versions > 10);
    t.log(
      `${play.versions} versions, statuses ${JSON.stringify([...play.statuses].sort(([a], [b]) => a - b))}`,
    );
    // The rest of a body that is refused need not arrive.
    const isExpected = ({ cause, phase }: LogLine) => cause === "incomplete" || phase === "receiving";
    const unfinished = play.lines.filter(({ event }) => event === "response-unfinished");
    t.deepEqual(unfinished.filter((line) => !isExpected(line)), []);
  });
}
