/** Runs of backend servers that have announced, in a response of their own, that they are leaving. */
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";
import type { ILogger } from "../../logging/common/logger.ts";

/** How long an announcement is repeated in the reports to other instances, in ms: datagrams may be lost. */
const REPORT_REPEAT_MS = 3000;
/** How long an announcement is remembered, in ms: far longer than a server takes to leave. */
const RETENTION_MS = 30 * 60_000;

/** One run of a backend server. */
export interface IServerRun {
  readonly backendId: string;
  /** Unix time of the server's start in ms; distinguishes two runs under the same id. */
  readonly startedAtMs: number;
}

interface IAnnouncement {
  readonly run: IServerRun;
  readonly atMs: number;
  /** Whether a server announced it to this instance. */
  readonly isOwn: boolean;
}

/**
 * Remembers announcements independently of the platform's list, whose entries may be older than the announcement
 * or return after an outage. Only a later run under the same id ends what an announcement says.
 */
export class LeavingServers {
  readonly #logger: ILogger;
  readonly #now: () => number;
  readonly #announcements = new Map<string, IAnnouncement>();
  readonly #onDidAdd = new Emitter<IServerRun>();
  /** Fires when a run is announced for the first time. */
  readonly onDidAdd: Event<IServerRun> = this.#onDidAdd.event;

  constructor(logger: ILogger, now: () => number) {
    this.#logger = logger;
    this.#now = now;
  }

  /** Records what a server has announced to this instance. */
  recordAnnouncement(run: IServerRun): void {
    this.#add(run, { isOwn: true });
  }

  /** Records what a server has announced to another instance. */
  merge(run: IServerRun): void {
    this.#add(run, { isOwn: false });
  }

  has({ backendId, startedAtMs }: IServerRun): boolean {
    const announced = this.#announcements.get(backendId);
    return announced !== undefined && startedAtMs <= announced.run.startedAtMs;
  }

  list(): IServerRun[] {
    return [...this.#announcements.values()].map(({ run }) => run);
  }

  /** Recent announcements to this instance, to be reported to the others. */
  listRecent(): IServerRun[] {
    const oldestMs = this.#now() - REPORT_REPEAT_MS;
    return [...this.#announcements.values()]
      .filter(({ isOwn, atMs }) => isOwn && atMs >= oldestMs)
      .map(({ run }) => run);
  }

  #add(run: IServerRun, { isOwn }: { isOwn: boolean }): void {
    if (this.has(run)) return;
    this.#evict();
    const { backendId, startedAtMs } = run;
    this.#announcements.set(backendId, { run: { backendId, startedAtMs }, atMs: this.#now(), isOwn });
    this.#logger.info("backend-leaving", { id: backendId, startedAtMs, isOwn });
    this.#onDidAdd.fire(run);
  }

  #evict(): void {
    const oldestMs = this.#now() - RETENTION_MS;
    for (const [id, { atMs }] of this.#announcements) if (atMs < oldestMs) this.#announcements.delete(id);
  }
}
