/** Some runners spoil a few answers: an interim status, 101, that nobody has asked for stands in place of the answer. */
import { connect, createServer } from "node:net";
import { configuration } from "../lib-2/config.mjs";
import { BROKEN, HELD, hasTrouble, newId, runCase, Runner, sleep } from "../lib-2/rig.mjs";

const RUNNERS = 6;
/** Share of the runners that spoil answers, and share of their answers. */
const SPOILING_RUNNERS = RUNNERS * 0.5;
const SPOILED_SHARE = 0.02;
const WORK_MS = 20;
const REQUESTS = 2400;
const CHANNELS = 24;
/** Time after the route's time limit by which a request has its final answer. */
const SLACK_MS = 500;
const ROUTES = {
  safe: { method: "GET", path: "/safe/s", timeoutMs: 1200 },
  unsafe: { method: "POST", path: "/unsafe/u", timeoutMs: 3000 },
};

/** Answers with its whole body; every fiftieth answer of a spoiling one is a status of another kind. */
class RawRunner extends Runner {
  spoiled = new Set();
  #answers = 0;

  async listen() {
    this.server = createServer((socket) => {
      let text = "";
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        text += chunk.toString("latin1");
        for (let end = text.indexOf("\r\n\r\n"); end >= 0; end = text.indexOf("\r\n\r\n")) {
          const head = text.slice(0, end);
          const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
          if (text.length < end + 4 + length) return;
          text = text.slice(end + 4 + length);
          this.#answer(socket, head);
        }
      });
    });
    await new Promise((done) => this.server.listen(0, this.host, done));
    this.port = this.server.address().port;
  }

  #answer(socket, head) {
    const id = /^ragwortcleat-request-id: (\S+)$/im.exec(head)[1];
    this.runs.push({ id });
    this.#answers += 1;
    const own = `Ragwortcleat-Request-Id: ${id}\r\nRagwortcleat-Seal: 3e1b.${id}\r\n`;
    const isSpoiled = this.isSpoiling && this.#answers % (1 / SPOILED_SHARE) === 0;
    if (isSpoiled) this.spoiled.add(id);
    const answer = isSpoiled
      ? `HTTP/1.1 101 Switching Protocols\r\n${own}\r\n`
      : `HTTP/1.1 200 OK\r\n${own}Content-Length: 5\r\n\r\nwhole`;
    setTimeout(() => {
      if (!socket.destroyed) socket.write(answer);
    }, WORK_MS);
  }
}

/** One channel of a caller: sends one request after the other, and opens a new channel after one without a final answer. */
class Channel {
  #socket;
  #text = "";
  #notify = () => {};

  constructor(gateway) {
    this.gateway = gateway;
  }

  #open() {
    this.#text = "";
    this.#socket = connect({ host: this.gateway.host, port: this.gateway.port });
    this.#socket.on("error", () => {});
    this.#socket.on("data", (chunk) => {
      this.#text += chunk.toString("latin1");
      this.#notify();
    });
    this.#socket.on("close", () => this.#notify());
  }

  /** Returns the statuses received until the final one, which is at least 200, or until the time is over. */
  async send({ method, path, timeoutMs }) {
    if (this.#socket === undefined || this.#socket.destroyed) this.#open();
    const socket = this.#socket;
    const id = newId();
    const startedAtMs = performance.now();
    const body = method === "POST" ? "Content-Length: 2\r\n\r\nhi" : "\r\n";
    socket.write(`${method} ${path} HTTP/1.1\r\nHost: app.example\r\nRagwortcleat-Request-Id: ${id}\r\nRagwortcleat-Deadline-Ms: ${timeoutMs}\r\n${body}`);
    const statuses = [];
    while (performance.now() - startedAtMs < timeoutMs + SLACK_MS) {
      const end = this.#text.indexOf("\r\n\r\n");
      if (end >= 0) {
        const head = this.#text.slice(0, end);
        const status = Number(head.slice(9, 12));
        statuses.push(status);
        // An interim response has no body.
        const length = status < 200 ? 0 : Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
        if (status >= 200) {
          while (this.#text.length < end + 4 + length && !socket.destroyed) await this.#wait(100);
          this.#text = this.#text.slice(end + 4 + length);
          return { id, statuses, isFinal: true, isClosed: false, tookMs: performance.now() - startedAtMs };
        }
        this.#text = this.#text.slice(end + 4);
        continue;
      }
      if (socket.destroyed) return { id, statuses, isFinal: false, isClosed: true, tookMs: performance.now() - startedAtMs };
      await this.#wait(100);
    }
    socket.destroy();
    return { id, statuses, isFinal: false, isClosed: false, tookMs: performance.now() - startedAtMs };
  }

  #wait(ms) {
    return new Promise((done) => {
      const timer = setTimeout(done, ms);
      this.#notify = () => {
        clearTimeout(timer);
        done();
      };
    });
  }
}

await runCase(new URL("record.txt", import.meta.url), async ({ record, deployment }) => {
  const runners = Array.from({ length: RUNNERS }, () => new RawRunner({ service: "tools" }));
  runners.slice(0, SPOILING_RUNNERS).forEach((runner) => runner.isSpoiling = hasTrouble);
  await deployment.start({ configuration: configuration(), runners, gateways: 2 });
  let left = REQUESTS;
  const results = [];
  const work = async (channel, index) => {
    const route = ROUTES[index % 3 === 0 ? "unsafe" : "safe"];
    while (left-- > 0) results.push({ ...await channel.send(route), route });
  };
  await Promise.all(Array.from({ length: CHANNELS }, (_, index) =>
    work(new Channel(deployment.gateways[index % 2]), index)));
  await sleep(100);

  const spoiled = runners.reduce((sum, runner) => sum + runner.spoiled.size, 0);
  const late = results.filter(({ tookMs, route }) => tookMs > route.timeoutMs);
  const unanswered = late.filter(({ isFinal, isClosed }) => !isFinal && !isClosed);
  for (const { id, statuses, route, isFinal, isClosed, tookMs } of results) {
    if (statuses.length === 1 && statuses[0] === 200) continue;
    const ran = runners.filter(({ runs }) => runs.some((run) => run.id === id)).length;
    record.add(`${id} ${route.path}: statuses ${statuses.join(" ") || "none"}, final ${isFinal}, closed ${isClosed}, ${Math.round(tookMs)} ms, ran at ${ran} runners`);
  }
  const counts = {};
  for (const { statuses } of results) counts[statuses.join("+")] = (counts[statuses.join("+")] ?? 0) + 1;
  record.add(`${results.length} requests, ${spoiled} answers spoiled; statuses ${JSON.stringify(counts)}`);
  record.add(`requests that lasted longer than TimeoutMs: ${late.length}; with no final answer ${SLACK_MS} ms after it: ${unanswered.length} (eight or more, and over a quarter, break CONFIG)`);
  return unanswered.length >= 8 && unanswered.length > late.length / 4 ? BROKEN : HELD;
});
