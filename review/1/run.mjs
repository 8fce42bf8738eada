// Runners crash one after the other, as `srv_crash` has them, while usual turns run on them; no request crashes a runner. Then
// all gateways are killed at once and started again. Turns that go on from turns of before must reach a runner within RecoverS.
import { CONFIG } from "../lib/config.mjs";
import { hasTrouble, newId, runCase, sleep } from "../lib/rig.mjs";

const RUNNERS = 8;
/** Prompts that requests of a kind share ("things" in the site file). */
const THINGS = 8;
const EVENTS = 12;
const GAP_MS = 25;
/** One of eight runners (share 0.15) is down for 2 s; the next one crashes when it is back. */
const CRASHES = 12;
const CRASH_INTERVAL_MS = 2000;
const DOWN_MS = 2000;
const CALM_MS = 500;
const RESTART_MS = 1200;
const RECOVER_MS = 12_000;
const LAST_MS = 4000;
const WORKERS = 40;
/** Half of the requests share the prompt of thing 0; the rest is spread over the others. */
const pickThing = () => Math.random() < 0.5 ? 0 : 1 + Math.floor(Math.random() * (THINGS - 1));

await runCase(import.meta.url, async (rig) => {
  const reached = new Set();
  const serve = async (req, res) => {
    const id = req.headers["ragwortcleat-request-id"];
    reached.add(id);
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "Ragwortcleat-Request-Id": id,
      "Ragwortcleat-Seal": `s.${id}`,
    });
    res.flushHeaders();
    for (let event = 1; event <= EVENTS; event++) {
      await sleep(GAP_MS);
      if (res.destroyed) return;
      res.write(`id: ${event}\ndata: ${id}.${event}\n\n`);
    }
    res.end();
  };
  let lifetimes = 0;
  const addRunner = () =>
    rig.addRunner({ id: `i-${++lifetimes}`, service: "engine", slots: 16, serve: (req, res) => void serve(req, res) });
  for (let index = 0; index < RUNNERS; index++) await addRunner();
  await rig.start({ gateways: 3, config: CONFIG });
  await sleep(2500);

  let isEnding = false;
  let isDown = false;
  /** Last turn of each thing that was answered whole. */
  const lastTurns = new Map();
  const channels = new Map();
  const turn = async ({ thing, program, previous, note, worker }) => {
    const id = newId();
    const gateway = rig.gateways[Math.floor(Math.random() * rig.gateways.length)];
    const key = `${worker} ${gateway.name}`;
    if (!channels.has(key)) channels.set(key, rig.channel(gateway));
    const headers = {
      "Ragwortcleat-Program": program,
      "Ragwortcleat-Session": program,
      "Ragwortcleat-Finish-Ms": 5200,
      "Ragwortcleat-Token-Budget": 40_000,
      "Ragwortcleat-Token-Count": "13440,572",
      "Ragwortcleat-Model": "m",
      "Ragwortcleat-Prompt-Prefix": `${(0x5c1e07a0 + thing).toString(16)}:12600,${program}:840`,
      ...(previous === undefined ? {} : { "Ragwortcleat-Previous-Turn": previous }),
    };
    const seen = await channels.get(key).send({
      path: `/chat/${thing}`,
      headers,
      body: Buffer.from(`input ${id}`),
      id,
      note,
    });
    return { ...seen, isWhole: seen.outcome === "answered" && seen.status === 200 };
  };
  const traffic = Array.from({ length: WORKERS }, async (_, worker) => {
    while (!isEnding) {
      const thing = pickThing();
      const program = newId();
      let previous;
      for (let step = 0; step < 3 && !isEnding; step++) {
        const seen = await turn({ thing, program, previous, note: `before ${thing}`, worker });
        if (!seen.isWhole) break;
        previous = seen.id;
        if (!isDown) lastTurns.set(thing, seen.id);
      }
      await sleep(100 + Math.random() * 200);
    }
  });

  await sleep(2000);
  for (let crash = 0; crash < CRASHES; crash++) {
    if (hasTrouble) {
      const [runner] = rig.runners.splice(0, 1);
      rig.record({ event: "runner-crashes", id: runner.id });
      clearInterval(runner.timer);
      runner.server.close();
      runner.server.closeAllConnections();
      // Its entry goes after three intervals of silence; the runner is back as a new lifetime.
      setTimeout(() => rig.store.putKey("keyed.servers", runner.id, undefined), 3600);
      setTimeout(() => void addRunner(), DOWN_MS);
    }
    await sleep(CRASH_INTERVAL_MS);
  }
  await sleep(DOWN_MS + CALM_MS);
  isEnding = true;
  await Promise.all(traffic);
  const before = new Map(lastTurns);
  rig.record({ event: "kill-all", lastTurns: Object.fromEntries(before) });
  isDown = true;
  for (const gateway of rig.gateways) gateway.child.kill("SIGKILL");
  await Promise.all(rig.gateways.map(({ ended }) => ended));
  channels.clear();
  await sleep(RESTART_MS);
  for (const gateway of rig.gateways) rig.startGateway(gateway);
  for (const gateway of rig.gateways) await rig.awaitReady(gateway);
  const backMs = rig.now();
  rig.record({ event: "all-back" });

  // New programs go on from turns of before, one for each thing, and come again until RecoverS; others begin anew.
  const later = [];
  const goOn = [...before].map(async ([thing, previous]) => {
    const program = newId();
    while (rig.now() - backMs < RECOVER_MS + LAST_MS) {
      const seen = await turn({ thing, program, previous, note: `goes on ${thing}`, worker: `t${thing}` });
      later.push({ ...seen, thing, goesOn: true });
      if (seen.isWhole) return;
      await sleep(400);
    }
  });
  const others = Array.from({ length: 16 }, async (_, worker) => {
    while (rig.now() - backMs < RECOVER_MS + LAST_MS) {
      const thing = pickThing();
      const seen = await turn({ thing, program: newId(), note: `after ${thing}`, worker });
      later.push({ ...seen, thing, goesOn: false });
      await sleep(200);
    }
  });
  await Promise.all([...goOn, ...others]);

  const counts = {};
  for (const { thing, goesOn, outcome, status, reason, error } of later) {
    const key = `${goesOn ? "goes on" : "first"} ${thing}: ${outcome} ${status ?? error} ${reason ?? ""}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  rig.record({ event: "summary", counts });
  for (const [key, count] of Object.entries(counts).filter(([key]) => !key.includes("answered 200"))) {
    console.log(`${count} x ${key}`);
  }
  const unreached = [...before.keys()].filter((thing) =>
    !later.some((seen) => seen.goesOn && seen.thing === thing && reached.has(seen.id))
  );
  // Other turns: those of the other things in the last 4 s.
  const last = later.filter(({ sentMs, thing }) => sentMs - backMs > RECOVER_MS && !unreached.includes(thing));
  const served = last.filter(({ isWhole }) => isWhole).length;
  console.log(
    `things whose turns reach no runner: ${
      unreached.join(", ") || "none"
    }; other turns in the last 4 s: ${served} of ${last.length} served`,
  );
  if (last.length === 0 || served < 0.8 * last.length) return [];
  return later.filter(({ thing, goesOn }) => goesOn && unreached.includes(thing)).map((
    { id, thing, sentMs, status, reason },
  ) => ({ id, thing, afterBackMs: sentMs - backMs, status, reason }));
});
