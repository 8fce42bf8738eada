// Starts a small deployment: gateways as separate processes with the command and the settings template of the deploy file, and
// stand-ins of the store, the servers and the callers in this process. All addresses are loopback addresses.
import { spawn } from "node:child_process";
import fs from "node:fs";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

export const ROOT = fileURLToPath(new URL("../..", import.meta.url));
export const hasTrouble = process.env.TROUBLE !== "0";
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const STORE_HOST = "127.0.0.1";
const BEAT_MS = 1200;
/** Time beyond its time budget for which a consumer waits for an answer. */
const PATIENCE_MS = 3000;

/** Values of the settings that the platform fills in, as `fleetbench wire` shows them for the site. */
const BOUNDS = { StableMs: 3000, DrainMs: 2000, GraceS: 8, LossSlackMs: 200, ApplyMs: 2000, RecoverS: 12 };

/** Fills in the settings template as DEPLOY.md describes: values, JSON values and sections. */
function render(text, fields) {
  const valueOf = (name) => name.split(".").reduce((value, key) => value?.[key], fields);
  const isSet = (name) => ![undefined, false, null].includes(valueOf(name));
  return text
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g, (_, name, inner) => isSet(name) ? inner : "")
    .replace(/\{\{\^([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g, (_, name, inner) => isSet(name) ? "" : inner)
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, name) => JSON.stringify(valueOf(name)))
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
      const value = valueOf(name);
      return value === undefined ? "" : Array.isArray(value) ? value.join(",") : String(value);
    });
}

function readDeployFile() {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const valueOf = (key) => new RegExp(`^${key} = "(.*)"$`, "m").exec(text)[1];
  return { run: valueOf("run").split(" "), template: fs.readFileSync(path.join(ROOT, valueOf("template")), "utf8") };
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** First of five ports that are free on all hosts. */
async function findPorts(hosts) {
  while (true) {
    const first = 12_000 + 5 * Math.floor(Math.random() * 3500);
    const checks = hosts.flatMap((host) => [0, 1, 2, 3, 4].map((offset) => isFree(host, first + offset)));
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
}

export class Rig {
  startedAt = performance.now();
  lines = [];
  gateways = [];
  runners = [];
  clients = [];
  dir = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));

  constructor(caseUrl) {
    this.caseDir = path.dirname(fileURLToPath(caseUrl));
    this.store = new Store({ onEvent: (event) => this.record(event) });
    process.on("exit", () => this.#killAll());
    for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => process.exit(2));
  }

  now() {
    return Math.round(performance.now() - this.startedAt);
  }

  record(entry) {
    this.lines.push(JSON.stringify({ ms: this.now(), ...entry }));
  }

  async start({ gateways = 3, config }) {
    const hosts = Array.from({ length: gateways }, (_, index) => `127.0.1.${index + 1}`);
    this.storePort = await this.store.listen(STORE_HOST);
    this.port = await findPorts(hosts);
    this.store.putKey("keyed.op", "config", config);
    for (const [index, host] of hosts.entries()) this.gateways.push({ name: `edge-${index + 1}`, host, restarts: 0 });
    for (const gateway of this.gateways) this.startGateway(gateway);
    for (const gateway of this.gateways) await this.awaitReady(gateway);
  }

  startGateway(gateway) {
    const { run, template } = readDeployFile();
    const { port } = this;
    const fields = {
      Node: gateway.name,
      Zone: "marmara-a",
      Listen: {
        Front: `${gateway.host}:${port}`,
        Ready: `${gateway.host}:${port + 1}`,
        Control: `${gateway.host}:${port + 2}`,
      },
      PortRange: [port + 3, port + 4],
      Platform: { Addr: `${STORE_HOST}:${this.storePort}`, parts: 8 },
      Seeds: this.gateways.slice(0, 3).map(({ host }) => `${host}:${port + 2}`),
      HeartbeatMs: BEAT_MS,
      Bounds: BOUNDS,
    };
    const settings = path.join(this.dir, `${gateway.name}.jsonc`);
    fs.writeFileSync(settings, render(template, fields));
    const log = fs.openSync(path.join(this.dir, `${gateway.name}.log`), "a");
    const { PATH, HOME } = process.env;
    const child = spawn(run[0], run.slice(1), {
      cwd: ROOT,
      env: { PATH, HOME, RAGWORTCLEAT_CONFIG: settings },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    gateway.child = child;
    gateway.ended = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        this.record({ event: "process-ended", gateway: gateway.name, code, signal });
        gateway.exit = { code, signal };
        resolve();
      });
    });
  }

  async awaitReady(gateway) {
    for (let tries = 0; tries < 200; tries++) {
      const status = await new Promise((resolve) => {
        const req = http.get({ host: gateway.host, port: this.port + 1, path: "/-/ready", agent: false }, (res) => {
          res.resume();
          resolve(res.statusCode);
        });
        req.on("error", () => resolve(0));
      });
      if (status === 200) return;
      await sleep(50);
    }
    throw new Error(`${gateway.name} is not ready`);
  }

  /** Adds a server, which renews its entry in the store. `serve` handles its requests. */
  async addRunner({ id, service, slots, serve }) {
    const born = Date.now();
    const server = http.createServer((req, res) => {
      const chunks = [];
      req.on("data", (chunk) => chunks.push(chunk));
      req.on("end", () => {
        if (req.headers["ragwortcleat-expect-instance"] !== id) {
          res.writeHead(421, { "Ragwortcleat-Instance": id, "content-length": 0 });
          return void res.end();
        }
        serve(req, res, Buffer.concat(chunks), id);
      });
      req.on("error", () => {});
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => server.listen(0, STORE_HOST, resolve));
    let seq = 0;
    const beat = () =>
      this.store.putKey("keyed.servers", id, {
        Service: service,
        Addr: `${STORE_HOST}:${server.address().port}`,
        Zone: "marmara-a",
        Version: "v1",
        Slots: slots,
        State: "ready",
        ColdLeftMs: 0,
        Stage: "both",
        Models: [{ Name: "m", Version: 1, Adapters: [] }],
        Seq: seq++,
        born,
      });
    beat();
    this.runners.push({ id, server, timer: setInterval(beat, BEAT_MS) });
  }

  /** A kept channel of a consumer to one gateway. */
  channel(gateway) {
    const client = new Channel(this, gateway);
    this.clients.push(client);
    return client;
  }

  /** Ends all processes and listeners and writes the record. */
  async stop(verdict) {
    for (const { agent } of this.clients) agent.destroy();
    for (const { server, timer } of this.runners) {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    }
    this.#killAll();
    await Promise.all(this.gateways.map(({ ended }) => ended));
    this.store.close();
    const text = `${this.lines.join("\n")}\n${verdict}\n`;
    fs.writeFileSync(path.join(this.caseDir, "record.txt"), text);
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(this.dir, { recursive: true, force: true });
    else console.log(this.dir);
  }

  #killAll() {
    for (const { child } of this.gateways) {
      if (child?.exitCode === null && child.signalCode === null) child.kill("SIGKILL");
    }
  }
}

let nextId = 1;
export const newId = () => (0x5000_0000_0000 + nextId++ * 7919).toString(16).padStart(16, "0");

class Channel {
  constructor(rig, gateway) {
    this.rig = rig;
    this.gateway = gateway;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  /**
   * Sends one request and resolves with what the consumer sees: `outcome` is "answered" (a complete response with `status`) or
   * "closed" (the channel ended without a complete response).
   */
  send(
    {
      method = "POST",
      path: target,
      headers = {},
      body = Buffer.alloc(0),
      id = newId(),
      deadlineMs = 3000,
      note = "",
      keepsText = false,
    },
  ) {
    const { rig, gateway } = this;
    const sentMs = rig.now();
    return new Promise((resolve) => {
      let isFinished = false;
      const finish = (result) => {
        if (isFinished) return;
        isFinished = true;
        clearTimeout(timer);
        const seen = { id, note, gateway: gateway.name, sentMs, tookMs: rig.now() - sentMs, ...result };
        rig.record({ event: "seen-by-consumer", ...seen, text: undefined });
        resolve(seen);
      };
      const req = http.request({
        host: gateway.host,
        port: rig.port,
        method,
        path: target,
        agent: this.agent,
        headers: {
          host: "h.example",
          "Ragwortcleat-Request-Id": id,
          "Ragwortcleat-Deadline-Ms": deadlineMs,
          "content-length": body.length,
          ...headers,
        },
      }, (res) => {
        const chunks = [];
        res.on("data", (chunk) => chunks.push(chunk));
        res.on("error", () => {});
        res.on("close", () => {
          const text = Buffer.concat(chunks).toString();
          const events = (text.match(/^id:/gm) ?? []).length;
          const reason = res.statusCode >= 400 ? text.slice(0, 120) : undefined;
          finish({
            outcome: res.complete ? "answered" : "closed",
            status: res.statusCode,
            events,
            reason,
            reused: req.reusedSocket,
            text: keepsText ? text : undefined,
            retryAfter: res.headers["retry-after"],
          });
        });
      });
      req.on("error", (err) => {
        if (!req.res) finish({ outcome: "closed", error: err.code, reused: req.reusedSocket });
      });
      req.on("close", () => {
        if (!req.res) finish({ outcome: "closed", error: "closed", reused: req.reusedSocket });
      });
      // A consumer leaves some time after its time budget.
      const timer = setTimeout(() => {
        finish({ outcome: "unanswered", reused: req.reusedSocket, status: req.res?.statusCode });
        req.destroy();
      }, deadlineMs + PATIENCE_MS);
      req.end(body);
    });
  }
}

/** Answers a request with a stream of events, `gapMs` apart, and reports its end to `onEnd`. */
export function streamEvents(req, res, { events, gapMs, firstMs, onEnd }) {
  const id = req.headers["ragwortcleat-request-id"];
  res.writeHead(200, {
    "content-type": "text/event-stream",
    "Ragwortcleat-Request-Id": id,
    "Ragwortcleat-Seal": `s.${id}`,
  });
  res.flushHeaders();
  let sent = 0;
  let timer;
  const next = () => {
    sent += 1;
    res.write(`id: ${sent}\ndata: ${"x".repeat(120)}\n\n`);
    if (sent === events) {
      res.end();
      return onEnd("complete", sent);
    }
    timer = setTimeout(next, gapMs);
  };
  timer = setTimeout(next, firstMs);
  res.on("close", () => {
    if (sent === events) return;
    clearTimeout(timer);
    onEnd("channel-closed", sent);
  });
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(caseUrl, work) {
  const rig = new Rig(caseUrl);
  const limit = setTimeout(() => {
    console.log("the case took too long");
    process.exit(2);
  }, 115_000);
  try {
    const broken = await work(rig);
    const verdict = broken.length === 0
      ? "HELD"
      : `BROKEN: ${broken.length}\n${broken.map((entry) => JSON.stringify(entry)).join("\n")}`;
    await rig.stop(verdict);
    console.log(verdict.split("\n").slice(0, 6).join("\n"));
    clearTimeout(limit);
    process.exit(broken.length === 0 ? 0 : 1);
  } catch (err) {
    console.log(err.stack);
    await rig.stop(`NOT RUN: ${err.message}`).catch(() => {});
    process.exit(2);
  }
}
