/** Measures the cost of a call through real processes, compared with a direct call to the fake engine. */
import { readFileSync } from "node:fs";
import { build } from "hdr-histogram-js";
import { apiKeyOf, Deployment, sleep } from "../../test/harness/processes.ts";
import { TEST_CONFIGURATION } from "../../test/harness/configuration.ts";
import type { ISlope } from "./linear_fit.ts";
import { fitSlope } from "./linear_fit.ts";

const CLOCK_TICKS_PER_SECOND = 100;
const MICROS_PER_SECOND = 1_000_000;
const PROGRAM_COUNT = 16;
const CALL_COUNTS = [50, 100, 200];
const IDLE_MS = 5000;
const MESSAGE = { role: "user", content: "answer:1" };

export interface IEndToEndCosts {
  readonly directP50Ms: number;
  readonly directP99Ms: number;
  readonly throughP50Ms: number;
  readonly throughP99Ms: number;
  /** Calls per second of processor time, over all instances. */
  readonly callsPerCoreSecond: number;
  readonly appendsPerCall: number;
  readonly slopes: readonly ISlope[];
}

/** Processor time that a process has used since its start, in microseconds. */
function cpuMicros(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND * MICROS_PER_SECOND;
}

function makeDeployment(daemons: number, engines = 2): Deployment {
  return new Deployment({
    region: "bench",
    zones: ["zone-a", "zone-b", "zone-c"],
    daemons,
    engines: { count: engines, models: "m" },
    services: { count: 1, name: "api" },
    customers: ["c"],
    configuration: JSON.stringify(TEST_CONFIGURATION),
  });
}

function totalCpuMicros(deployment: Deployment): number {
  return deployment.daemons.reduce((sum, { child }) => sum + cpuMicros(child.pid!), 0);
}

async function measureLatency(
  count: number,
  call: (index: number) => Promise<void>,
): Promise<{ p50: number; p99: number }> {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (let index = 0; index < count; index++) {
    const startedAt = performance.now();
    await call(index);
    histogram.recordValue(Math.round((performance.now() - startedAt) * 1000));
  }
  return { p50: histogram.getValueAtPercentile(50) / 1000, p99: histogram.getValueAtPercentile(99) / 1000 };
}

async function callDirect(address: string, index: number): Promise<void> {
  const body = {
    attemptId: `d${index}`,
    programId: `direct-${index % PROGRAM_COUNT}`,
    model: "m",
    messages: [MESSAGE],
    maxTokens: 1,
    priority: 0,
  };
  const reply = await fetch(`http://${address}/v1/generate`, { method: "POST", body: JSON.stringify(body) });
  await reply.text();
}

/** Opens programs and returns a function that makes the next call of the program with an index. */
async function openPrograms(deployment: Deployment): Promise<(index: number) => Promise<void>> {
  const headers = { authorization: `Bearer ${apiKeyOf("c")}` };
  const urlOf = (index: number) => deployment.daemons[index % deployment.daemons.length].callerUrl;
  const opened = Array.from({ length: PROGRAM_COUNT }, async (_, index) => {
    const reply = await fetch(`${urlOf(index)}/v1/programs`, {
      method: "POST",
      headers,
      body: JSON.stringify({ kind: "quick" }),
    });
    return { id: (await reply.json() as { id: string }).id, step: 0 };
  });
  const programs = await Promise.all(opened);
  return async (index) => {
    const program = programs[index % PROGRAM_COUNT];
    program.step += 1;
    const reply = await fetch(`${urlOf(index)}/v1/programs/${program.id}/chat/completions`, {
      method: "POST",
      headers: { ...headers, "ragwortcleat-step": String(program.step), "ragwortcleat-history": "append" },
      body: JSON.stringify({ model: "m", messages: [MESSAGE], max_tokens: 1 }),
    });
    await reply.text();
    if (reply.status !== 200) throw new Error(`model call failed with status ${reply.status}; expected 200`);
  };
}

async function countAppends(deployment: Deployment): Promise<number> {
  const reply = await fetch(`${deployment.platformUrl}/control/stats`);
  return (await reply.json() as { appends: number }).appends;
}

/** Measures calls through three instances, then idle instances with several numbers of peers and engines. */
export async function measureEndToEnd(): Promise<IEndToEndCosts> {
  const calls = await measureCalls();
  return { ...calls, slopes: [...calls.slopes, await measureIdlePeers(), await measureIdleEngines()] };
}

async function measureCalls(): Promise<IEndToEndCosts> {
  const deployment = makeDeployment(3);
  await deployment.start();
  try {
    const call = await openPrograms(deployment);
    await measureLatency(PROGRAM_COUNT * 4, call);
    const direct = await measureLatency(
      CALL_COUNTS[2],
      (index) => callDirect(deployment.engines[0].address, index),
    );
    const through = await measureLatency(CALL_COUNTS[2], call);
    const idleBefore = totalCpuMicros(deployment);
    await sleep(IDLE_MS);
    const idleMicrosPerMs = (totalCpuMicros(deployment) - idleBefore) / IDLE_MS;
    const values: number[] = [];
    const appendsBefore = await countAppends(deployment);
    for (const count of CALL_COUNTS) {
      const before = totalCpuMicros(deployment);
      const startedAt = performance.now();
      const workers = Array.from({ length: PROGRAM_COUNT }, async (_, worker) => {
        for (let index = worker; index < count * 4; index += PROGRAM_COUNT) await call(index);
      });
      await Promise.all(workers);
      values.push(totalCpuMicros(deployment) - before - idleMicrosPerMs * (performance.now() - startedAt));
    }
    const totalCalls = CALL_COUNTS.reduce((sum, count) => sum + count * 4, 0);
    const appendsPerCall = (await countAppends(deployment) - appendsBefore) / totalCalls;
    const cpuPerCall = fitSlope("processor time per call", {
      unit: "µs per model call",
      sizes: CALL_COUNTS.map((count) => count * 4),
      values,
    });
    return {
      directP50Ms: direct.p50,
      directP99Ms: direct.p99,
      throughP50Ms: through.p50,
      throughP99Ms: through.p99,
      callsPerCoreSecond: MICROS_PER_SECOND / cpuPerCall.slope,
      appendsPerCall,
      slopes: [cpuPerCall],
    };
  } finally {
    await deployment.stop();
  }
}

/** Processor time that an idle instance uses per second, in microseconds. */
async function idleMicrosPerSecond(opts: { daemons: number; engines: number }): Promise<number> {
  const deployment = makeDeployment(opts.daemons, opts.engines);
  await deployment.start();
  await sleep(1000);
  const before = totalCpuMicros(deployment);
  await sleep(IDLE_MS);
  const usedMicros = totalCpuMicros(deployment) - before;
  await deployment.stop();
  return usedMicros / opts.daemons / (IDLE_MS / 1000);
}

async function measureIdlePeers(): Promise<ISlope> {
  const sizes = [2, 5, 9];
  const values: number[] = [];
  for (const peers of sizes) values.push(await idleMicrosPerSecond({ daemons: peers + 1, engines: 2 }));
  return fitSlope("idle, by peers", { unit: "µs per second per peer", sizes, values });
}

async function measureIdleEngines(): Promise<ISlope> {
  const sizes = [2, 12, 24];
  const values: number[] = [];
  for (const engines of sizes) values.push(await idleMicrosPerSecond({ daemons: 1, engines }));
  return fitSlope("idle, by engines", { unit: "µs per second per engine", sizes, values });
}
