/** Attributes crashes of backend servers to the requests that were unfinished on them. */
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import type { ISeparation } from "../../routing/common/backend_chooser.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IServerRun } from "../../services/backends/common/leaving_servers.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { IStrike } from "./strike_ledger.ts";
import { formatFingerprint, serverKey, strikeKey, StrikeLedger } from "./strike_ledger.ts";
import { SurvivalTracker } from "./survival_tracker.ts";

/** How long a change is repeated in the reports to other instances, in ms: datagrams may be lost. */
const REPORT_REPEAT_MS = 3000;
/** The same for pending strikes, in ms: each caller that leaves causes one, and hardly any becomes a strike. */
const PENDING_REPORT_REPEAT_MS = 500;
/** Maximum number of changes in one report, so that it fits into a datagram. */
const MAX_REPORTED_CHANGES = 100;

/** Time without a response after which an attempt is reported to the peers, in ms. */
const REPORTED_WAIT_MS = 500;
/** Time since the last heartbeat after which a server may have ended, in ms: one and a half intervals, and reading delay. */
const OVERDUE_HEARTBEAT_MS = 1900;
/** Maximum age of a server's heartbeat that shows that heartbeats are being received at all, in ms. */
const LIVE_LIST_MS = 1800;
/** How long an attempt that another instance has reported is remembered, in ms, so that repetitions are ignored. */
const PENDING_RETENTION_MS = 60_000;

/** How an attempt on a backend server ended. */
export enum AttemptResult {
  /** The server may still be running the request. */
  Unknown = "unknown",
  /** The server has not begun to run the request. */
  NotStarted = "not-started",
  /** The server sent a complete response that does not show whether it ran the request. */
  Responded = "responded",
  /** The server completed the request. */
  Succeeded = "succeeded",
  /** The connection broke before the response was complete. */
  ConnectionLost = "connection-lost",
}

/** An attempt on a backend server that is being observed. */
export interface IObservedAttempt {
  readonly requestId: string;
  readonly identity: RequestIdentity;
  readonly server: IServerRun;
  /** Level of the request's strikes when it was sent. */
  readonly level: number;
  readonly sentAtMs: number;
  /** Whether the head of a stream has arrived; its events take long also at a live server. Set by the sender. */
  isStreaming: boolean;
  /** Set by the sender as soon as it is known. */
  result: AttemptResult;
}

/** What shows that a server crashed while it had a request. */
enum CrashEvidence {
  ConnectionLost = "connection-lost",
  /** The platform's list shows that the server has ended or restarted. It may list a live one again later. */
  ServerEnded = "server-ended",
}

/** An attempt that has ended. */
interface IEndedAttempt {
  /** Undefined for an attempt that another instance has reported. */
  readonly requestId: string | undefined;
  readonly fingerprint: bigint;
  readonly server: IServerRun;
  readonly level: number;
}

/** A strike that this instance has added or withdrawn, or adds once the server has ended. */
export interface IStrikeChange {
  readonly strike: IStrike;
  readonly isWithdrawn: boolean;
  /** Whether the strike counts only once the server has ended. */
  readonly isPending: boolean;
}

/** Why a strike does not count any more. */
enum WithdrawalReason {
  /** A server completed the request. */
  Succeeded = "succeeded",
  /** The server has not crashed. */
  ServerAlive = "server-alive",
  Expired = "expired",
}

export interface ICrashMonitorOptions {
  readonly logger: ILogger;
  readonly metrics: Metrics;
  /** Unix time in ms. */
  readonly now: () => number;
}

export class CrashMonitor {
  readonly #opts: ICrashMonitorOptions;
  readonly #ledger: StrikeLedger;
  readonly #recentChanges = new Map<string, { readonly change: IStrikeChange; readonly atMs: number }>();
  readonly #running = new Map<string, Set<IObservedAttempt>>();
  /** Attempts of which it is not known whether the server survived them. */
  readonly #unresolved: SurvivalTracker<IEndedAttempt>;
  /** Strikes of this instance, which later heartbeats of the same server run refute. */
  readonly #refutableStrikes: SurvivalTracker<IStrike>;
  /** Unix time in ms at which other instances' attempts with an unknown end became known, by strike. */
  readonly #reportedPending = new Map<string, number>();
  readonly #loggedQuarantines = new Set<bigint>();
  /** Unix time in ms of the last heartbeat of each listed server run. */
  readonly #heartbeats = new Map<string, number>();
  #newestHeartbeatMs = 0;
  /** Start of the latest known run of each server, in Unix ms, by server id. */
  readonly #latestStarts = new Map<string, number>();
  readonly #onDidChange = new Emitter<IStrikeChange>();
  /** Fires when this instance adds or withdraws a strike, not for strikes of other instances. */
  readonly onDidChange: Event<IStrikeChange> = this.#onDidChange.event;

  constructor(opts: ICrashMonitorOptions) {
    this.#opts = opts;
    this.#ledger = new StrikeLedger(opts.now);
    this.#unresolved = new SurvivalTracker(opts.now);
    this.#refutableStrikes = new SurvivalTracker(opts.now);
  }

  /** Number of requests that are refused because they crash servers. */
  get quarantinedCount(): number {
    return this.#ledger.quarantinedCount;
  }

  get strikeCount(): number {
    return this.#ledger.size;
  }

  /** Whether a server has crashed while it had the request. */
  isSuspect(identity: RequestIdentity): boolean {
    return this.#ledger.size > 0 && this.#ledger.levelOf(identity.fingerprint) > 0;
  }

  /** Whether the request has crashed so many servers that it must not be sent to another one. */
  isQuarantined(identity: RequestIdentity): boolean {
    if (this.#ledger.size === 0 || !this.#ledger.isQuarantined(identity.fingerprint)) return false;
    this.#logQuarantine(identity.fingerprint);
    return true;
  }

  /** Time after which a quarantined request may be sent again, in ms; undefined if it crashes servers itself. */
  quarantineEndsInMs({ fingerprint }: RequestIdentity): number | undefined {
    return this.#ledger.heldBackMs(fingerprint);
  }

  /** Returns how a suspect is separated from the others; undefined if it has no strikes. */
  separationOf({ fingerprint }: RequestIdentity): ISeparation | undefined {
    return this.#ledger.separationOf(fingerprint);
  }

  /** Returns the servers without those on which the request has a strike, or all if none remain. */
  withoutStruck(identity: RequestIdentity, backends: readonly IBackendEntry[]): readonly IBackendEntry[] {
    const struck = new Set(this.#ledger.strikesOf(identity.fingerprint).map(serverKey));
    const others = backends.filter((entry) => !struck.has(serverKey(toServerRun(entry))));
    return others.length > 0 ? others : backends;
  }

  /** Returns the log fields that show what is known about a request. */
  evidenceFor({ fingerprint, logFields }: RequestIdentity): object {
    const strikes = this.#ledger.strikesOf(fingerprint);
    return {
      fingerprint: formatFingerprint(fingerprint),
      strikes: strikes.length,
      strikeLevel: this.#ledger.levelOf(fingerprint),
      ...logFields,
    };
  }

  /** Starts to observe an attempt; `finish` must be called when it ends. */
  observe(
    identity: RequestIdentity,
    { requestId, backend }: { requestId: string; backend: IBackendEntry },
  ): IObservedAttempt {
    const level = this.#ledger.size === 0 ? 0 : this.#ledger.levelOf(identity.fingerprint);
    const server = toServerRun(backend);
    const sentAtMs = this.#opts.now();
    const result = AttemptResult.Unknown;
    const attempt = { requestId, identity, server, level, sentAtMs, isStreaming: false, result };
    const key = serverKey(server);
    const running = this.#running.get(key) ?? new Set();
    running.add(attempt);
    this.#running.set(key, running);
    return attempt;
  }

  /** Evaluates an attempt that has ended. */
  finish(attempt: IObservedAttempt): void {
    const key = serverKey(attempt.server);
    const running = this.#running.get(key);
    const hasServerEnded = running?.delete(attempt) !== true;
    if (running?.size === 0) this.#running.delete(key);
    switch (attempt.result) {
      case AttemptResult.ConnectionLost:
        return this.#strike(toEnded(attempt), CrashEvidence.ConnectionLost);
      case AttemptResult.Succeeded:
        return this.#clear(attempt.identity);
      case AttemptResult.Unknown:
        if (hasServerEnded) this.#strike(toEnded(attempt), CrashEvidence.ServerEnded);
        else this.#awaitServer(toEnded(attempt));
    }
  }

  /** Strikes the attempt if its server ends. Reports it, since another instance may outlive this one. */
  #awaitServer(attempt: IEndedAttempt): void {
    this.#unresolved.add(attempt.server, attempt);
    this.#reportPending(attempt);
  }

  #reportPending(attempt: IEndedAttempt): void {
    const strike = this.#toStrike(attempt);
    if (this.#ledger.has(strikeKey(strike))) return;
    this.#report({ strike, isWithdrawn: false, isPending: true });
  }

  /**
   * Records that a server is no longer listed, or has restarted under the same id. A server that leaves
   * without draining first may still complete its requests, so running ones are struck only if they fail.
   */
  serverEnded(entry: IBackendEntry): void {
    const server = toServerRun(entry);
    this.#heartbeats.delete(serverKey(server));
    if (this.#latestStarts.get(entry.id) === entry.startedAtMs) this.#latestStarts.delete(entry.id);
    const unresolved = this.#unresolved.recordEnd(server);
    if (entry.isDraining) return;
    this.#running.delete(serverKey(server));
    for (const attempt of unresolved) this.#strike(attempt, CrashEvidence.ServerEnded);
  }

  /** Records a heartbeat of a server, which shows that it has not crashed during earlier attempts. */
  serverRenewed(entry: IBackendEntry): void {
    const server = toServerRun(entry);
    this.#newestHeartbeatMs = this.#opts.now();
    this.#heartbeats.set(serverKey(server), this.#newestHeartbeatMs);
    this.#latestStarts.set(server.backendId, server.startedAtMs);
    // This instance may have started after the end of an earlier run.
    for (const attempt of this.#unresolved.recordStart(server)) {
      this.#strike(attempt, CrashEvidence.ServerEnded);
    }
    this.#unresolved.recordHeartbeat(server);
    for (const strike of this.#refutableStrikes.recordHeartbeat(server)) {
      this.#withdraw(strike, WithdrawalReason.ServerAlive);
    }
  }

  /**
   * Returns pending strikes of the requests on servers whose heartbeats are overdue, and of all suspects that are being
   * run, and reports them to the peers. They are kept outside this instance, as all instances may be lost before the
   * end of a server is noticed. Requests that wait long for a response are reported, not returned: this instance may be
   * the only one that is lost.
   */
  reportAtRisk(): IStrike[] {
    const now = this.#opts.now();
    const isListLive = now - this.#newestHeartbeatMs <= LIVE_LIST_MS;
    const isAtRisk = ({ server, level }: IEndedAttempt) => {
      const heartbeatMs = this.#heartbeats.get(serverKey(server)) ?? now;
      return level > 0 || (isListLive && now - heartbeatMs > OVERDUE_HEARTBEAT_MS);
    };
    const observed = [...this.#running.values()].flatMap((attempts) => [...attempts]);
    for (const attempt of observed) {
      if (!attempt.isStreaming && now - attempt.sentAtMs > REPORTED_WAIT_MS) {
        this.#reportPending(toEnded(attempt));
      }
    }
    const running = observed.map(toEnded);
    const own = [...running, ...this.#unresolved.values()].filter(({ requestId }) => requestId !== undefined);
    const atRisk = own.filter(isAtRisk);
    for (const attempt of atRisk) this.#reportPending(attempt);
    return atRisk.map((attempt) => this.#toStrike(attempt));
  }

  /** Applies a change that another instance has made; returns whether it was new. */
  merge({ strike, isWithdrawn, isPending }: IStrikeChange): boolean {
    if (isPending) return this.#mergePending(strike);
    if (isWithdrawn) return this.#ledger.withdraw(strikeKey(strike)) !== undefined;
    return this.#ledger.add(strike);
  }

  /** Observes the server of an attempt that another instance has reported. */
  #mergePending(strike: IStrike): boolean {
    const key = strikeKey(strike);
    const isExpired = this.#opts.now() - strike.atMs > PENDING_RETENTION_MS;
    if (
      isExpired || this.#reportedPending.has(key) || this.#ledger.has(key) || this.#ledger.isObsolete(strike)
    ) {
      return false;
    }
    this.#reportedPending.set(key, this.#opts.now());
    const { fingerprint, backendId, startedAtMs, level } = strike;
    const server = { backendId, startedAtMs };
    const attempt = { requestId: undefined, fingerprint, server, level: level - 1 };
    const hasEnded = (this.#latestStarts.get(backendId) ?? 0) > startedAtMs;
    if (hasEnded) this.#strike(attempt, CrashEvidence.ServerEnded);
    else this.#unresolved.add(server, attempt);
    return true;
  }

  /** Returns all strikes that this instance knows, for an instance that has none yet. */
  listChanges(): IStrikeChange[] {
    const strikes = this.#ledger.list().map((strike) => ({ strike, isWithdrawn: false, isPending: false }));
    const pending = this.#unresolved.values().slice(-MAX_REPORTED_CHANGES).map((attempt) => ({
      strike: this.#toStrike(attempt),
      isWithdrawn: false,
      isPending: true,
    }));
    return [...strikes, ...pending];
  }

  /** Applies the deletion of a strike that another instance has withdrawn. */
  mergeWithdrawal(key: string): void {
    this.#ledger.withdraw(key);
  }

  hasStrike(key: string): boolean {
    return this.#ledger.has(key);
  }

  /** Whether a strike is withdrawn or too old to count. */
  isObsolete(strike: IStrike): boolean {
    return this.#ledger.isObsolete(strike);
  }

  /** Returns this instance's recent changes, to be reported to the others. */
  recentChanges(): IStrikeChange[] {
    const now = this.#opts.now();
    for (const [key, { change, atMs }] of this.#recentChanges) {
      const repeatMs = change.isPending ? PENDING_REPORT_REPEAT_MS : REPORT_REPEAT_MS;
      if (now - atMs > repeatMs) this.#recentChanges.delete(key);
    }
    return [...this.#recentChanges.values()].slice(-MAX_REPORTED_CHANGES).map(({ change }) => change);
  }

  /** Discards what has expired. */
  evict(): void {
    this.#unresolved.evict();
    const oldestMs = this.#opts.now() - PENDING_RETENTION_MS;
    for (const [key, atMs] of this.#reportedPending) if (atMs < oldestMs) this.#reportedPending.delete(key);
    this.#refutableStrikes.evict();
    for (const strike of this.#ledger.evict()) this.#recordWithdrawal(strike, WithdrawalReason.Expired);
  }

  #toStrike({ fingerprint, server, level }: IEndedAttempt): IStrike {
    return { ...server, fingerprint, level: level + 1, atMs: this.#opts.now() };
  }

  #strike(attempt: IEndedAttempt, evidence: CrashEvidence): void {
    const { requestId, fingerprint, server } = attempt;
    const strike = this.#toStrike(attempt);
    if (!this.#ledger.add(strike)) return;
    this.#refutableStrikes.add(server, strike);
    this.#opts.metrics.incrementCounter("strikes", { evidence });
    this.#opts.logger.warn("strike-added", {
      request: requestId,
      fingerprint: formatFingerprint(fingerprint),
      backend: server.backendId,
      strikeLevel: strike.level,
      evidence,
    });
    this.#publish({ strike, isWithdrawn: false, isPending: false });
  }

  #clear(identity: RequestIdentity): void {
    this.#ledger.recordProven(identity.fingerprint);
    if (this.#ledger.size === 0) return;
    for (const strike of this.#ledger.strikesOf(identity.fingerprint)) {
      this.#withdraw(strike, WithdrawalReason.Succeeded);
    }
  }

  #withdraw(strike: IStrike, reason: WithdrawalReason): void {
    if (this.#ledger.withdraw(strikeKey(strike)) !== undefined) this.#recordWithdrawal(strike, reason);
  }

  #recordWithdrawal(strike: IStrike, reason: WithdrawalReason): void {
    this.#loggedQuarantines.delete(strike.fingerprint);
    this.#opts.logger.info("strike-withdrawn", {
      fingerprint: formatFingerprint(strike.fingerprint),
      backend: strike.backendId,
      reason,
    });
    this.#publish({ strike, isWithdrawn: true, isPending: false });
  }

  #publish(change: IStrikeChange): void {
    this.#report(change);
    this.#onDidChange.fire(change);
  }

  #report(change: IStrikeChange): void {
    this.#recentChanges.delete(strikeKey(change.strike));
    this.#recentChanges.set(strikeKey(change.strike), { change, atMs: this.#opts.now() });
  }

  /** Logs the first refusal of a request since its last strike was withdrawn. */
  #logQuarantine(fingerprint: bigint): void {
    if (this.#loggedQuarantines.has(fingerprint)) return;
    this.#loggedQuarantines.add(fingerprint);
    this.#opts.logger.warn("request-quarantined", {
      fingerprint: formatFingerprint(fingerprint),
      strikeLevel: this.#ledger.levelOf(fingerprint),
      servers: this.#ledger.strikesOf(fingerprint).map(serverKey),
    });
  }
}

function toEnded({ requestId, identity, server, level }: IObservedAttempt): IEndedAttempt {
  return { requestId, fingerprint: identity.fingerprint, server, level };
}

function toServerRun({ id, startedAtMs }: IBackendEntry): IServerRun {
  return { backendId: id, startedAtMs };
}
