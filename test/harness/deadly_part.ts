/**
 * Requests that crash servers because of one part of their content, which returns in ever new requests, and others beside
 * them that share all parts but the deadly ones.
 */
import { Effect } from "effect";
import type { IUpstreamRequest } from "../../src/call/common/opaque_request.ts";
import type { CrashForm } from "../stand_ins/backend_fleet.ts";
import { RestartForm } from "../stand_ins/backend_fleet.ts";
import type { IGatewayRequest } from "./gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "./gateway_cluster.ts";

/** Parts of a request's content that may be deadly, alone or together. */
export enum DeadlyPart {
  Target = "target",
  Body = "body",
  AffinityKey = "affinity key",
  PromptPart = "prompt part",
}

/** Which instance receives the returns of the deadly request. */
export enum EntryMode {
  Fixed = "one instance",
  Alternating = "all instances by turns",
  Restarted = "all instances by turns, each restarted before",
  AllLost = "all instances by turns, which are all lost from time to time",
}

export interface IDeadlyScenario {
  readonly parts: readonly DeadlyPart[];
  /** Number of different deadly contents at the same time. */
  readonly count: number;
  readonly route: RoutePath;
  readonly servers: number;
  readonly crashForm: CrashForm;
  readonly entry: EntryMode;
  readonly seed: number;
}

export interface IDeadlyOutcome {
  /** Attempts of each deadly content that the users' rule counts. */
  readonly laterAttempts: readonly number[];
  readonly crashes: number;
  /** Longest time for which requests with the same shared parts were refused as crashing without one being sent, in ms. */
  readonly longestRefusalMs: number;
  readonly refusedOthers: number;
  readonly servedOthers: number;
}

const INSTANCES = 4;
const CRASH_LIMIT = 3;
/** The users' rule counts attempts later than this after the third crash. */
const STABLE_MS = 3000;
/** Time from the arrival of a deadly request to the crash. */
const CRASH_DELAY_MS = 30;
const RETURN_INTERVAL_MS = 2500;
const RETURNS = 7;
const OTHERS_INTERVAL_MS = 100;
const RETRY_DELAY_MS = 200;
/** Number of returns between two losses of all instances, and the time for which these are down. */
const RETURNS_PER_LOSS = 2;
const INSTANCES_DOWN_MS = 1200;
const DEADLY = "deadly";

/** Returns the content of a request in which the given parts are shared by all, and the others are its own. */
function requestWith(
  { route, own, shared }: { route: RoutePath; own: string; shared: ReadonlyMap<DeadlyPart, string> },
): IGatewayRequest {
  const part = (kind: DeadlyPart) => shared.get(kind) ?? `own-${own}`;
  const isTurn = route === RoutePath.Turn;
  return {
    route,
    name: part(DeadlyPart.Target),
    caller: isTurn ? CallerKind.Program : CallerKind.None,
    callerId: own,
    body: part(DeadlyPart.Body),
    affinityKey: part(DeadlyPart.AffinityKey),
    promptParts: [part(DeadlyPart.PromptPart), `last-${own}`],
  };
}

/** Whether a request has all deadly parts of one content. */
function isDeadly({ target, headers, body }: IUpstreamRequest, { parts, count }: IDeadlyScenario): boolean {
  const header = (name: string) => headers[headers.indexOf(name) + 1] ?? "";
  const values: Record<DeadlyPart, string> = {
    [DeadlyPart.Target]: target,
    [DeadlyPart.Body]: Buffer.from(body).toString(),
    [DeadlyPart.AffinityKey]: header("Ragwortcleat-Affinity-Key"),
    [DeadlyPart.PromptPart]: header("Ragwortcleat-Prompt-Prefix"),
  };
  return Array.from({ length: count }, (_, index) => `${DEADLY}${index}`)
    .some((mark) => parts.every((part) => values[part].includes(mark)));
}

function valueOf(part: DeadlyPart, index: number): string {
  return `${part.replace(" ", "-")}-${DEADLY}${index}`;
}

export function playDeadly(scenario: IDeadlyScenario): Promise<IDeadlyOutcome> {
  const { parts, count, route, servers, crashForm, entry, seed } = scenario;
  const opts = {
    instances: INSTANCES,
    serversPerService: servers,
    crashForm,
    restartForm: seed % 2 === 0 ? RestartForm.NewId : RestartForm.SameId,
    isCrashing: (req: IUpstreamRequest) => isDeadly(req, scenario),
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const others = new OtherRequests(scenario);
      const idsOf: Set<string>[] = Array.from({ length: count }, () => new Set());
      const sendDeadly = (round: number, index: number) =>
        Effect.gen(function* () {
          const shared = new Map(parts.map((part) => [part, valueOf(part, index)]));
          const req = requestWith({ route, own: `${seed}-${round}-${index}`, shared });
          for (let attempt = 0; attempt < 2; attempt++) {
            const id = `d${seed}-${round}-${index}-${attempt}`;
            idsOf[index].add(id);
            const via = entry === EntryMode.Fixed ? 0 : (round + index + attempt) % INSTANCES;
            const { status } = yield* cluster.send(cluster.names[via], { ...req, id });
            if (status === 200) return;
            yield* Effect.sleep(RETRY_DELAY_MS);
          }
        });
      for (let round = 0; round < RETURNS; round++) {
        if (entry === EntryMode.Restarted && round > 0) yield* cluster.restart(cluster.names[0]);
        if (entry === EntryMode.AllLost && round > 0 && round % RETURNS_PER_LOSS === 0) {
          yield* restartAll(cluster);
        }
        for (let elapsedMs = 0; elapsedMs < RETURN_INTERVAL_MS; elapsedMs += OTHERS_INTERVAL_MS) {
          const step = elapsedMs / OTHERS_INTERVAL_MS;
          if (step < count) yield* Effect.forkDetach(sendDeadly(round, step));
          yield* Effect.forkDetach(others.send(cluster, round * 1000 + step));
          yield* cluster.advance(OTHERS_INTERVAL_MS);
        }
      }
      yield* cluster.advance(STABLE_MS);
      const laterAttempts = idsOf.map((ids) => countLaterAttempts(cluster, ids));
      return { laterAttempts, crashes: cluster.fleet.crashes.length, ...others.outcome };
    }));
}

/** Has all instances lost at once, and starts them again. */
function restartAll(cluster: GatewayCluster): Effect.Effect<void> {
  return Effect.gen(function* () {
    const { names } = cluster;
    for (const name of names) yield* cluster.kill(name);
    yield* cluster.advance(INSTANCES_DOWN_MS);
    for (const name of names) yield* cluster.start(name);
  });
}

/** A day on which all servers end together, and return together, while requests with a deadly part keep arriving everywhere. */
export interface IOutageScenario extends IDeadlyScenario {
  readonly instances: number;
  /** Time between two requests with the same deadly content, over all instances, in ms. */
  readonly intervalMs: number;
  /** Time from the first deadly request until all servers end together, in ms; undefined if they do not. */
  readonly outageAtMs: number | undefined;
  /** Times from the first deadly request until all instances are lost, in ms; none by default. */
  readonly lossesAtMs?: readonly number[];
}

const OUTAGE_PLAY_MS = 16_000;
const STEP_MS = 50;

/** Each deadly request is a new one that shares the deadly parts, and comes through another instance than the one before. */
export function playDeadlyOutage(scenario: IOutageScenario): Promise<IDeadlyOutcome> {
  const { parts, count, servers, crashForm, seed, instances, intervalMs, route } = scenario;
  const { outageAtMs, lossesAtMs = [] } = scenario;
  const opts = {
    instances,
    serversPerService: servers,
    crashForm,
    restartForm: seed % 2 === 0 ? RestartForm.NewId : RestartForm.SameId,
    isCrashing: (req: IUpstreamRequest) => isDeadly(req, scenario),
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const others = new OtherRequests(scenario, instances);
      const idsOf: Set<string>[] = Array.from({ length: count }, () => new Set());
      let sent = 0;
      for (let elapsedMs = 0; elapsedMs < OUTAGE_PLAY_MS; elapsedMs += STEP_MS) {
        if (elapsedMs === outageAtMs) {
          for (const server of cluster.fleet.servers) yield* Effect.forkDetach(cluster.fleet.crash(server));
        }
        if (lossesAtMs.includes(elapsedMs)) yield* restartAll(cluster);
        for (; sent * intervalMs <= elapsedMs; sent++) {
          for (let index = 0; index < count; index++) {
            const shared = new Map(parts.map((part) => [part, valueOf(part, index)]));
            const id = `d${seed}-${sent}-${index}`;
            idsOf[index].add(id);
            const req = { ...requestWith({ route, own: `${seed}-${sent}-${index}`, shared }), id };
            const via = cluster.names[(sent * 5 + index + seed) % instances];
            yield* Effect.forkDetach(cluster.send(via, req));
          }
        }
        yield* Effect.forkDetach(others.send(cluster, elapsedMs / STEP_MS));
        yield* cluster.advance(STEP_MS);
      }
      yield* cluster.advance(STABLE_MS);
      const laterAttempts = idsOf.map((ids) => countLaterAttempts(cluster, ids));
      return { laterAttempts, crashes: cluster.fleet.crashes.length, ...others.outcome };
    }));
}

/** Number of attempts of the requests with these ids that the users' rule counts. */
function countLaterAttempts(cluster: GatewayCluster, ids: ReadonlySet<string>): number {
  const runs = cluster.fleet.runs.filter(({ requestId }) => ids.has(requestId));
  const thirdCrashMs = (runs[CRASH_LIMIT - 1]?.atMs ?? Infinity) + CRASH_DELAY_MS;
  return runs.filter(({ atMs }) => atMs > thirdCrashMs + STABLE_MS).length;
}

/** Sends requests that share parts with the deadly ones, each of them a different set, without being deadly. */
class OtherRequests {
  readonly #scenario: IDeadlyScenario;
  readonly #instances: number;
  readonly #refusedSinceMs = new Map<string, number>();
  #longestRefusalMs = 0;
  #refused = 0;
  #served = 0;

  constructor(scenario: IDeadlyScenario, instances = INSTANCES) {
    this.#scenario = scenario;
    this.#instances = instances;
  }

  get outcome() {
    return {
      longestRefusalMs: this.#longestRefusalMs,
      refusedOthers: this.#refused,
      servedOthers: this.#served,
    };
  }

  send(cluster: GatewayCluster, number: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { route, seed, count } = this.#scenario;
      const kinds = this.#sharedParts();
      const kind = kinds[number % kinds.length];
      const index = number % count;
      const shared = new Map(kind.map((part) => [part, valueOf(part, index)]));
      const req = requestWith({ route, own: `other-${seed}-${number}`, shared });
      for (let attempt = 0; attempt < 2; attempt++) {
        const { status, text } = yield* cluster.send(
          cluster.names[(number + attempt) % this.#instances],
          req,
        );
        this.#count(`${kind.join()} ${index}`, { status, text, nowMs: cluster.nowMs });
        if (status === 200) return;
        yield* Effect.sleep(RETRY_DELAY_MS);
      }
    });
  }

  #count(kind: string, { status, text, nowMs }: { status: number; text: string; nowMs: number }): void {
    if (text.includes("crashing-request")) {
      this.#refused += 1;
      const sinceMs = this.#refusedSinceMs.get(kind) ?? nowMs;
      this.#refusedSinceMs.set(kind, sinceMs);
      this.#longestRefusalMs = Math.max(this.#longestRefusalMs, nowMs - sinceMs);
      return;
    }
    this.#refusedSinceMs.delete(kind);
    if (status === 200) this.#served += 1;
  }

  /** Each part alone unless it is deadly alone, all parts that are not deadly together, and none. */
  #sharedParts(): readonly (readonly DeadlyPart[])[] {
    const { parts } = this.#scenario;
    const all = Object.values(DeadlyPart);
    const isHarmless = (set: readonly DeadlyPart[]) => !parts.every((part) => set.includes(part));
    const singles = all.map((part) => [part]);
    return [...singles, all.filter((part) => part !== parts[0]), []].filter(isHarmless);
  }
}
