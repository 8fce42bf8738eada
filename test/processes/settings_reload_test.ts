/** SIGHUP with changed, invalid and repaired settings, sent to a gateway process whose callers keep a connection open. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { IncomingMessage } from "node:http";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import test from "ava";

const GATEWAY_PATH = fileURLToPath(new URL("../../platform/main.js", import.meta.url));
const HOST = "127.0.0.41";
const CALLER_PORT = 7431;

interface ILine {
  readonly event: string;
  readonly logLevel?: string;
}

/** Reads the log lines of a process in order. */
class LogReader {
  readonly #lines: ILine[] = [];
  #notify = () => {};

  constructor(child: ChildProcess) {
    createInterface({ input: child.stdout! }).on("line", (line) => {
      this.#lines.push(JSON.parse(line) as ILine);
      this.#notify();
    });
  }

  /** Waits for the next line of one of the events; others before it are skipped. */
  async next(...events: string[]): Promise<ILine> {
    while (true) {
      const line = this.#lines.shift();
      if (line !== undefined && events.includes(line.event)) return line;
      if (line === undefined) await new Promise<void>((resolve) => this.#notify = resolve);
    }
  }
}

const agent = new Agent({ keepAlive: true, maxSockets: 1 });

function send(): Promise<{ status: number; port: number }> {
  return new Promise((resolve, reject) => {
    const onResponse = (res: IncomingMessage) => {
      const { localPort = 0 } = res.socket;
      res.resume();
      res.on("end", () => resolve({ status: res.statusCode ?? 0, port: localPort }));
    };
    const headers = { Host: "h", "Ragwortcleat-Request-Id": "r" };
    request({ host: HOST, port: CALLER_PORT, headers, agent }, onResponse).on("error", reject).end();
  });
}

test("SIGHUP applies valid settings, keeps the former ones otherwise, and cuts no connection", async (t) => {
  const dir = mkdtempSync(join(tmpdir(), "ragwortcleat-"));
  const path = join(dir, "settings.jsonc");
  const settings = {
    instance: "g",
    zone: "z",
    callerAddress: `${HOST}:${CALLER_PORT}`,
    probeAddress: `${HOST}:7432`,
    peerAddress: `${HOST}:7433`,
    datagramPort: 7434,
    metricsPort: 7435,
    storeAddress: "127.0.0.1:1",
  };
  const write = (changes: object) => writeFileSync(path, JSON.stringify({ ...settings, ...changes }));
  write({});
  const env = { ...process.env, RAGWORTCLEAT_CONFIG: path };
  const child = spawn(process.execPath, [GATEWAY_PATH], { env, stdio: ["ignore", "pipe", "inherit"] });
  t.teardown(async () => {
    const exited = once(child, "exit");
    child.kill("SIGKILL");
    await exited;
    agent.destroy();
    rmSync(dir, { recursive: true });
  });
  const log = new LogReader(child);
  const reload = () => {
    child.kill("SIGHUP");
    return log.next("settings-reloaded", "settings-not-reloaded");
  };
  await log.next("started");
  const first = await send();
  t.is(first.status, 503, "without a configuration the request is refused as not run");
  write({ logLevel: "debug" });
  t.like(await reload(), { event: "settings-reloaded", logLevel: "debug" });
  write({ logLevel: "loud" });
  t.is((await reload()).event, "settings-not-reloaded");
  write({ logLevel: "info", datagramPort: 7499, maxResponseBytes: 2048 });
  t.like(await reload(), { event: "settings-reloaded", logLevel: "info" });
  t.deepEqual(await send(), first, "on the same connection");
  t.is(child.exitCode, null);
});
