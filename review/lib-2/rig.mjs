/** Starts a small deployment for a case: store, runners, gateways as processes, and callers; writes the record. */
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { createServer as createTcpServer } from "node:net";
import { Store } from "./store.mjs";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
const HEARTBEAT_MS = 1200;
const START_TIMEOUT_MS = 20_000;

export const hasTrouble = process.env.TROUBLE !== "0";
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const newId = () => randomBytes(8).toString("hex");

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

export class Record {
  #lines = [];
  #startedAtMs = performance.now();

  add(text) {
    this.#lines.push(`${((performance.now() - this.#startedAtMs) / 1000).toFixed(3).padStart(8)} ${text}`);
  }

  write(path) {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}

/** A runner; `serve` answers a request, `runs` lists what began to run. */
export class Runner {
  runs = [];
  #sockets = new Set();

  constructor({ service, slots = 16, host = "127.0.0.1", serve }) {
    this.id = `i-${randomBytes(4).toString("hex")}`;
    this.service = service;
    this.slots = slots;
    this.host = host;
    this.serve = serve;
    this.born = Date.now();
  }

  async listen() {
    this.server = createServer((req, res) => {
      const chunks = [];
      req.on("data", (chunk) => chunks.push(chunk));
      req.on("error", () => {});
      res.on("error", () => {});
      req.on("end", () => this.#handle(req, res, Buffer.concat(chunks)));
    });
    this.server.keepAliveTimeout = 30_000;
    this.server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((done) => this.server.listen(0, this.host, done));
    this.port = this.server.address().port;
  }

  #handle(req, res, body) {
    const id = req.headers["ragwortcleat-request-id"];
    const expected = req.headers["ragwortcleat-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { "ragwortcleat-instance": this.id, "content-length": 0 });
      return void res.end();
    }
    if (id === undefined) {
      res.writeHead(400, { "ragwortcleat-not-run": "1", "content-length": 0 });
      return void res.end();
    }
    const run = { id, target: req.url, headers: req.headers, body, events: 0 };
    this.runs.push(run);
    this.serve({ req, res, body, run, runner: this, own: { "ragwortcleat-request-id": id, "ragwortcleat-seal": sealOf(this.id, id) } });
  }

  get entry() {
    const { service, host, port, slots, born } = this;
    return { Service: service, Addr: `${host}:${port}`, Zone: "z-a", Version: "v1", Slots: slots, State: "ready", ColdLeftMs: 0, Seq: 1, born };
  }

  close() {
    for (const socket of this.#sockets) socket.destroy();
    this.server.close();
  }
}

function sealOf(runnerId, requestId) {
  return `${runnerId.slice(2, 6)}.${requestId.slice(0, 8)}`;
}

async function freePort(host) {
  const server = createTcpServer();
  await new Promise((done) => server.listen(0, host, done));
  const { port } = server.address();
  await new Promise((done) => server.close(done));
  return port;
}

export class Deployment {
  runners = [];
  gateways = [];
  #heartbeats = [];

  constructor(record) {
    this.record = record;
    this.dir = mkdtempSync(join(tmpdir(), "review-2-"));
    this.store = new Store();
  }

  async start({ configuration, runners, gateways, storeAddressOf = async () => this.store.address }) {
    await this.store.listen("127.0.0.1");
    this.store.putKey("keyed.op", "config", JSON.stringify(configuration));
    for (const runner of runners) await this.addRunner(runner);
    const ports = { front: await freePort("127.0.0.1"), ready: 0, control: 0, datagram: 0, metrics: 0 };
    for (const name of ["ready", "control", "datagram", "metrics"]) ports[name] = await freePort("127.0.0.1");
    const hosts = Array.from({ length: gateways }, (_, index) => `127.0.0.${11 + index}`);
    for (const [index, host] of hosts.entries()) {
      this.#startGateway({ host, ports, index, seeds: hosts.slice(0, 3), storeAddress: await storeAddressOf(index, this.store.address) });
    }
    const deadline = performance.now() + START_TIMEOUT_MS;
    for (const gateway of this.gateways) {
      while (!(await isReady(gateway))) {
        if (performance.now() > deadline) throw new Error(`${gateway.name} is not ready`);
        await sleep(100);
      }
    }
    // The slices are dealt to all instances.
    await sleep(3000);
  }

  async addRunner(runner) {
    await runner.listen();
    this.runners.push(runner);
    const renew = () => this.store.putKey("keyed.servers", runner.id, JSON.stringify(runner.entry));
    renew();
    runner.heartbeat = setInterval(renew, HEARTBEAT_MS);
    this.#heartbeats.push(runner.heartbeat);
  }

  /** Removes the entry of a runner that leaves without draining first; it goes on serving. */
  removeRunner(runner) {
    clearInterval(runner.heartbeat);
    this.store.putKey("keyed.servers", runner.id, "");
  }

  #startGateway({ host, ports, index, seeds, storeAddress }) {
    const name = `edge-z-a-${index + 1}`;
    const settings = {
      instance: name,
      zone: "z-a",
      callerAddress: `${host}:${ports.front}`,
      probeAddress: `${host}:${ports.ready}`,
      peerAddress: `${host}:${ports.control}`,
      datagramPort: ports.datagram,
      metricsPort: ports.metrics,
      storeAddress,
      storeParts: 8,
      seeds: seeds.map((seed) => `${seed}:${ports.control}`),
      backendHeartbeatMs: HEARTBEAT_MS,
      allotmentSlackRequests: 0,
      stopGraceS: 8,
    };
    const path = join(this.dir, `${name}.jsonc`);
    writeFileSync(path, JSON.stringify(settings));
    const gateway = { name, host, port: ports.front, readyPort: ports.ready, path, lines: [], isUp: true };
    this.gateways.push(gateway);
    this.spawnGateway(gateway);
  }

  /** Starts a process of an instance with the command of the deploy file. */
  spawnGateway(gateway) {
    const [program, ...args] = runCommand();
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.dir, RAGWORTCLEAT_CONFIG: gateway.path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    gateway.child = child;
    gateway.isUp = true;
    let rest = "";
    child.stdout.on("data", (chunk) => {
      const lines = (rest + chunk).split("\n");
      rest = lines.pop();
      gateway.lines.push(...lines);
    });
    child.stderr.on("data", (chunk) => this.record.add(`${gateway.name} stderr: ${String(chunk).trim().slice(0, 300)}`));
    child.on("exit", (code, signal) => {
      gateway.isUp = false;
      this.record.add(`${gateway.name} (pid ${child.pid}) ended: code ${code}, signal ${signal}`);
    });
    this.record.add(`${gateway.name} started, pid ${child.pid}`);
  }

  /** Log lines of the instances with one of the events. */
  events(...names) {
    return this.gateways.flatMap(({ name, lines }) =>
      lines.filter((line) => names.some((event) => line.includes(`"event":"${event}"`))).map((line) => `${name}: ${line}`)
    );
  }

  async stop() {
    for (const timer of this.#heartbeats) clearInterval(timer);
    for (const { child } of this.gateways) child.kill("SIGKILL");
    await sleep(200);
    for (const runner of this.runners) runner.close();
    this.store.close();
    rmSync(this.dir, { recursive: true, force: true });
  }
}

/** The command of the role in the deploy file. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

function isReady({ host, readyPort }) {
  return new Promise((done) => {
    const req = request({ host, port: readyPort, path: "/-/ready", agent: false }, (res) => {
      res.resume();
      done(res.statusCode === 200);
    });
    req.on("error", () => done(false));
    req.end();
  });
}

/** A caller's channels, which it keeps open for many requests. */
export function newAgent() {
  return new Agent({ keepAlive: true, maxSockets: Infinity });
}

/**
 * Sends one attempt; returns the status, the headers, the body, whether the body is whole, and whether the caller's patience
 * ended it.
 */
export function send(gateway, { path, method = "POST", headers = {}, body = "", agent, timeoutMs = 10_000, host = "app.example", id = newId() }) {
  return new Promise((done) => {
    const startedAtMs = performance.now();
    const result = { id, status: 0, headers: {}, body: "", isWhole: false, error: undefined, isTimedOut: false };
    let isDone = false;
    const finish = () => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      result.tookMs = Math.round(performance.now() - startedAtMs);
      done(result);
    };
    const req = request({
      host: gateway.host,
      port: gateway.port,
      method,
      path,
      agent,
      headers: { host, "ragwortcleat-request-id": id, "content-length": Buffer.byteLength(body), ...headers },
    }, (res) => {
      result.status = res.statusCode;
      result.headers = res.headers;
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("error", (err) => result.error = err.code ?? err.message);
      res.on("end", () => result.isWhole = res.complete);
      res.on("close", () => {
        result.body = Buffer.concat(chunks).toString();
        finish();
      });
    });
    const timer = setTimeout(() => {
      result.isTimedOut = true;
      req.destroy();
      finish();
    }, timeoutMs);
    req.on("error", (err) => {
      result.error ??= err.code ?? err.message;
      finish();
    });
    req.end(body);
  });
}

/** Runs a case and exits with its result. */
export async function runCase(recordPath, body) {
  const record = new Record();
  const deployment = new Deployment(record);
  record.add(`TROUBLE=${hasTrouble ? 1 : 0}`);
  let code = COULD_NOT_RUN;
  try {
    code = await body({ record, deployment });
  } catch (err) {
    record.add(`the case could not run: ${err.stack}`);
  } finally {
    await deployment.stop().catch((err) => record.add(`stop: ${err.message}`));
  }
  record.add(code === HELD ? "the rule held" : code === BROKEN ? "the rule was broken" : "the case could not run");
  record.write(recordPath);
  process.exit(code);
}
