/** Crashing requests through two gateways with real connections, datagrams and backend servers on the loopback. */
import type { IncomingMessage } from "node:http";
import { request } from "node:http";
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { Effect, Exit, Scope } from "effect";
import { RequestCodec } from "../../platform/request_codec.ts";
import { PENDING_KEY_PREFIX } from "../../src/call/common/strike_replicator.ts";
import { startGateway } from "../../src/daemon/node/gateway.ts";
import { NullLogger } from "../../src/services/logging/common/logger.ts";
import { parseGatewaySettings } from "../../src/services/settings/common/gateway_validation.ts";
import {
  adapterFor,
  BACKEND_TOPIC,
  CONFIGURATION_KEY,
  CONFIGURATION_TOPIC,
  STRIKE_TOPIC,
} from "../harness/gateway_cluster.ts";
import { PartitionedLogCore } from "../stand_ins/partitioned_log_core.ts";

const HOSTS = ["127.0.0.21", "127.0.0.22"];
const CALLER_PORT = 7411;
const METRICS_PORT = 7415;
const POLL_MS = 20;
/** Attempts after the third crash that the users' rule permits. */
const MAX_LATER_CRASHES = 3;
const MAX_ATTEMPTS = 20;
const CRASHING_PATH = "/r/crashing";

/** Backend server whose process ends, with all its connections, as soon as it reads a crashing request. */
class CrashingBackend {
  readonly id: string;
  readonly #log: PartitionedLogCore;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #port = 0;
  runs = 0;
  crashes = 0;

  constructor(id: string, log: PartitionedLogCore) {
    this.id = id;
    this.#log = log;
  }

  async start(): Promise<void> {
    this.#server = createServer((socket) => this.#accept(socket));
    await new Promise<void>((resolve) => this.#server!.listen(this.#port, "127.0.0.1", resolve));
    this.#port = (this.#server.address() as AddressInfo).port;
    const entry = { Service: "s", Addr: `127.0.0.1:${this.#port}`, Zone: "z", Slots: 8, State: "ready" };
    this.#log.putKey(BACKEND_TOPIC, this.id, Buffer.from(JSON.stringify({ ...entry, born: Date.now() })));
  }

  stop(): void {
    this.#server?.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#sockets.clear();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("data", (data) => this.#serve(socket, data.toString("latin1")));
  }

  #serve(socket: Socket, text: string): void {
    if (text.startsWith(`GET ${CRASHING_PATH} `)) {
      this.crashes += 1;
      this.stop();
      void this.start();
      return;
    }
    this.runs += 1;
    const id = /^ragwortcleat-request-id: (.*)\r$/im.exec(text)?.[1] ?? "";
    const head = `Ragwortcleat-Request-Id: ${id}\r\nRagwortcleat-Seal: x\r\nContent-Length: 2`;
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\nok`);
  }
}

async function start(host: string, log: PartitionedLogCore): Promise<Scope.Closeable> {
  const settings = parseGatewaySettings(
    JSON.stringify({
      instance: host,
      zone: "z",
      callerAddress: `${host}:${CALLER_PORT}`,
      probeAddress: `${host}:7412`,
      peerAddress: `${host}:7413`,
      datagramPort: 7414,
      metricsPort: METRICS_PORT,
      storeAddress: "127.0.0.1:1",
    }),
    host,
  );
  const adapter = adapterFor(log);
  const platform = { adapter, codec: new RequestCodec(), logger: new NullLogger(), droppedLogLines: () => 0 };
  const scope = await Effect.runPromise(Scope.make());
  await Effect.runPromise(Scope.provide(startGateway(settings, platform), scope));
  return scope;
}

function stop(scope: Scope.Closeable): Promise<void> {
  return Effect.runPromise(Scope.close(scope, Exit.void));
}

let requestCount = 0;

function get(
  host: string,
  { port = CALLER_PORT, path = "/" } = {},
): Promise<{ status: number; text: string }> {
  requestCount += 1;
  const headers = { Host: "h", "Ragwortcleat-Request-Id": `r${requestCount}` };
  return new Promise((resolve, reject) => {
    const onResponse = (res: IncomingMessage) => {
      let text = "";
      res.on("data", (chunk) => text += chunk);
      res.on("end", () => resolve({ status: res.statusCode ?? 0, text }));
    };
    request({ host, port, path, headers, agent: false }, onResponse).on("error", reject).end();
  });
}

/** Waits until all gateways know a number of strikes and the first list of servers. */
async function waitForStrikes(count: number): Promise<void> {
  for (const host of HOSTS) {
    while (true) {
      const { text } = await get(host, { port: METRICS_PORT });
      const strikes = Number(/^ragwortcleat_strikes_known (\d+)$/m.exec(text)?.[1]);
      const backends = Number(/^ragwortcleat_backends_known (\d+)$/m.exec(text)?.[1]);
      if (strikes >= count && backends > 0) break;
      await sleep(POLL_MS);
    }
  }
}

/** Number of strikes in the store; the topic also holds pending ones, which a restarted gateway does not count. */
async function countStoredStrikes(log: PartitionedLogCore): Promise<number> {
  const { items } = await Effect.runPromise(log.readLatestValues(STRIKE_TOPIC));
  return items.filter(({ key }) => !key.startsWith(PENDING_KEY_PREFIX)).length;
}

const CONFIGURATION = {
  Version: 1,
  Routes: [{ Name: "r", Host: "h", PathPrefix: "/r/", Kind: "unsafe", TimeoutMs: 3000, Service: "s" }],
  Services: [{ Name: "s", MaxConns: 100 }],
  Limits: { MaxHeaderBytes: 30_000, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 5000, IdleTimeoutMs: 10_000 },
};

test("a crashing request without caller is refused by both gateways, also after a restart of both", async (t) => {
  const log = new PartitionedLogCore();
  log.putKey(CONFIGURATION_TOPIC, CONFIGURATION_KEY, Buffer.from(JSON.stringify(CONFIGURATION)));
  const backends = ["b0", "b1", "b2", "b3", "b4", "b5"].map((id) => new CrashingBackend(id, log));
  for (const backend of backends) await backend.start();
  const crashes = () => backends.reduce((sum, backend) => sum + backend.crashes, 0);
  /** Sends the crashing request, each time after all gateways know of its crashes, until it is refused. */
  const sendUntilRefused = async (hosts: readonly string[], knownCrashes: number) => {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      await waitForStrikes(Math.min(knownCrashes + crashes(), 3));
      const response = await get(hosts[attempt % hosts.length], { path: CRASHING_PATH });
      if (response.status === 503) return response;
    }
    throw new Error(`the request was not refused after ${crashes()} crashes`);
  };
  let scopes = await Promise.all(HOSTS.map((host) => start(host, log)));
  await waitForStrikes(0);
  const refusal = await sendUntilRefused(HOSTS, 0);
  t.true(refusal.text.includes("crashing-request"));
  const crashesBefore = crashes();
  t.true(crashesBefore >= 3);
  // A request's first strike is written a second after the crash.
  while (await countStoredStrikes(log) < 3) await sleep(POLL_MS);
  await Promise.all(scopes.map(stop));
  scopes = await Promise.all(HOSTS.map((host) => start(host, log)));
  await waitForStrikes(3);
  for (const host of HOSTS) {
    while ((await get(host, { path: "/r/other" })).status !== 200) await sleep(POLL_MS);
    await sendUntilRefused([host], 3);
  }
  t.true(crashes() <= crashesBefore + MAX_LATER_CRASHES);
  await Promise.all(scopes.map(stop));
  for (const backend of backends) backend.stop();
});
