/** Waits for evidence whether a server run has survived an event, for example a lost connection. */
import type { IServerRun } from "../../services/backends/common/leaving_servers.ts";
import { serverKey } from "./strike_ledger.ts";

/**
 * Time after which a heartbeat shows that a server has survived, in ms. An earlier one may have been on its
 * way through the store when the server crashed.
 */
const PROOF_OF_LIFE_DELAY_MS = 3000;
/** Heartbeats after that time that are required; a single one may reach an instance late that was frozen. */
const PROOF_OF_LIFE_HEARTBEATS = 2;
/** How long an event is remembered, in ms: during an outage of the store no evidence arrives. */
const RETENTION_MS = 60_000;
/** Maximum number of events for each server run; the oldest are discarded first. */
const MAX_EVENTS = 200;

interface ITrackedEvent<T> {
  readonly value: T;
  readonly atMs: number;
  heartbeats: number;
}

interface IServerEvents<T> {
  readonly server: IServerRun;
  readonly events: ITrackedEvent<T>[];
}

export class SurvivalTracker<T> {
  readonly #now: () => number;
  readonly #events = new Map<string, IServerEvents<T>>();

  constructor(now: () => number) {
    this.#now = now;
  }

  /** Adds an event of now, or of an earlier Unix time in ms. */
  add(server: IServerRun, value: T, atMs = Infinity): void {
    const key = serverKey(server);
    const events = this.#events.get(key)?.events ?? [];
    const now = this.#now();
    // An older event would be forgotten before the next heartbeats.
    const countedAtMs = Math.max(now - PROOF_OF_LIFE_DELAY_MS, Math.min(atMs, now));
    events.push({ value, atMs: countedAtMs, heartbeats: 0 });
    if (events.length > MAX_EVENTS) events.shift();
    this.#events.set(key, { server, events });
  }

  /** Records a heartbeat; returns and forgets the events that the server has survived. */
  recordHeartbeat(server: IServerRun): T[] {
    const key = serverKey(server);
    const events = this.#events.get(key)?.events;
    if (events === undefined) return [];
    const latestMs = this.#now() - PROOF_OF_LIFE_DELAY_MS;
    for (const event of events) if (event.atMs <= latestMs) event.heartbeats += 1;
    const isSurvived = ({ heartbeats }: ITrackedEvent<T>) => heartbeats >= PROOF_OF_LIFE_HEARTBEATS;
    const rest = events.filter((event) => !isSurvived(event));
    this.#set(server, rest);
    return events.filter(isSurvived).map(({ value }) => value);
  }

  /** Records that a server has started; returns and forgets the events of its earlier runs. */
  recordStart({ backendId, startedAtMs }: IServerRun): T[] {
    const ended: T[] = [];
    for (const [key, { server, events }] of this.#events) {
      if (server.backendId !== backendId || server.startedAtMs >= startedAtMs) continue;
      this.#events.delete(key);
      ended.push(...this.#recent(events));
    }
    return ended;
  }

  /** Returns the values of all events. */
  values(): T[] {
    return [...this.#events.values()].flatMap(({ events }) => events.map(({ value }) => value));
  }

  /** Server runs with events, and the values of these. */
  list(): { readonly server: IServerRun; readonly values: readonly T[] }[] {
    return [...this.#events.values()].map(({ server, events }) => ({
      server,
      values: events.map(({ value }) => value),
    }));
  }

  /** Number of server runs with events. */
  get size(): number {
    return this.#events.size;
  }

  /** Forgets events that are too old to matter, among them those of servers that ended earlier. */
  evict(): void {
    const oldestMs = this.#now() - RETENTION_MS;
    for (const { server, events } of this.#events.values()) {
      this.#set(server, events.filter(({ atMs }) => atMs >= oldestMs));
    }
  }

  /** Records the end of a server; returns and forgets its events, or those of them that it concerns. */
  recordEnd(server: IServerRun, isAffected: (value: T) => boolean = () => true): T[] {
    const events = this.#events.get(serverKey(server))?.events ?? [];
    this.#set(server, events.filter(({ value }) => !isAffected(value)));
    return this.#recent(events.filter(({ value }) => isAffected(value)));
  }

  #set(server: IServerRun, events: ITrackedEvent<T>[]): void {
    const key = serverKey(server);
    if (events.length > 0) this.#events.set(key, { server, events });
    else this.#events.delete(key);
  }

  #recent(events: readonly ITrackedEvent<T>[]): T[] {
    const oldestMs = this.#now() - RETENTION_MS;
    return events.filter(({ atMs }) => atMs >= oldestMs).map(({ value }) => value);
  }
}
