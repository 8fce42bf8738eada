/**
 * Backend servers that write a response once more on a connection that the gateway keeps, behind a whole gateway on real
 * sockets: what belongs to an earlier request is not taken for the answer of a later one.
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { request } from "node:http";
import test from "ava";
import { SingleGateway } from "../harness/single_gateway.ts";
import type { IRawReply, IRawServer } from "../stand_ins/raw_server.ts";
import { startRawServer } from "../stand_ins/raw_server.ts";

const HOST = "127.0.0.62";
const CALLER_PORT = 7471;
/** Long enough that no verdict depends on the speed of the machine. */
const TIMEOUT_MS = 60_000;
const SERVERS = 2;
const OWN_BODY = "id: 1\ndata: own\n\n";
const EXTRA_BODY = "id: 1\ndata: extra\n\n";
const ROUTES = [
  { kind: "safe", Kind: "safe" },
  { kind: "unsafe", Kind: "unsafe" },
  { kind: "stream", Kind: "stream" },
  { kind: "turn", Kind: "stream", RetainS: 60, KeepContext: true },
];
/** Statuses by which a caller concludes that its request has not run. */
const NOT_RUN_STATUSES = [400, 408, 421, 429, 503];

const NOT_RUN = "Ragwortcleat-Not-Run: 1\r\n";
const SEAL = "Ragwortcleat-Seal: x\r\n";

/** Status line and headers of a response that is written once more, without its id. */
const EXTRA_HEADS: Readonly<Record<string, string>> = {
  "503": `503 Service Unavailable\r\n${NOT_RUN}`,
  "429": `429 Too Many Requests\r\n${NOT_RUN}`,
  "421": "421 Misdirected Request\r\n",
  "400": `400 Bad Request\r\n${NOT_RUN}`,
  "408": `408 Request Timeout\r\n${NOT_RUN}`,
  "unstated 408": "408 Request Timeout\r\n",
  "unstated 503": "503 Service Unavailable\r\n",
  "sealed 200": `200 OK\r\n${SEAL}`,
  "unsealed 200": "200 OK\r\n",
};

/** Id headers of a response that is written once more, by the ids of the earlier and the later request. */
const EXTRA_IDS: Readonly<Record<string, (earlier: string, later: string) => readonly string[]>> = {
  "no id": () => [],
  "the earlier id": (earlier) => [earlier],
  "another id": () => ["other"],
  "an empty id": () => [""],
  "two ids": (earlier, later) => [earlier, later],
  "its id twice": (_earlier, later) => [later, later],
  "its id in capitals": (_earlier, later) => [later.toUpperCase()],
};

function response(head: string, { ids, body }: { ids: readonly string[]; body: string }): string {
  const headers = ids.map((id) => `Ragwortcleat-Request-Id: ${id}\r\n`).join("");
  return `HTTP/1.1 ${head}${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Where the extra bytes stand. */
enum Place {
  WithFirst = "with the first response",
  Idle = "on the idle connection",
  BeforeNext = "before the next response",
  WithinNext = "after the head of the next response",
}

interface IPlay {
  readonly place: Place;
  /** Status line and headers of the first response. */
  readonly firstHead: string;
  readonly makeExtra: (earlier: string, later: string) => string;
}

interface IReply {
  readonly status: number;
  readonly isComplete: boolean;
  readonly text: string;
}

interface ISend {
  readonly kind: string;
  /** First part of the path after the kind. */
  readonly name: string;
  readonly id: string;
}

function send({ kind, name, id }: ISend): Promise<IReply> {
  const headers: Record<string, string> = {
    "Host": "h",
    "Ragwortcleat-Request-Id": id,
    "Ragwortcleat-Deadline-Ms": String(TIMEOUT_MS),
    "Ragwortcleat-Model": "m",
    "Ragwortcleat-Token-Count": "10,44",
  };
  if (kind === "turn") {
    headers["Ragwortcleat-Program"] = id;
    headers["Ragwortcleat-Session"] = id;
    headers["Ragwortcleat-Token-Budget"] = "10000";
  }
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
    const options = { host: HOST, port: CALLER_PORT, path: `/${kind}/${name}/${id}`, headers, agent: false };
    const req = request(options, onResponse);
    req.on("error", () => finish(false)).end();
  });
}

/** Repeats a send until the budgets' owner is ready, so that the test does not depend on the time that this takes. */
async function sendWhenReady(options: ISend): Promise<IReply> {
  while (true) {
    const reply = await send(options);
    if (!reply.text.includes("budget-unavailable")) return reply;
  }
}

let ids = 0;
const nextId = () => `r${++ids}`;

/** The servers; a request's path says what becomes of it. */
class FaultyServers {
  readonly #servers: IRawServer[] = [];
  readonly #refused = new Map<Socket, string>();
  readonly #runs = new Map<string, number>();
  #play: IPlay | undefined;
  #onArrival = () => {};
  #release = () => {};
  /** Whether the last request of a play arrived on a connection with an earlier response. */
  isKept = false;

  get addresses(): readonly string[] {
    return this.#servers.map(({ address }) => address);
  }

  async start(): Promise<void> {
    for (let index = 0; index < SERVERS; index++) {
      this.#servers.push(await startRawServer((req, socket) => this.#reply(req, socket)));
    }
  }

  close(): void {
    for (const server of this.#servers) server.close();
  }

  runsOf(id: string): number {
    return this.#runs.get(id) ?? 0;
  }

  begin(play: IPlay): Promise<void> {
    this.#play = play;
    this.#refused.clear();
    this.isKept = false;
    this.#release = () => {};
    return new Promise((resolve) => this.#onArrival = resolve);
  }

  /** Writes the extra bytes on the connections that carried the first response. */
  writeWhileIdle(later: string): void {
    for (const [socket, earlier] of this.#refused) socket.write(this.#play!.makeExtra(earlier, later));
  }

  #reply(req: string, socket: Socket): IRawReply | undefined {
    const id = /^ragwortcleat-request-id: (.*)\r$/im.exec(req)?.[1] ?? "";
    const name = req.split(" ")[1].split("/")[2];
    this.#runs.set(id, this.runsOf(id) + 1);
    if (name === "first") return this.#replyFirst(id, socket);
    if (name === "later") return this.#replyLater(id, socket);
    this.#release();
    return { bytes: response(`200 OK\r\n${SEAL}`, { ids: [id], body: OWN_BODY }), end: undefined };
  }

  #replyFirst(id: string, socket: Socket): IRawReply {
    const { firstHead, place, makeExtra } = this.#play!;
    this.#refused.set(socket, id);
    const bytes = response(firstHead, { ids: [id], body: "" });
    return { bytes: place === Place.WithFirst ? bytes + makeExtra(id, "") : bytes, end: undefined };
  }

  #replyLater(id: string, socket: Socket): IRawReply | undefined {
    const { place, makeExtra } = this.#play!;
    const earlier = this.#refused.get(socket);
    const own = response(`200 OK\r\n${SEAL}`, { ids: [id], body: OWN_BODY });
    this.isKept = earlier !== undefined;
    this.#onArrival();
    if (earlier === undefined) return { bytes: own, end: undefined };
    const extra = makeExtra(earlier, id);
    if (place === Place.WithinNext) {
      const head = own.slice(0, -OWN_BODY.length);
      socket.write(head);
      this.#release = () => socket.write(extra + OWN_BODY);
    } else {
      socket.write(extra);
      this.#release = () => socket.write(own);
    }
    return undefined;
  }
}

const servers = new FaultyServers();
let stop: () => Promise<void>;

async function start(): Promise<() => Promise<void>> {
  await servers.start();
  const gateway = new SingleGateway({ host: HOST, callerPort: CALLER_PORT });
  gateway.listServers(servers.addresses);
  gateway.publishRoutes(ROUTES, { timeoutMs: TIMEOUT_MS });
  await gateway.start();
  return async () => {
    await gateway.stop();
    servers.close();
  };
}

test.before(async () => {
  stop = await start();
  // The ready owner of the budgets is what takes longest.
  await sendWhenReady({ kind: "turn", name: "plain", id: nextId() });
});
test.after.always(() => stop());

interface IOutcome extends IReply {
  readonly runs: number;
  readonly isKept: boolean;
}

/** Sends a request that the servers answer as the play says, and then one on the connections that this leaves. */
async function run(kind: string, play: IPlay): Promise<IOutcome> {
  const laterId = nextId();
  const arrived = servers.begin(play);
  await sendWhenReady({ kind, name: "first", id: nextId() });
  if (play.place === Place.Idle) servers.writeWhileIdle(laterId);
  const reply = sendWhenReady({ kind, name: "later", id: laterId });
  await Promise.race([arrived, reply]);
  // The gateway reads the extra bytes, which were written before, no later than the bytes of this request.
  await send({ kind: "safe", name: "plain", id: nextId() });
  return { ...await reply, runs: servers.runsOf(laterId), isKept: servers.isKept };
}

for (const { kind } of ROUTES) {
  for (const [headName, head] of Object.entries(EXTRA_HEADS)) {
    const body = head.startsWith("200") ? EXTRA_BODY : "";
    for (const [idName, idsOf] of Object.entries(EXTRA_IDS)) {
      test.serial(`${kind}: ${headName} with ${idName} is not the next request's response`, async (t) => {
        const makeExtra = (earlier: string, later: string) =>
          response(head, { ids: idsOf(earlier, later), body });
        const outcome = await run(kind, {
          place: Place.BeforeNext,
          firstHead: EXTRA_HEADS["503"],
          makeExtra,
        });
        t.like(outcome, { isKept: true, runs: 1, status: 200, isComplete: true, text: OWN_BODY });
      });
    }
    for (const place of [Place.WithFirst, Place.Idle]) {
      test.serial(`${kind}: ${headName} without an id ${place} is no response`, async (t) => {
        const makeExtra = () => response(head, { ids: [], body });
        const outcome = await run(kind, { place, firstHead: EXTRA_HEADS["503"], makeExtra });
        t.like(outcome, { isKept: false, runs: 1, status: 200, isComplete: true, text: OWN_BODY });
      });
    }
    test.serial(`${kind}: ${headName} within the next response is no refusal`, async (t) => {
      const makeExtra = (earlier: string) => response(head, { ids: [earlier], body });
      const outcome = await run(kind, { place: Place.WithinNext, firstHead: EXTRA_HEADS["503"], makeExtra });
      t.like(outcome, { isKept: true, runs: 1 });
      t.false(NOT_RUN_STATUSES.includes(outcome.status), `${outcome.status}`);
    });
  }
  test.serial(`${kind}: informational responses are no response`, async (t) => {
    const makeExtra = (earlier: string) =>
      [[], [earlier]].map((ids) =>
        `HTTP/1.1 103 Early Hints\r\n${NOT_RUN}${ids.map((id) => `Ragwortcleat-Request-Id: ${id}\r\n`)}\r\n`
      ).join("");
    for (const place of [Place.BeforeNext, Place.WithFirst, Place.Idle]) {
      const outcome = await run(kind, { place, firstHead: EXTRA_HEADS["503"], makeExtra });
      t.like(outcome, { runs: 1, status: 200, isComplete: true, text: OWN_BODY }, place);
    }
  });
  test.serial(`${kind}: an extra response and that of the request itself, written at once`, async (t) => {
    const own = (id: string) => response(`200 OK\r\n${SEAL}`, { ids: [id], body: OWN_BODY });
    const makeExtra = (_earlier: string, later: string) =>
      response(EXTRA_HEADS["503"], { ids: [], body: "" }) + own(later);
    const { status, runs } = await run(kind, {
      place: Place.BeforeNext,
      firstHead: EXTRA_HEADS["503"],
      makeExtra,
    });
    t.false(NOT_RUN_STATUSES.includes(status), `${status}`);
    // Only a repeatable request may be sent again.
    t.true(runs === 1 || kind === "safe");
  });
}

// The owner of a program's budget does not grant a turn again that has ended.
for (const kind of ["safe", "unsafe", "stream"]) {
  test.serial(`${kind}: the refusal of an id says nothing of a later request with the same id`, async (t) => {
    const id = nextId();
    const arrived = servers.begin({
      place: Place.BeforeNext,
      firstHead: EXTRA_HEADS["503"],
      makeExtra: () => response(EXTRA_HEADS["503"], { ids: [id], body: "" }),
    });
    t.is((await sendWhenReady({ kind, name: "first", id })).status, 503);
    const runsBefore = servers.runsOf(id);
    const reply = sendWhenReady({ kind, name: "later", id });
    await Promise.race([arrived, reply]);
    await send({ kind: "safe", name: "plain", id: nextId() });
    t.like(await reply, { status: 200, isComplete: true, text: OWN_BODY });
    t.is(servers.runsOf(id) - runsBefore, 1);
  });
}
