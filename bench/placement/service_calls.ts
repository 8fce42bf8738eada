/** Simulates calls of a plain service by many instances, in virtual time. */
import { ServiceBackendChooser } from "../../src/routing/common/backend_chooser.ts";
import { SeededRandom } from "../../test/demo/random.ts";
import type { LoadKnowledge } from "./load_reports.ts";
import { LoadReports } from "./load_reports.ts";

const SERVER_COUNT = 18;
const SLOTS_PER_SERVER = 6;
const DURATION_MS = 10_000;

export interface IServiceCallsOptions {
  readonly instances: number;
  readonly knowledge: LoadKnowledge;
  readonly callsPerSecond: number;
  /** Mean duration of a call on a server that is not full. */
  readonly meanWorkMs: number;
  readonly seed: number;
}

export interface IServiceCallsResult {
  readonly meanMs: number;
  readonly p99Ms: number;
  readonly connectionsPerCall: number;
}

interface ICall {
  readonly instance: number;
  readonly link: string;
  readonly startedAtMs: number;
  workMsLeft: number;
}

export function simulateServiceCalls(opts: IServiceCallsOptions): IServiceCallsResult {
  const random = new SeededRandom(opts.seed);
  const rest = {
    service: "s",
    host: "h",
    port: 1,
    zone: "z",
    slots: SLOTS_PER_SERVER,
    isDraining: false,
    startedAtMs: 0,
  };
  const backends = Array.from({ length: SERVER_COUNT }, (_, index) => ({ id: `s${index}`, ...rest }));
  const calls = new Map<string, ICall[]>(backends.map(({ id }) => [id, []]));
  /** Idle connections, by instance and server. */
  const idle = new Map<string, number>();
  const latencies: number[] = [];
  let now = 0;
  let opened = 0;
  let sent = 0;
  const reports = new LoadReports({ ...opts, engineIds: backends.map(({ id }) => id), now: () => now });

  const send = (): void => {
    const instance = random.nextInt(opts.instances);
    const chooser = new ServiceBackendChooser(reports.viewOf(instance), `${instance}`);
    const input = {
      zone: "z",
      affinity: "",
      parts: [],
      promptTokens: 0,
      maxTokens: 0,
      excluded: new Set<string>(),
      isRepeatable: true,
    };
    const { id } = chooser.choose(input, backends)!.backend;
    const link = `${instance}/${id}`;
    const idleCount = idle.get(link) ?? 0;
    if (idleCount > 0) idle.set(link, idleCount - 1);
    else opened += 1;
    sent += 1;
    reports.recordRequestStart(instance, id);
    const workMsLeft = opts.meanWorkMs / 2 + random.nextInt(opts.meanWorkMs);
    calls.get(id)!.push({ instance, link, startedAtMs: now, workMsLeft });
  };

  for (; now < DURATION_MS; now++) {
    reports.tick();
    for (let expected = opts.callsPerSecond / 1000; expected > 0; expected--) {
      if (random.nextInt(1_000_000) < expected * 1_000_000) send();
    }
    for (const [id, queue] of calls) {
      for (const call of queue.slice(0, SLOTS_PER_SERVER)) {
        call.workMsLeft -= 1;
        if (call.workMsLeft > 0) continue;
        queue.splice(queue.indexOf(call), 1);
        latencies.push(now - call.startedAtMs);
        reports.recordRequestEnd(call.instance, id);
        idle.set(call.link, (idle.get(call.link) ?? 0) + 1);
      }
    }
  }
  latencies.sort((a, b) => a - b);
  return {
    meanMs: latencies.reduce((sum, latency) => sum + latency, 0) / latencies.length,
    p99Ms: latencies[Math.floor(latencies.length * 0.99)],
    connectionsPerCall: opened / sent,
  };
}
