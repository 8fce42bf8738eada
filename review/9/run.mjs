/** One instance of three is cut off from the store for a while, and a runner leaves when the cut ends. */
import { connect, createServer } from "node:net";
import { configuration } from "../lib-2/config.mjs";
import { BROKEN, COULD_NOT_RUN, HELD, hasTrouble, newAgent, runCase, Runner, send, sleep } from "../lib-2/rig.mjs";

const CYCLES = 5;
const CUT_MS = 5500;
/** Time from the end of the cut to the removal of the runner's entry. */
const REMOVAL_AFTER_MS = [450, 550, 650, 500, 600];
/** Time for which requests are looked at after the end of a cut. */
const WATCHED_MS = 4200;
/** The users' bounds. */
const DRAIN_MS = 2000;
const STABLE_MS = 3000;
const RUNNERS = 5;
const CHANNELS = 12;
const WORK_MS = 15;

/** Passes bytes on to the store, or none in either direction while it is cut. Channels from before the end of a cut stay silent. */
class StoreLink {
  isCut = false;
  #silenced = new Set();

  async listen(target) {
    const [host, port] = target.split(":");
    this.#server = createServer((socket) => {
      const upstream = connect({ host, port: Number(port) });
      const pair = [socket, upstream];
      if (this.isCut) this.#silenced.add(socket);
      this.#sockets.add(socket);
      const isSilent = () => this.isCut || this.#silenced.has(socket);
      socket.on("data", (chunk) => !isSilent() && upstream.write(chunk));
      upstream.on("data", (chunk) => !isSilent() && socket.write(chunk));
      for (const end of pair) {
        end.on("error", () => {});
        end.on("close", () => {
          this.#sockets.delete(socket);
          for (const other of pair) other.destroy();
        });
      }
    });
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    for (const socket of this.#sockets) this.#silenced.add(socket);
    this.isCut = false;
  }

  close() {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #server;
  #sockets = new Set();
}

await runCase(new URL("record.txt", import.meta.url), async ({ record, deployment }) => {
  const serve = ({ res, own, run, runner }) => {
    run.atMs = performance.now();
    setTimeout(() => {
      res.writeHead(200, { ...own, "content-length": runner.id.length });
      res.end(runner.id);
    }, WORK_MS);
  };
  const newRunner = () => new Runner({ service: "tools", slots: 6, serve });
  const link = new StoreLink();
  await deployment.start({
    configuration: configuration(),
    runners: Array.from({ length: RUNNERS }, newRunner),
    gateways: 3,
    storeAddressOf: async (index, address) => index === 0 ? await link.listen(address) : address,
  });
  const [gateway] = deployment.gateways;
  const sentAtMs = new Map();
  let isOver = false;
  let served = 0;
  const channel = async () => {
    const agent = newAgent();
    while (!isOver) {
      const startedAtMs = performance.now();
      const result = await send(gateway, { path: "/safe/s", method: "GET", headers: { "ragwortcleat-deadline-ms": "1200" }, agent });
      sentAtMs.set(result.id, startedAtMs);
      if (result.status === 200) served += 1;
      await sleep(5);
    }
  };
  const channels = Array.from({ length: CHANNELS }, channel);
  let late = 0;
  for (let cycle = 0; cycle < CYCLES; cycle++) {
    const leaving = deployment.runners.find(({ hasLeft }) => !hasLeft);
    await deployment.addRunner(newRunner());
    if (hasTrouble) link.cut();
    await sleep(CUT_MS);
    const healedAtMs = performance.now();
    if (hasTrouble) link.heal();
    await sleep(REMOVAL_AFTER_MS[cycle]);
    leaving.hasLeft = true;
    deployment.removeRunner(leaving);
    const removedAtMs = performance.now();
    await sleep(healedAtMs + WATCHED_MS - performance.now());
    const inTouchAtMs = healedAtMs + STABLE_MS;
    const found = leaving.runs.filter(({ id, atMs }) =>
      (sentAtMs.get(id) ?? Infinity) > inTouchAtMs && atMs > removedAtMs + DRAIN_MS
    );
    late += found.length;
    const last = leaving.runs.at(-1)?.atMs ?? 0;
    record.add(`cycle ${cycle + 1}: ${leaving.id} removed ${Math.round(removedAtMs - healedAtMs)} ms after the end of the cut; last request reached it ${Math.round(last - removedAtMs)} ms after that; ${found.length} sent in touch and more than ${DRAIN_MS} ms after the ack`);
    for (const { id, atMs } of found.slice(0, 3)) {
      record.add(`  ${id}: sent ${Math.round(sentAtMs.get(id) - healedAtMs)} ms after the end of the cut, reached the runner ${Math.round(atMs - removedAtMs)} ms after the ack`);
    }
  }
  isOver = true;
  await Promise.all(channels);
  link.close();
  record.add(`${served} requests served; late ones: ${late} (any breaks DRAIN)`);
  if (served < 1000) return COULD_NOT_RUN;
  return late > 0 ? BROKEN : HELD;
});
