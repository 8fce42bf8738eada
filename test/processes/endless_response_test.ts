/** Backend servers whose responses never end: the gateway closes the connection, stays small and serves others. */
import type { ChildProcess } from "node:child_process";
import { fork } from "node:child_process";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { Agent, request } from "node:http";
import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import type { IEndlessServerCounts } from "../stand_ins/endless_main.ts";

const ENDLESS_SERVERS_URL = new URL("../stand_ins/endless_main.js", import.meta.url);
const GATEWAY_URL = new URL("../harness/gateway_main.js", import.meta.url);
const HOST = "127.0.0.31";
const CALLER_PORT = 7421;
const PEER_PORT = 7423;
const POLL_MS = 20;
const MB = 1024 * 1024;
/**
 * Memory of the smallest instance in the users' deployments, less what the bundled gateway uses at ordinary load. The
 * gateway of this test is not bundled, so that only the growth of its memory can be compared.
 */
const MAX_GROWTH_MB = 178 - 54;
/** Largest response that the gateway accepts, plus what the buffers of both ends of a connection may hold. */
const MAX_SENT_BYTES = (1 + 16) * MB;
const REQUESTS_PER_KIND = 2;
/** For how long another instance stands still, in s. */
const FORWARD_S = 5;
const SOUND = "sound";
/** Long enough that no verdict depends on the speed of the machine. */
const SOUND_TIMEOUT_MS = 60_000;
const ENDLESS_TIMEOUT_MS = 3000;
/** Name of the server that refuses requests as not run, in responses without end. */
const NOT_RUN = "not-run-body";
/** Starts a server of sound responses, one for each connection's request. */
async function startSoundServer(): Promise<{ server: Server; address: string }> {
  const server = createServer((socket) => {
    socket.unref();
    socket.on("error", () => {});
    socket.on("data", (data) => {
      const id = /^ragwortcleat-request-id: (.*)\r$/im.exec(data.toString("latin1"))?.[1] ?? "";
      const head = `Ragwortcleat-Request-Id: ${id}\r\nRagwortcleat-Seal: x\r\nContent-Length: 2`;
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\nok`);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** Asks a child process for its report. */
function ask(child: ChildProcess): Promise<unknown> {
  child.send("report");
  return once(child, "message");
}

/** Returns the largest amount of memory that a gateway has used. */
async function peakKbOf(gateway: ChildProcess): Promise<number> {
  const [{ peakKb }] = (await ask(gateway)) as [{ peakKb: number }];
  return peakKb;
}

/** Waits until the gateway has closed all connections to the endless servers; the test times out if it does not. */
async function awaitClosed(servers: ChildProcess): Promise<Record<string, IEndlessServerCounts>> {
  while (true) {
    const [counts] = (await ask(servers)) as [Record<string, IEndlessServerCounts>];
    if (Object.values(counts).every(({ open }) => open === 0)) return counts;
    await sleep(POLL_MS);
  }
}

enum Ending {
  Complete = "complete",
  Broken = "broken",
}

interface IOutcome {
  readonly status: number;
  readonly ending: Ending;
  readonly text: string;
}

const agent = new Agent({ maxSockets: Infinity });
let requestCount = 0;

function send(path: string, timeoutMs = ENDLESS_TIMEOUT_MS): Promise<IOutcome> {
  requestCount += 1;
  const headers = {
    Host: "h",
    "Ragwortcleat-Request-Id": `r${requestCount}`,
    "Ragwortcleat-Deadline-Ms": String(timeoutMs),
    "Ragwortcleat-Model": "m",
    "Ragwortcleat-Token-Count": "10,50",
  };
  return new Promise((resolve) => {
    let status = 0;
    let text = "";
    const broken = () => resolve({ status, ending: Ending.Broken, text });
    const onResponse = (res: IncomingMessage) => {
      status = res.statusCode ?? 0;
      res.on("data", (data) => text += text.length < 200 ? String(data).slice(0, 200) : "");
      res.on("error", broken);
      res.on("close", broken);
      res.on("end", () => res.complete ? resolve({ status, ending: Ending.Complete, text }) : broken());
    };
    request({ host: HOST, port: CALLER_PORT, path, headers, agent }, onResponse).on("error", broken).end();
  });
}

function routeOf(name: string, kind: string) {
  const prefix = `/${kind}/${name}/`;
  const limits = { TimeoutMs: SOUND_TIMEOUT_MS, TargetLatencyMs: 200, Attempts: 2 };
  return { Name: prefix, Host: "h", PathPrefix: prefix, Kind: kind, Service: name, ...limits };
}

function startGateway(addresses: ReadonlyMap<string, string>): Promise<ChildProcess> {
  const names = [...addresses.keys()];
  const kinds = ["safe", "unsafe", "stream"];
  const backends = Object.fromEntries(
    [...addresses].map(([Service, Addr]) => [
      `id-${Service}`,
      { Service, Addr, Zone: "z", Slots: 100, State: "ready", Version: "1", born: 1 },
    ]),
  );
  const configuration = {
    Version: 1,
    Routes: kinds.flatMap((kind) => names.map((name) => routeOf(name, kind))),
    Services: names.map((Name) => ({ Name, MaxConns: 1000 })),
    Limits: { MaxHeaderBytes: 30_000, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 5000, IdleTimeoutMs: 10_000 },
  };
  const settings = {
    instance: "g",
    zone: "z",
    callerAddress: `${HOST}:${CALLER_PORT}`,
    probeAddress: `${HOST}:7422`,
    peerAddress: `${HOST}:${PEER_PORT}`,
    datagramPort: 7424,
    metricsPort: 7425,
    storeAddress: "127.0.0.1:1",
  };
  const child = fork(GATEWAY_URL, { execArgv: ["--max-old-space-size=120", "--max-semi-space-size=8"] });
  child.send({ settings, configuration, backends });
  return once(child, "message").then(() => child);
}

test.serial("responses without end are cut, others are served, and memory stays bounded", async (t) => {
  const endless = fork(ENDLESS_SERVERS_URL);
  const [endlessAddresses] = (await once(endless, "message")) as [Record<string, string>];
  const sound = await startSoundServer();
  const names = Object.keys(endlessAddresses);
  const gateway = await startGateway(new Map([...Object.entries(endlessAddresses), [SOUND, sound.address]]));
  t.teardown(async () => {
    const exits = [endless, gateway].map((child) => once(child, "exit"));
    endless.disconnect();
    gateway.disconnect();
    await Promise.all(exits);
    sound.server.close();
    agent.destroy();
  });
  while ((await send(`/unsafe/${SOUND}/0`, SOUND_TIMEOUT_MS)).status !== 200);
  const idleKb = await peakKbOf(gateway);
  const sending: Promise<void>[] = [];
  for (const name of names) {
    for (const kind of ["safe", "unsafe", "stream"]) {
      for (let index = 0; index < REQUESTS_PER_KIND; index++) {
        const checked = send(`/${kind}/${name}/${index}`).then(({ status, ending, text }) => {
          t.false(status < 300 && ending === Ending.Complete, `${kind} ${name} looks complete: ${text}`);
          t.true(status !== 503 || name === NOT_RUN, `${kind} ${name} was refused as not run: ${text}`);
        });
        sending.push(checked);
      }
    }
    const served = send(`/unsafe/${SOUND}/${name}`, SOUND_TIMEOUT_MS).then(({ status, text }) => {
      t.deepEqual([status, text], [200, "ok"], `beside ${name}`);
    });
    sending.push(served);
  }
  await Promise.all(sending);
  const growthMb = ((await peakKbOf(gateway)) - idleKb) / 1024;
  const counts = await awaitClosed(endless);
  t.log({ growthMb: Math.round(growthMb) });
  t.true(growthMb <= MAX_GROWTH_MB, `memory grew by ${Math.round(growthMb)} MB`);
  for (const name of names) {
    const { connections, maxSentBytes } = counts[name];
    t.true(connections > 0, `${name}: no request arrived`);
    t.true(maxSentBytes <= MAX_SENT_BYTES, `${name}: ${maxSentBytes} bytes were accepted`);
  }
});

/** Asks the gateway to send a request for another instance, which stands still and reads nothing of the response. */
function forwardWithoutReading(server: string, id: string): Socket {
  const socket = connect(PEER_PORT, HOST);
  socket.on("error", () => {});
  socket.pause();
  const forward =
    `x-forward-server: ${server}\r\nx-forward-server-started-at: 1\r\nx-forward-request-id: ${id}\r\n`;
  socket.write(`GET /x HTTP/1.1\r\nHost: h\r\n${forward}Ragwortcleat-Request-Id: ${id}\r\n\r\n`);
  return socket;
}

/** Sends a request as a caller that reads nothing of the response. */
function sendWithoutReading(path: string, id: string): Socket {
  const socket = connect(CALLER_PORT, HOST);
  socket.on("error", () => {});
  socket.pause();
  const headers = `Ragwortcleat-Request-Id: ${id}\r\nRagwortcleat-Deadline-Ms: ${SOUND_TIMEOUT_MS}\r\n`;
  socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n${headers}\r\n`);
  return socket;
}

// Guards against an instance that keeps all bytes of a response without end for another one that does not read them.
test.serial("responses without end that nobody reads do not fill the memory, forwarded ones neither", async (t) => {
  const endless = fork(ENDLESS_SERVERS_URL);
  const [endlessAddresses] = (await once(endless, "message")) as [Record<string, string>];
  const sound = await startSoundServer();
  const gateway = await startGateway(new Map([...Object.entries(endlessAddresses), [SOUND, sound.address]]));
  const sockets: Socket[] = [];
  t.teardown(async () => {
    for (const socket of sockets) socket.destroy();
    const exits = [endless, gateway].map((child) => once(child, "exit"));
    endless.disconnect();
    gateway.disconnect();
    await Promise.all(exits);
    sound.server.close();
    agent.destroy();
  });
  while ((await send(`/unsafe/${SOUND}/0`, SOUND_TIMEOUT_MS)).status !== 200);
  const idleKb = await peakKbOf(gateway);
  for (const name of Object.keys(endlessAddresses)) {
    for (let index = 0; index < REQUESTS_PER_KIND; index++) {
      sockets.push(forwardWithoutReading(`id-${name}`, `f-${name}-${index}`));
      sockets.push(sendWithoutReading(`/stream/${name}/${index}`, `c-${name}-${index}`));
    }
  }
  for (let second = 0; second < FORWARD_S; second++) {
    await sleep(1000);
    const { status, text } = await send(`/unsafe/${SOUND}/${second}`, SOUND_TIMEOUT_MS);
    t.deepEqual([status, text], [200, "ok"]);
  }
  const growthMb = ((await peakKbOf(gateway)) - idleKb) / 1024;
  t.log({ growthMb: Math.round(growthMb) });
  t.true(growthMb <= MAX_GROWTH_MB, `memory grew by ${Math.round(growthMb)} MB`);
});
