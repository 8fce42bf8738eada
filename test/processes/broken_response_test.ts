/**
 * Backend servers whose responses have no length and break off, behind a whole gateway on real sockets: callers see that the
 * response is not complete, and nothing that is kept across requests counts it as such.
 */
import type { IncomingMessage } from "node:http";
import { request } from "node:http";
import test from "ava";
import type { LogLine } from "../harness/single_gateway.ts";
import { SingleGateway } from "../harness/single_gateway.ts";
import type { IRawReply, IRawServer } from "../stand_ins/raw_server.ts";
import { ConnectionEnd, startRawServer } from "../stand_ins/raw_server.ts";

const HOST = "127.0.0.32";
const CALLER_PORT = 7441;
/** Long enough that no verdict depends on the speed of the machine. */
const TIMEOUT_MS = 60_000;
const TOKENS_PER_EVENT = 22;
const WHOLE = "whole";

/** Bytes of a body and how its connection ends, by the first part of the request's path after its kind. */
const BODIES: Readonly<Record<string, readonly [string, ConnectionEnd]>> = {
  "reset-before-body": ["", ConnectionEnd.Reset],
  "reset-after-event": ["id: 1\ndata: a\n\n", ConnectionEnd.Reset],
  "reset-within-event": ["id: 1\ndata: a\n\nid: 2\nda", ConnectionEnd.Reset],
  "closed-within-event": ["id: 1\ndata: a\n\nid: 2\nda", ConnectionEnd.Closed],
  "closed-before-event": ["", ConnectionEnd.Closed],
};
const WHOLE_BODY = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const ROUTES = [
  { kind: "safe", Kind: "safe" },
  { kind: "unsafe", Kind: "unsafe" },
  { kind: "stream", Kind: "stream" },
  { kind: "kept", Kind: "stream", RetainS: 60, KeepContext: true },
];
const STREAMS = new Set(["stream", "kept"]);

interface IReply {
  readonly status: number;
  readonly isComplete: boolean;
  readonly text: string;
}

interface ISend {
  readonly id: string;
  readonly program?: string;
  readonly previousTurn?: string;
  readonly budgetTokens?: number;
}

function send(path: string, { id, program, previousTurn, budgetTokens = 10_000 }: ISend): Promise<IReply> {
  const headers: Record<string, string> = {
    "Host": "h",
    "Ragwortcleat-Request-Id": id,
    "Ragwortcleat-Deadline-Ms": String(TIMEOUT_MS),
    "Ragwortcleat-Model": "m",
    "Ragwortcleat-Token-Count": "10,44",
  };
  if (program !== undefined) {
    headers["Ragwortcleat-Program"] = program;
    headers["Ragwortcleat-Session"] = program;
    headers["Ragwortcleat-Token-Budget"] = String(budgetTokens);
  }
  if (previousTurn !== undefined) headers["Ragwortcleat-Previous-Turn"] = previousTurn;
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
    const req = request({ host: HOST, port: CALLER_PORT, path, headers, agent: false }, onResponse);
    req.on("error", () => finish(false)).end();
  });
}

function replyTo(req: string, seen: string[]): IRawReply {
  const id = /^ragwortcleat-request-id: (.*)\r$/im.exec(req)?.[1] ?? "";
  const name = req.split(" ")[1].split("/")[2];
  seen.push(name);
  const head = `HTTP/1.1 200 OK\r\nRagwortcleat-Request-Id: ${id}\r\nRagwortcleat-Seal: x\r\n\r\n`;
  const [body, end] = BODIES[name] ?? [WHOLE_BODY, ConnectionEnd.Closed];
  return { bytes: `${head}${body}`, end };
}

interface IRunningGateway {
  /** Path and name of each request that a server received, in order. */
  readonly seen: readonly string[];
  linesOf(event: string): readonly LogLine[];
  stop(): Promise<void>;
}

async function start(): Promise<IRunningGateway> {
  const seen: string[] = [];
  const servers: IRawServer[] = [];
  for (let index = 0; index < 8; index++) {
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

let gateway: IRunningGateway;
test.before(async () => gateway = await start());
test.after.always(() => gateway.stop());

for (const name of Object.keys(BODIES)) {
  const [, end] = BODIES[name];
  for (const { kind } of ROUTES) {
    // A plain response is complete when its connection ends, whatever its bytes are.
    if (!STREAMS.has(kind) && end === ConnectionEnd.Closed) continue;
    test.serial(`${kind}: a response that is ${name} does not look complete`, async (t) => {
      const path = `/${kind}/${name}/${nextId()}`;
      const reply = kind === "kept"
        ? await sendTurn(path, { program: `p-${name}` })
        : await send(path, { id: nextId() });
      t.false(reply.status === 200 && reply.isComplete, `${reply.status} ${reply.text}`);
      t.not(reply.status, 503, "it may have run");
      const failures = gateway.linesOf("backend-failed").filter(({ target }) => target === path);
      t.is(failures.length, kind === "safe" ? 2 : 1);
      for (const { fault, framing } of failures) t.deepEqual([fault, framing], ["broken", "connection"]);
    });
  }
}

for (const { kind } of ROUTES) {
  test.serial(`${kind}: a whole response without a length reaches its caller`, async (t) => {
    const path = `/${kind}/${WHOLE}/${nextId()}`;
    const reply = kind === "kept"
      ? await sendTurn(path, { program: "p-whole" })
      : await send(path, { id: nextId() });
    t.deepEqual([reply.status, reply.isComplete, reply.text], [200, true, WHOLE_BODY]);
  });
}

test.serial("a turn that broke off is not stored, and one that ended is", async (t) => {
  const program = "p-stored";
  const first = await sendTurn(`/kept/${WHOLE}/a`, { program });
  const broken = await sendTurn(`/kept/reset-after-event/b`, { program, previousTurn: first.id });
  t.false(broken.isComplete);
  const continued = await sendTurn(`/kept/${WHOLE}/c`, { program, previousTurn: first.id });
  t.is(continued.status, 200);
  const afterBroken = await sendTurn(`/kept/${WHOLE}/d`, { program, previousTurn: broken.id });
  t.is(afterBroken.status, 503);
});

test.serial("only the events that arrived count against a program's budget", async (t) => {
  // Two turns of 44 tokens, after one event of a broken one.
  const budget = { program: "p-budget", budgetTokens: 3 * 44 };
  t.false((await sendTurn(`/kept/reset-after-event/e`, budget)).isComplete);
  t.is((await sendTurn(`/kept/${WHOLE}/f`, budget)).status, 200);
  t.is((await sendTurn(`/kept/${WHOLE}/g`, budget)).status, 200);
  t.is((await sendTurn(`/kept/${WHOLE}/h`, budget)).status, 402);
});

test.serial("a request whose responses break off has strikes, and no success withdraws them", async (t) => {
  const path = "/safe/reset-within-event/struck";
  await send(path, { id: nextId() });
  await send(path, { id: nextId() });
  const ofPath = gateway.linesOf("backend-failed").filter(({ target }) => target === path);
  t.true(ofPath.length >= 3);
  const { fingerprint } = ofPath[0];
  const isSame = (line: LogLine) => line.fingerprint === fingerprint;
  t.is(gateway.linesOf("strike-added").filter(isSame).length, ofPath.length);
  t.is(gateway.linesOf("strike-withdrawn").filter(isSame).length, 0);
});
