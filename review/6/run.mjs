/** Programs that don't stop by themselves: some partitions of the store are down for a moment, then all processes are killed. */
import { configuration, countEvents, streamOf, TOKENS_PER_EVENT, turnHeaders } from "../lib-2/config.mjs";
import { BROKEN, COULD_NOT_RUN, HELD, hasTrouble, newAgent, newId, runCase, Runner, send, sleep } from "../lib-2/rig.mjs";

const MAX_EVENTS = 26;
const MAX_TOKENS = MAX_EVENTS * TOKENS_PER_EVENT;
/** Three turns at their limit. */
const BUDGET = 3 * MAX_TOKENS;
const PROGRAMS = 60;
/** Events of the turns, and the pauses between them; further turns have as many as the last. */
const EVENTS = [3, 23, 26, 23, 26];
const GAPS_MS = [240, 25];
const TURNS_BEFORE_KILL = 3;
/** The first turns of the programs begin together; their records are written half a second later. */
const OUTAGE_AFTER_MS = 750;
/** Share of the store's partitions that are down, and for how long; the kill comes at the end of the outage. */
const DOWN_SHARE = 0.35;
const OUTAGE_MS = 2800;
/** Partitions that hold what the instances keep: four topics of eight. */
const PARTITIONS = Array.from({ length: 32 }, (_, slice) => `slices-${Math.floor(slice / 8)}/${slice % 8}`);
const RESTART_MS = 500;
const MAX_TURNS = 30;
const MAX_TRIES = 40;
const RETRY_MS = 300;

/** The last input of a turn's body says how many events its answer has. */
function directiveOf(body) {
  const [, events, gapMs] = [...body.toString().matchAll(/events=(\d+) gap=(\d+);/g)].at(-1);
  return { events: Number(events), gapMs: Number(gapMs) };
}

const serve = (exchange) => streamOf(directiveOf(exchange.body))(exchange);

await runCase(new URL("record.txt", import.meta.url), async ({ record, deployment }) => {
  const runners = Array.from({ length: 8 }, () => new Runner({ service: "models", serve }));
  await deployment.start({ configuration: configuration(), runners, gateways: 3 });
  const { gateways } = deployment;

  const programs = Array.from({ length: PROGRAMS }, () => ({ id: newId(), turns: 0, tokens: 0, previous: undefined, isSpent: false }));

  let isUp = Promise.resolve();

  /** Sends the next turn of a program until it is answered whole or with 402. Every event that arrives counts. */
  const serveTurn = async (program) => {
    const events = EVENTS[Math.min(program.turns, EVENTS.length - 1)];
    const gapMs = GAPS_MS[Math.min(program.turns, GAPS_MS.length - 1)];
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      await isUp;
      const gateway = gateways[(program.turns + attempt) % gateways.length];
      const result = await send(gateway, {
        path: "/kept/t",
        headers: turnHeaders({ program: program.id, budget: BUDGET, maxTokens: MAX_TOKENS, previous: program.previous }),
        body: `events=${events} gap=${gapMs};`,
        agent: gateway.agent ??= newAgent(),
      });
      const received = countEvents(result.body);
      program.tokens += received * TOKENS_PER_EVENT;
      record.add(`program ${program.id} turn ${program.turns + 1} ${result.id} after ${program.previous ?? "-"}: ${result.status || result.error}, ${received} events, whole ${result.isWhole}; ${program.tokens} tokens so far`);
      if (result.status === 402) return program.isSpent = true;
      if (result.status === 200 && result.isWhole) {
        program.previous = result.id;
        program.turns += 1;
        return;
      }
      await sleep(RETRY_MS);
    }
    throw new Error(`a turn of program ${program.id} was not served`);
  };

  const impair = async () => {
    if (!hasTrouble) return;
    await sleep(OUTAGE_AFTER_MS);
    const down = PARTITIONS.toSorted(() => Math.random() - 0.5).slice(0, Math.floor(PARTITIONS.length * DOWN_SHARE));
    record.add(`down for ${OUTAGE_MS} ms: ${down.join(" ")}`);
    deployment.store.downPartitions = new Set(down);
    await sleep(OUTAGE_MS);
    record.add("all processes are killed; the store is back");
    for (const { child } of gateways) child.kill("SIGKILL");
    deployment.store.downPartitions = new Set();
    isUp = (async () => {
      await sleep(RESTART_MS);
      for (const gateway of gateways) deployment.spawnGateway(gateway);
      await sleep(1000);
    })();
  };
  const impaired = impair();
  await Promise.all(programs.map(async (program) => {
    while (!program.isSpent && program.turns < MAX_TURNS) {
      await serveTurn(program);
      if (program.turns === TURNS_BEFORE_KILL) await impaired;
    }
  }));

  const most = BUDGET + MAX_TOKENS;
  const broken = programs.filter(({ tokens }) => tokens > most);
  for (const { id, turns, tokens, isSpent } of programs) {
    record.add(`program ${id}: ${tokens} tokens in ${turns} turns, ${isSpent ? "stopped by 402" : "not stopped"}; the budget is ${BUDGET}, with the most of one turn ${most}${tokens > most ? "; BROKEN" : ""}`);
  }
  record.add(`programs over their budget and the most of one turn: ${broken.length} of ${PROGRAMS}`);
  if (programs.some(({ isSpent }) => !isSpent)) return COULD_NOT_RUN;
  return broken.length > 0 ? BROKEN : HELD;
});
