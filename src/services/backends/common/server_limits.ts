/** Limits that backend servers state in their responses: requests per second from all instances together. */
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";
import type { ILogger } from "../../logging/common/logger.ts";
import type { IServerRun } from "./leaving_servers.ts";

/** How long a change is repeated in the reports to other instances, in ms: datagrams may be lost. */
const REPORT_REPEAT_MS = 3000;
/** How long the last statement of a server is remembered, in ms: far longer than a request takes. */
const RETENTION_MS = 10 * 60_000;

/** What a run of a server was last known to state. */
export interface IServerLimit {
  readonly run: IServerRun;
  /** Requests per second from all instances together; undefined if the limit has ended. */
  readonly perSecond: number | undefined;
  /** Time since the statement, in ms. Instances exchange ages, as their clocks may differ. */
  readonly ageMs: number;
}

interface IStatement {
  readonly run: IServerRun;
  readonly perSecond: number | undefined;
  readonly observedAtMs: number;
  /** Time at which the limit last changed. */
  readonly changedAtMs: number;
  /** Whether this instance has received the change from the server. */
  readonly isOwnChange: boolean;
}

/** Remembers the newest statement of each server, whichever instance has received it. */
export class ServerLimits {
  readonly #logger: ILogger;
  readonly #now: () => number;
  readonly #statements = new Map<string, IStatement>();
  readonly #onDidChange = new Emitter<IServerRun>();
  /** Fires when a limit begins, changes or ends. */
  readonly onDidChange: Event<IServerRun> = this.#onDidChange.event;

  constructor(logger: ILogger, now: () => number) {
    this.#logger = logger;
    this.#now = now;
  }

  /** Records what a response to this instance states. A statement that is not a number changes nothing. */
  record(run: IServerRun, perSecond: number | undefined): void {
    if (Number.isNaN(perSecond)) {
      this.#logger.warn("backend-limit-unreadable", { id: run.backendId, startedAtMs: run.startedAtMs });
      return;
    }
    this.#add({ run, perSecond, ageMs: 0 }, { isOwn: true });
  }

  /** Records what another instance knows, unless a newer statement is known here. */
  merge(limit: IServerLimit): void {
    this.#add(limit, { isOwn: false });
  }

  /** Requests per second that a run of a server accepts from all instances; undefined without a limit. */
  perSecond(run: IServerRun): number | undefined {
    return this.#statementOf(run)?.perSecond;
  }

  /** Newest statement of a run; undefined if it has never stated a limit. */
  get(run: IServerRun): IServerLimit | undefined {
    const statement = this.#statementOf(run);
    return statement === undefined ? undefined : this.#toLimit(statement);
  }

  /** All limits in force. */
  list(): IServerLimit[] {
    return [...this.#statements.values()].filter(({ perSecond }) => perSecond !== undefined)
      .map((statement) => this.#toLimit(statement));
  }

  /**
   * Limits that have begun, changed or ended recently, to be reported to other instances. With `isOwnOnly` without those
   * that another instance has told this one.
   */
  listRecentChanges({ isOwnOnly = false } = {}): IServerLimit[] {
    const oldestMs = this.#now() - REPORT_REPEAT_MS;
    return [...this.#statements.values()]
      .filter(({ changedAtMs, isOwnChange }) => changedAtMs >= oldestMs && (isOwnChange || !isOwnOnly))
      .map((statement) => this.#toLimit(statement));
  }

  remove({ backendId }: IServerRun): void {
    this.#statements.delete(backendId);
  }

  #statementOf({ backendId, startedAtMs }: IServerRun): IStatement | undefined {
    const statement = this.#statements.get(backendId);
    return statement?.run.startedAtMs === startedAtMs ? statement : undefined;
  }

  #toLimit({ run, perSecond, observedAtMs }: IStatement): IServerLimit {
    return { run, perSecond, ageMs: Math.max(0, this.#now() - observedAtMs) };
  }

  #add({ run, perSecond, ageMs }: IServerLimit, { isOwn }: { isOwn: boolean }): void {
    const { backendId, startedAtMs } = run;
    const now = this.#now();
    const observedAtMs = now - ageMs;
    const known = this.#statements.get(backendId);
    if (known === undefined && perSecond === undefined) return;
    if (known !== undefined && known.run.startedAtMs > startedAtMs) return;
    const isSameRun = known?.run.startedAtMs === startedAtMs;
    if (isSameRun && known.observedAtMs > observedAtMs) return;
    const former = isSameRun ? known.perSecond : undefined;
    const hasChanged = former !== perSecond;
    const changedAtMs = hasChanged || known === undefined ? now : known.changedAtMs;
    this.#statements.set(backendId, {
      run: { backendId, startedAtMs },
      perSecond,
      observedAtMs,
      changedAtMs,
      isOwnChange: hasChanged || known === undefined ? isOwn : known.isOwnChange,
    });
    if (!hasChanged) return;
    this.#evict();
    this.#logger.info("backend-limit", {
      id: backendId,
      startedAtMs,
      perSecond,
      formerPerSecond: former,
      isOwn,
      ageMs,
    });
    this.#onDidChange.fire(run);
  }

  #evict(): void {
    const oldestMs = this.#now() - RETENTION_MS;
    for (const [id, { observedAtMs }] of this.#statements) {
      if (observedAtMs < oldestMs) this.#statements.delete(id);
    }
  }
}
