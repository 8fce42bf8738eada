/** Directory of the backend servers that the platform lists. */
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";
import type { ILogger } from "../../logging/common/logger.ts";
import type { LeavingServers } from "./leaving_servers.ts";

/**
 * Time for which an entry that lapsed (expired without renewal) during a store outage stays available, in ms.
 * A live server is listed again within two seconds of the end of the outage; the rest covers the delay of
 * reading the list.
 */
const LAPSED_GRACE_MS = 2200;

export interface IBackendEntry {
  /** Identifies one run of a backend server. Addresses are reused, ids only rarely. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  /** Whether the server receives no new requests, according to the platform's list or to itself. */
  readonly isDraining: boolean;
  /** Unix time of the server's start in ms; distinguishes two runs under the same id. */
  readonly startedAtMs: number;
  /** Version of the server's software, not of its weights; undefined if the entry states none. */
  readonly softwareVersion?: string;
}

interface IDirectoryEntry {
  readonly entry: IBackendEntry;
  /** Time at which the lapsed entry is removed, in ms of the clock; undefined while it is listed. */
  removeAtMs: number | undefined;
}

export class BackendDirectory {
  readonly #logger: ILogger;
  readonly #now: () => number;
  readonly #leaving: LeavingServers;
  readonly #entries = new Map<string, IDirectoryEntry>();
  readonly #byService = new Map<string, IBackendEntry[]>();
  readonly #onDidRemove = new Emitter<IBackendEntry>();
  /** Fires when an entry is removed, and when a server has restarted under the same id. */
  readonly onDidRemove: Event<IBackendEntry> = this.#onDidRemove.event;

  constructor(logger: ILogger, { now, leaving }: { now: () => number; leaving: LeavingServers }) {
    this.#logger = logger;
    this.#now = now;
    this.#leaving = leaving;
    leaving.onDidAdd(({ backendId }) => this.#applyAnnouncement(backendId));
  }

  get size(): number {
    return this.#entries.size;
  }

  has(id: string): boolean {
    return this.#entries.has(id);
  }

  get(id: string): IBackendEntry | undefined {
    return this.#entries.get(id)?.entry;
  }

  listAll(): IBackendEntry[] {
    this.#removeLapsed();
    return [...this.#entries.values()].map(({ entry }) => entry);
  }

  /** Servers of a service that may be sent new requests; excludes draining ones. */
  listAvailable(service: string): readonly IBackendEntry[] {
    this.#removeLapsed();
    let entries = this.#byService.get(service);
    if (entries === undefined) {
      entries = [...this.#entries.values()].map(({ entry }) => entry)
        .filter((entry) => entry.service === service && !entry.isDraining);
      this.#byService.set(service, entries);
    }
    return entries;
  }

  /** Whether a request may be sent to this run of a server now; a choice made earlier may be outdated. */
  isAvailable({ id, startedAtMs }: IBackendEntry): boolean {
    this.#removeLapsed();
    const entry = this.get(id);
    return entry !== undefined && !entry.isDraining && entry.startedAtMs === startedAtMs;
  }

  /** Adds an entry or replaces it with its current state in the platform's list. */
  put(listed: IBackendEntry): void {
    const entry = this.#withAnnouncement(listed);
    const previous = this.#entries.get(entry.id);
    this.#entries.set(entry.id, { entry, removeAtMs: undefined });
    this.#byService.clear();
    if (previous !== undefined && previous.entry.startedAtMs !== entry.startedAtMs) {
      const { id, startedAtMs } = entry;
      this.#logger.info("backend-restarted", {
        id,
        startedAtMs,
        formerStartedAtMs: previous.entry.startedAtMs,
      });
      this.#onDidRemove.fire(previous.entry);
    }
    if (previous === undefined || previous.entry.isDraining !== entry.isDraining) {
      const { id, service, zone, isDraining, startedAtMs, softwareVersion } = entry;
      this.#logger.info("backend-listed", { id, service, zone, isDraining, startedAtMs, softwareVersion });
    }
  }

  /**
   * Removes an entry that is no longer listed. One that may have lapsed during a store outage is kept
   * for {@link LAPSED_GRACE_MS}, unless it was draining.
   */
  remove(id: string, { mayBeLapsed }: { mayBeLapsed: boolean }): void {
    const previous = this.#entries.get(id);
    if (previous === undefined) return;
    if (mayBeLapsed && !previous.entry.isDraining) {
      previous.removeAtMs ??= this.#now() + LAPSED_GRACE_MS;
      this.#logger.info("backend-lapsed", { id, goneInMs: previous.removeAtMs - this.#now() });
      return;
    }
    this.#delete(previous.entry);
  }

  /** Returns the entry as draining if this run of the server has announced that it is leaving. */
  #withAnnouncement(entry: IBackendEntry): IBackendEntry {
    const { id: backendId, startedAtMs } = entry;
    return this.#leaving.has({ backendId, startedAtMs }) ? { ...entry, isDraining: true } : entry;
  }

  #applyAnnouncement(id: string): void {
    const known = this.#entries.get(id);
    if (known === undefined) return;
    this.#entries.set(id, { ...known, entry: this.#withAnnouncement(known.entry) });
    this.#byService.clear();
  }

  #removeLapsed(): void {
    const now = this.#now();
    for (const { entry, removeAtMs } of this.#entries.values()) {
      if (removeAtMs !== undefined && removeAtMs <= now) this.#delete(entry);
    }
  }

  #delete(entry: IBackendEntry): void {
    this.#entries.delete(entry.id);
    this.#byService.clear();
    this.#logger.info("backend-gone", { id: entry.id, service: entry.service });
    this.#onDidRemove.fire(entry);
  }
}
