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

export class SurvivalTracker<T> {
  readonly #now: () => number;
  readonly #events = new Map<string, ITrackedEvent<T>[]>();

  constructor(now: () => number) {
    this.#now = now;
  }

  add(server: IServerRun, value: T): void {
    const key = serverKey(server);
    const events = this.#events.get(key) ?? [];
    events.push({ value, atMs: this.#now(), heartbeats: 0 });
    if (events.length > MAX_EVENTS) events.shift();
    this.#events.set(key, events);
  }

  /** Records a heartbeat; returns and forgets the events that the server has survived. */
  recordHeartbeat(server: IServerRun): T[] {
    const key = serverKey(server);
    const events = this.#events.get(key);
    if (events === undefined) return [];
    const latestMs = this.#now() - PROOF_OF_LIFE_DELAY_MS;
    for (const event of events) if (event.atMs <= latestMs) event.heartbeats += 1;
    const isSurvived = ({ heartbeats }: ITrackedEvent<T>) => heartbeats >= PROOF_OF_LIFE_HEARTBEATS;
    const rest = events.filter((event) => !isSurvived(event));
    if (rest.length > 0) this.#events.set(key, rest);
    else this.#events.delete(key);
    return events.filter(isSurvived).map(({ value }) => value);
  }

  /** Returns the values of all events. */
  values(): T[] {
    return [...this.#events.values()].flatMap((events) => events.map(({ value }) => value));
  }

  /** Number of server runs with events. */
  get size(): number {
    return this.#events.size;
  }

  /** Forgets events that are too old to matter, among them those of servers that ended earlier. */
  evict(): void {
    const oldestMs = this.#now() - RETENTION_MS;
    for (const [key, events] of this.#events) {
      const rest = events.filter(({ atMs }) => atMs >= oldestMs);
      if (rest.length > 0) this.#events.set(key, rest);
      else this.#events.delete(key);
    }
  }

  /** Records the end of a server; returns and forgets its events. */
  recordEnd(server: IServerRun): T[] {
    const key = serverKey(server);
    const oldestMs = this.#now() - RETENTION_MS;
    const events = this.#events.get(key) ?? [];
    this.#events.delete(key);
    return events.filter(({ atMs }) => atMs >= oldestMs).map(({ value }) => value);
  }
}
