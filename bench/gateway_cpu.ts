/**
 * Measures the processor time of gateway processes: start until ready, idle, and per request of each kind, cold and
 * warm. Several bundles are measured in turn, so that their figures can be compared under the same load of the machine.
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, openSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { cac } from "cac";
import { renderTable } from "../src/cli/common/output.ts";
import { StoreFake } from "./gateway_cpu/store_fake.ts";

const SERVERS_PER_SERVICE = 24;
const HEARTBEAT_MS = 1200;
const COLD_REQUESTS = 50;
const IDLE_MS = 6000;
/** Node options of the gateways on the platform. */
const NODE_FLAGS = ["--max-old-space-size=120", "--max-semi-space-size=8"];
/** Further ones, such as those for a profile, which is written at an orderly stop. */
const GATEWAY_FLAGS = (process.env.GATEWAY_FLAGS ?? "").split(" ").filter((flag) => flag !== "");
/** Time after which the group's assignment no longer changes. */
const SETTLING_MS = 2500;
/** Each probe costs the gateway processor time as well. */
const READY_POLL_MS = 100;
const CALLER_PORT = 7541;
const KINDS = ["safe", "unsafe", "stream", "turn", "history"] as const;
type Kind = typeof KINDS[number];

/** Kinds that are turns of a program with a budget; those of the last one continue from earlier ones. */
const TURN_KINDS: ReadonlySet<Kind> = new Set(["turn", "history"]);
const ENGINE_KINDS: ReadonlySet<Kind> = new Set(["stream", ...TURN_KINDS]);
const MAX_SESSION_TURNS = 6;

const ROUTES = KINDS.map((kind) => ({
  Name: kind,
  Host: "h",
  PathPrefix: `/${kind}/`,
  Service: ENGINE_KINDS.has(kind) ? "engines" : "plain",
  TimeoutMs: 30_000,
  TargetLatencyMs: 1000,
  Attempts: 2,
  Kind: TURN_KINDS.has(kind) ? "stream" : kind,
  ...(TURN_KINDS.has(kind) ? { RetainS: 60, KeepContext: true } : {}),
}));
const CONFIGURATION = {
  Version: 1,
  Routes: ROUTES,
  Services: [
    { Name: "engines", MaxConns: 100, Engine: { Slots: 16, KvCapacity: 100_000, TokensPerEvent: 22 } },
    { Name: "plain", MaxConns: 100 },
  ],
  Limits: { MaxHeaderBytes: 30_000, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 5000, IdleTimeoutMs: 10_000 },
};

interface IOptions {
  readonly bundles: string;
  readonly instances: string | number;
  readonly requests: number;
  readonly rounds: number;
  readonly kinds: string;
}

interface IMeasurement {
  readonly count: number;
  readonly requests: number;
  readonly kinds: readonly Kind[];
  /** First three numbers of the addresses of the gateways. */
  readonly subnet: string;
}

interface IGateway {
  readonly host: string;
  readonly child: ChildProcess;
}

/** Processor time of all threads of a process, in ms. */
function cpuMs(pid: number): number {
  const tasks = `/proc/${pid}/task`;
  const ns = readdirSync(tasks).map((tid) =>
    Number(readFileSync(`${tasks}/${tid}/schedstat`, "utf8").split(" ")[0])
  );
  return ns.reduce((sum, value) => sum + value, 0) / 1e6;
}

async function startServer(service: string): Promise<string> {
  const server = createServer((req, res) => {
    req.resume().on("end", () => {
      const head = {
        "Ragwortcleat-Request-Id": req.headers["ragwortcleat-request-id"],
        "Ragwortcleat-Seal": "x",
      };
      if (service === "plain") return res.writeHead(200, { ...head, "Content-Length": 2 }).end("ok");
      res.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
      let event = 0;
      const timer = setInterval(() => {
        res.write(`id: ${++event}\ndata: {"text":"abcdefgh"}\n\n`);
        if (event < 10) return;
        clearInterval(timer);
        res.end();
      }, 2);
    });
  });
  server.keepAliveTimeout = 30_000;
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

let requestCount = 0;

/** The instance that receives a request, and its callers' state. */
interface IReceiver {
  readonly host: string;
  readonly agent: Agent;
  /** The last completed turn of each program, and its place in its session. */
  readonly sessions: Map<string, { readonly lastTurn: string; readonly turns: number }>;
}

function send(kind: Kind, { host, agent, sessions }: IReceiver): Promise<number> {
  const id = `r${++requestCount}`;
  const program = `p${requestCount % 20}`;
  const headers: Record<string, string> = {
    "Host": "h",
    "Ragwortcleat-Request-Id": id,
    "Ragwortcleat-Deadline-Ms": "30000",
    "Ragwortcleat-Program": program,
    "Ragwortcleat-Session": program,
  };
  if (ENGINE_KINDS.has(kind)) {
    headers["Ragwortcleat-Model"] = "m";
    headers["Ragwortcleat-Token-Count"] = "400,440";
    headers["Ragwortcleat-Prompt-Prefix"] = `${program}-a:200,${program}-b:200`;
  }
  if (TURN_KINDS.has(kind)) headers["Ragwortcleat-Token-Budget"] = "100000000";
  const session = sessions.get(program);
  const previous = session === undefined || session.turns === MAX_SESSION_TURNS ? undefined : session;
  if (kind === "history" && previous !== undefined) headers["Ragwortcleat-Previous-Turn"] = previous.lastTurn;
  const body = `{"n":${requestCount}}`;
  headers["Content-Length"] = String(body.length);
  return new Promise((resolve, reject) => {
    const opts = { host, port: CALLER_PORT, path: `/${kind}/${id}`, method: "POST", headers, agent };
    const req = request(
      opts,
      (res) =>
        res.resume().on("error", reject).on("end", () => {
          if (kind === "history") sessions.set(program, { lastTurn: id, turns: (previous?.turns ?? 0) + 1 });
          resolve(res.statusCode!);
        }),
    );
    req.on("error", reject).end(body);
  });
}

/** Starts gateways one after the other; returns them and the mean processor time until they are ready. */
async function startGateways(
  bundle: string,
  { count, store, dir, subnet }: { count: number; store: string; dir: string; subnet: string },
): Promise<{ gateways: IGateway[]; startMs: number }> {
  const gateways: IGateway[] = [];
  let startMs = 0;
  for (let index = 0; index < count; index++) {
    const host = `${subnet}.${index + 1}`;
    const path = join(dir, `${index}.json`);
    const settings = {
      instance: `g${index}`,
      zone: `z${index % 3}`,
      callerAddress: `${host}:${CALLER_PORT}`,
      probeAddress: `${host}:7542`,
      peerAddress: `${host}:7543`,
      datagramPort: 7544,
      metricsPort: 7545,
      storeAddress: store,
      seeds: [`${subnet}.1:7543`],
    };
    writeFileSync(path, JSON.stringify(settings));
    const log = openSync(join(dir, "log"), "a");
    const child = spawn(process.execPath, [...NODE_FLAGS, ...GATEWAY_FLAGS, bundle], {
      env: { ...process.env, RAGWORTCLEAT_CONFIG: path },
      stdio: ["ignore", log, log],
    });
    process.on("exit", () => child.kill("SIGKILL"));
    gateways.push({ host, child });
    while ((await fetch(`http://${host}:7542/`).catch(() => undefined))?.status !== 200) {
      if (child.exitCode !== null) throw new Error(readFileSync(join(dir, "log"), "utf8"));
      await delay(READY_POLL_MS);
    }
    startMs += cpuMs(child.pid!);
  }
  return { gateways, startMs: startMs / count };
}

async function measure(
  bundle: string,
  { count, requests, kinds, subnet }: IMeasurement,
): Promise<Map<string, number>> {
  const dir = mkdtempSync(join(tmpdir(), "gateway-cpu-"));
  const store = new StoreFake();
  const { core } = store;
  const address = await store.listen();
  core.putKey("keyed.op", "config", Buffer.from(JSON.stringify(CONFIGURATION)));
  const heartbeat = () => {
    for (const { id, entry } of servers) core.putKey("keyed.servers", id, entry);
  };
  heartbeat();
  const heartbeats = setInterval(heartbeat, HEARTBEAT_MS);
  const results = new Map<string, number>();
  const { gateways, startMs } = await startGateways(bundle, { count, store: address, dir, subnet });
  const total = () => gateways.reduce((sum, { child }) => sum + cpuMs(child.pid!), 0);
  results.set("start [ms]", startMs);
  await delay(SETTLING_MS);
  const beforeIdle = total();
  await delay(IDLE_MS);
  results.set("idle [ms/s]", (total() - beforeIdle) / count / (IDLE_MS / 1000));
  const agent = new Agent({ keepAlive: true });
  const sessions: IReceiver["sessions"] = new Map();
  let failed = 0;
  for (const [phase, amount] of [["cold", COLD_REQUESTS], ["warm", requests]] as const) {
    for (const kind of kinds) {
      const before = total();
      const startedAtMs = Date.now();
      let sent = 0;
      const caller = async () => {
        while (sent < amount) {
          const { host } = gateways[sent++ % gateways.length];
          const status = await send(kind, { host, agent, sessions }).catch(() => 0);
          if (status !== 200) failed += 1;
        }
      };
      await Promise.all(Array.from({ length: 8 }, caller));
      const idleMs = results.get("idle [ms/s]")! * count * (Date.now() - startedAtMs) / 1000;
      results.set(`${phase} ${kind} [ms]`, (total() - before - idleMs) / amount);
    }
  }
  results.set("failed", failed);
  agent.destroy();
  clearInterval(heartbeats);
  for (const { child } of gateways) {
    const ended = once(child, "exit");
    child.kill(GATEWAY_FLAGS.length === 0 ? "SIGKILL" : "SIGTERM");
    await ended;
  }
  store.dispose();
  rmSync(dir, { recursive: true });
  return results;
}

process.setMaxListeners(0);

const servers: { id: string; entry: Buffer }[] = [];

// A run that is ended early leaves no gateways behind.
for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => process.exit(1));

async function main({ bundles, instances, requests, rounds, kinds }: IOptions): Promise<void> {
  for (const service of ["plain", "engines"]) {
    for (let index = 0; index < SERVERS_PER_SERVICE; index++) {
      const entry = {
        Service: service,
        Addr: await startServer(service),
        Zone: `z${index % 3}`,
        Slots: 16,
        State: "ready",
        Version: "1",
        born: 1,
      };
      servers.push({ id: `${service}-${index}`, entry: Buffer.from(JSON.stringify(entry)) });
    }
  }
  const paths = bundles.split(",");
  for (const count of String(instances).split(",").map(Number)) {
    const sums = paths.map(() => new Map<string, number[]>());
    for (let round = 0; round < rounds; round++) {
      // All bundles run at the same time, so that they are under the same load of the machine.
      const results = await Promise.all(
        paths.map((bundle, index) =>
          measure(bundle, { count, requests, kinds: kinds.split(",") as Kind[], subnet: subnetOf(index) })
        ),
      );
      results.forEach((figures, index) => {
        for (const [name, value] of figures) {
          sums[index].set(name, [...sums[index].get(name) ?? [], value]);
        }
      });
      // Each round prints the medians so far, so that a run that is ended early has a result.
      const rows = [...sums[0].keys()].map((name) => {
        const values = sums.map((sum) => median(sum.get(name)!));
        const columns = values.map((value, index) => [`bundle ${index + 1}`, value.toFixed(3)]);
        const ratio = values.length < 2 ? [] : [["ratio", (values[1] / values[0]).toFixed(3)]];
        return {
          instances: String(count),
          rounds: String(round + 1),
          figure: name,
          ...Object.fromEntries([...columns, ...ratio]),
        };
      });
      console.log(renderTable(rows));
    }
  }
  process.exit(0);
}

/** Several runs of this program can go on at the same time. */
function subnetOf(index: number): string {
  return `127.${1 + process.pid % 250}.${index}`;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

const cli = cac("npm run bench:gateway_cpu --");
cli.command("", "Measure the processor time of gateway processes")
  .option("--bundles <paths>", "Bundles to compare, separated by commas", {
    default: "target/ragwortcleat.mjs",
  })
  .option("--instances <counts>", "Numbers of instances, separated by commas", { default: "1,4,12" })
  .option("--requests <count>", "Warm requests of each kind", { default: 1000 })
  .option("--kinds <kinds>", "Kinds of requests, separated by commas", { default: KINDS.join(",") })
  .option("--rounds <count>", "Repetitions, of which the median is printed", { default: 3 })
  .action(main);
cli.help();
cli.parse();
