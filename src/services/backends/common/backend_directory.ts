/** The backend servers that the platform lists. */
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";
import type { ILogger } from "../../logging/common/logger.ts";

/**
 * How long an entry that lapsed during an outage of the store still counts, in ms. A live server is
 * listed again within two seconds of the store's return; the rest is the lag of reading the list.
 */
const LAPSED_GRACE_MS = 2200;

export interface IBackendEntry {
  /** Identity of one life of a backend server; addresses are used again, identities rarely. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Requests that the server runs at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Unix time of the server's start in ms; distinguishes two lives with one identity. */
  readonly startedAtMs: number;
}

interface IListed {
  readonly entry: IBackendEntry;
  /** When the entry is to be taken as gone, in ms of the clock; undefined while it is listed. */
  goneAtMs: number | undefined;
}

export class BackendDirectory {
  readonly #logger: ILogger;
  readonly #now: () => number;
  readonly #listed = new Map<string, IListed>();
  readonly #byService = new Map<string, IBackendEntry[]>();
  readonly #onDidRemove = new Emitter<IBackendEntry>();
  readonly onDidRemove: Event<IBackendEntry> = this.#onDidRemove.event;

  constructor(logger: ILogger, now: () => number) {
    this.#logger = logger;
    this.#now = now;
  }

  get size(): number {
    return this.#listed.size;
  }

  has(id: string): boolean {
    return this.#listed.has(id);
  }

  get(id: string): IBackendEntry | undefined {
    return this.#listed.get(id)?.entry;
  }

  all(): IBackendEntry[] {
    this.#dropLapsed();
    return [...this.#listed.values()].map(({ entry }) => entry);
  }

  /** Servers of a service that may get new work. */
  usable(service: string): readonly IBackendEntry[] {
    this.#dropLapsed();
    let entries = this.#byService.get(service);
    if (entries === undefined) {
      entries = [...this.#listed.values()].map(({ entry }) => entry)
        .filter((entry) => entry.service === service && !entry.isDraining);
      this.#byService.set(service, entries);
    }
    return entries;
  }

  /** Notes an entry as the platform lists it now. */
  put(entry: IBackendEntry): void {
    const known = this.#listed.get(entry.id);
    this.#listed.set(entry.id, { entry, goneAtMs: undefined });
    this.#byService.clear();
    if (known !== undefined && known.entry.startedAtMs !== entry.startedAtMs) {
      this.#onDidRemove.fire(known.entry);
    }
    if (known === undefined || known.entry.isDraining !== entry.isDraining) {
      const { id, service, zone, isDraining } = entry;
      this.#logger.info("backend-listed", { id, service, zone, isDraining });
    }
  }

  /** Notes that an entry is listed no longer; one that lapsed during an outage counts a little longer. */
  remove(id: string, { mayBeLapsed }: { mayBeLapsed: boolean }): void {
    const known = this.#listed.get(id);
    if (known === undefined) return;
    if (mayBeLapsed && !known.entry.isDraining) {
      known.goneAtMs ??= this.#now() + LAPSED_GRACE_MS;
      this.#logger.info("backend-lapsed", { id, goneInMs: known.goneAtMs - this.#now() });
      return;
    }
    this.#drop(known.entry);
  }

  #dropLapsed(): void {
    const now = this.#now();
    for (const { entry, goneAtMs } of this.#listed.values()) {
      if (goneAtMs !== undefined && goneAtMs <= now) this.#drop(entry);
    }
  }

  #drop(entry: IBackendEntry): void {
    this.#listed.delete(entry.id);
    this.#byService.clear();
    this.#logger.info("backend-gone", { id: entry.id, service: entry.service });
    this.#onDidRemove.fire(entry);
  }
}
