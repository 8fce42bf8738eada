/** Attributes crashes of backend servers to the requests that were unfinished on them. */
import type { Effect } from "effect";
import { Latch } from "effect";
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import type { ISeparation } from "../../routing/common/backend_chooser.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IServerRun } from "../../services/backends/common/leaving_servers.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { IEndedAttempt, IObservedAttempt } from "./observed_attempt.ts";
import { AttemptResult, toEnded, toServerRun } from "./observed_attempt.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { IRequestKey } from "./request_keys.ts";
import { formatParts } from "./request_keys.ts";
import type { ISharedCause } from "./shared_part_ledger.ts";
import type { IStrike } from "./strike_ledger.ts";
import {
  CLOCK_TOLERANCE_MS,
  formatFingerprint,
  serverKey,
  strikeKey,
  StrikeLedger,
} from "./strike_ledger.ts";
import { SurvivalTracker } from "./survival_tracker.ts";

/** How long a change is repeated in the reports to other instances, in ms: datagrams may be lost. */
const REPORT_REPEAT_MS = 3000;
/** The same for pending strikes, in ms: each caller that leaves causes one, and hardly any becomes a strike. */
const PENDING_REPORT_REPEAT_MS = 500;
/** Maximum number of changes in one report, so that it fits into a datagram. */
const MAX_REPORTED_CHANGES = 100;

/** Time before the loss of all links is noticed in which lost connections may be due to it, in ms. */
const LINK_LOSS_LOOKBACK_MS = 1500;
/** Time without a response after which an attempt is reported to the peers, in ms. */
const REPORTED_WAIT_MS = 500;
/** Time since the last heartbeat after which a server may have ended, in ms: one and a half intervals, and reading delay. */
const OVERDUE_HEARTBEAT_MS = 1900;
/** Maximum age of a server's heartbeat that shows that heartbeats are being received at all, in ms. */
const LIVE_LIST_MS = 1800;
/** How long an attempt that another instance has reported is remembered, in ms, so that repetitions are ignored. */
const PENDING_RETENTION_MS = 60_000;

/** What shows that a server crashed while it had a request. */
enum CrashEvidence {
  ConnectionLost = "connection-lost",
  /** The platform's list shows that the server has ended or restarted. It may list a live one again later. */
  ServerEnded = "server-ended",
  /** The server accepts no connections while others do, and the platform's list is not being read. */
  Unreachable = "unreachable",
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
  /** The instance had lost its links to all servers. */
  LinksLost = "links-lost",
}

export interface ICrashMonitorOptions {
  readonly logger: ILogger;
  readonly metrics: Metrics;
  /** Unix time in ms. */
  readonly now: () => number;
  /** In [0, 1), different for each instance; 0 by default. */
  readonly spread?: number;
}

/** A server run that may have ended without a trace. */
export interface ISilentServer {
  readonly server: IServerRun;
  /** Unix time at which the last of its requests without a response was sent, in ms. */
  readonly lastSentAtMs: number;
}

export class CrashMonitor {
  readonly #opts: ICrashMonitorOptions;
  readonly #ledger: StrikeLedger;
  readonly #recentChanges = new Map<string, { readonly change: IStrikeChange; readonly atMs: number }>();
  readonly #running = new Map<string, Set<IObservedAttempt>>();
  /** Open while attempts of this instance run or may be unresolved. */
  readonly #active = Latch.makeUnsafe(false);
  /** Attempts of which it is not known whether the server survived them. */
  readonly #unresolved: SurvivalTracker<IEndedAttempt>;
  /** Strikes of this instance, which later heartbeats of the same server run refute. */
  readonly #refutableStrikes: SurvivalTracker<IStrike>;
  /** Strikes of other instances, which may be lost before they see such a heartbeat. */
  readonly #reportedStrikes: SurvivalTracker<IStrike>;
  /** Unix time in ms at which other instances' attempts with an unknown end became known, by strike. */
  readonly #reportedPending = new Map<string, number>();
  /** Attempts of this instance that were struck because their connections were lost a moment ago. */
  #recentLosses: { readonly attempt: IEndedAttempt; readonly strike: IStrike; readonly atMs: number }[] = [];
  readonly #loggedQuarantines = new Set<bigint>();
  /** Unix time in ms of the last heartbeat of each listed server run. */
  readonly #heartbeats = new Map<string, number>();
  #newestHeartbeatMs = 0;
  /** Start of the latest known run of each server, in Unix ms, by server id. */
  readonly #latestStarts = new Map<string, number>();
  readonly #onDidChange = new Emitter<IStrikeChange>();
  /** Fires when this instance adds or withdraws a strike, not for strikes of other instances. */
  readonly onDidChange: Event<IStrikeChange> = this.#onDidChange.event;
  readonly #onDidNarrow = new Emitter<IStrike>();
  /** Fires when a strike loses parts with which requests have completed, unless other instances must know at once. */
  readonly onDidNarrow: Event<IStrike> = this.#onDidNarrow.event;

  constructor(opts: ICrashMonitorOptions) {
    this.#opts = opts;
    this.#ledger = new StrikeLedger(opts.now, opts.spread);
    this.#unresolved = new SurvivalTracker(opts.now);
    this.#refutableStrikes = new SurvivalTracker(opts.now);
    this.#reportedStrikes = new SurvivalTracker(opts.now);
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

  /**
   * Whether the request, or a part of it that others share, has crashed so many servers that it must not be sent to another
   * one.
   */
  isQuarantined(identity: RequestIdentity): boolean {
    if (this.#ledger.size === 0) return false;
    if (this.#ledger.isQuarantined(identity.fingerprint)) {
      this.#logQuarantine(identity.fingerprint, this.#ledger.strikesOf(identity.fingerprint));
      return true;
    }
    const cause = this.#sharedCauseOf(identity);
    if (cause === undefined) return false;
    this.#logQuarantine(cause.key.hash, cause.strikes, cause.key);
    return true;
  }

  /** Time after which a quarantined request may be sent again, in ms; undefined if it is not. */
  quarantineEndsInMs(identity: RequestIdentity): number | undefined {
    if (!this.#ledger.isQuarantined(identity.fingerprint)) return this.#sharedCauseOf(identity)?.endsInMs;
    return this.#ledger.heldBackMs(identity.fingerprint);
  }

  #sharedCauseOf({ sharedKeys }: RequestIdentity): ISharedCause | undefined {
    return this.#ledger.sharedCauseOf(sharedKeys, (key) => this.#isTried(key));
  }

  /**
   * Whether another request with a suspected part is being run, as far as this instance knows. Right after a loss of all
   * instances, one that another instance has reported counts until its server is known to have survived it.
   */
  #isTried(key: IRequestKey): boolean {
    const hasKey = ({ suspectedKeys }: { readonly suspectedKeys: readonly IRequestKey[] }) =>
      suspectedKeys.some(({ hash }) => hash === key.hash);
    if ([...this.#running.values()].some((attempts) => [...attempts].some(hasKey))) return true;
    return this.#ledger.isInherited(key) && this.#unresolved.values().some(hasKey);
  }

  /** Returns how a suspect is separated from the others; undefined if it has no strikes. */
  separationOf({ fingerprint, sharedKeys }: RequestIdentity): ISeparation | undefined {
    if (this.#ledger.size === 0) return undefined;
    const separation = this.#ledger.separationOf(fingerprint);
    if (separation !== undefined) return separation;
    const [key] = this.#ledger.suspectedAmong(sharedKeys);
    return key === undefined
      ? undefined
      : { crash: String(key.hash), position: Number(fingerprint & 0xffffn) };
  }

  /** Returns the servers without those on which the request has a strike, or all if none remain. */
  withoutStruck(identity: RequestIdentity, backends: readonly IBackendEntry[]): readonly IBackendEntry[] {
    const struck = new Set(this.#ledger.strikesOf(identity.fingerprint).map(serverKey));
    const others = backends.filter((entry) => !struck.has(serverKey(toServerRun(entry))));
    return others.length > 0 ? others : backends;
  }

  /** Returns the log fields that show what is known about a request. */
  evidenceFor(identity: RequestIdentity): object {
    const { fingerprint, logFields } = identity;
    const strikes = this.#ledger.strikesOf(fingerprint);
    const cause = this.#ledger.size === 0 ? undefined : this.#sharedCauseOf(identity);
    return {
      fingerprint: formatFingerprint(fingerprint),
      strikes: strikes.length,
      strikeLevel: this.#ledger.levelOf(fingerprint),
      key: cause === undefined ? undefined : formatKey(cause.key),
      keyServers: cause?.strikes.map(serverKey),
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
    const suspectedKeys = this.#ledger.size === 0 ? [] : this.#ledger.suspectedAmong(identity.sharedKeys);
    const result = AttemptResult.Unknown;
    const attempt = {
      requestId,
      identity,
      server,
      level,
      suspectedKeys,
      sentAtMs,
      isStreaming: false,
      result,
    };
    const key = serverKey(server);
    const running = this.#running.get(key) ?? new Set();
    running.add(attempt);
    this.#running.set(key, running);
    Latch.openUnsafe(this.#active);
    // Instances that have started together must not try the same part together.
    if (suspectedKeys.some((key) => this.#ledger.isInherited(key))) this.#reportPending(toEnded(attempt));
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
        this.#strike(toEnded(attempt), CrashEvidence.ConnectionLost);
        return;
      case AttemptResult.Succeeded:
        return this.#clear(attempt);
      case AttemptResult.Unknown:
        if (hasServerEnded) this.#strike(toEnded(attempt), CrashEvidence.ServerEnded);
        else this.#awaitServer(toEnded(attempt));
    }
  }

  /** Strikes the attempt if its server ends. Reports it, since another instance may outlive this one. */
  #awaitServer(attempt: IEndedAttempt): void {
    this.#unresolved.add(attempt.server, attempt);
    Latch.openUnsafe(this.#active);
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

  /** Returns the server runs with requests that wait for long or whose end is unknown, and when the last of them was sent. */
  listSilentServers(): ISilentServer[] {
    const silent = new Map<string, ISilentServer>();
    const add = (server: IServerRun, attempts: readonly { readonly sentAtMs: number }[]) => {
      const key = serverKey(server);
      const lastSentAtMs = Math.max(...attempts.map(({ sentAtMs }) => sentAtMs));
      const earlierMs = silent.get(key)?.lastSentAtMs ?? -Infinity;
      silent.set(key, { server, lastSentAtMs: Math.max(earlierMs, lastSentAtMs) });
    };
    for (const { server, values } of this.#unresolved.list()) add(server, values);
    for (const attempts of this.#running.values()) {
      const waiting = [...attempts].filter((attempt) => this.#hasWaited(attempt));
      if (waiting.length > 0) add(waiting[0].server, waiting);
    }
    return [...silent.values()];
  }

  #hasWaited({ isStreaming, sentAtMs }: IObservedAttempt): boolean {
    return !isStreaming && this.#opts.now() - sentAtMs > REPORTED_WAIT_MS;
  }

  /**
   * Records that a server accepts no connections any more, and returns the number of strikes for the requests that were sent to
   * it after the given Unix time, in ms. Later heartbeats of the same run withdraw them.
   */
  serverUnreachable(server: IServerRun, sinceMs: number): number {
    const isAffected = ({ sentAtMs }: { readonly sentAtMs: number }) => sentAtMs > sinceMs;
    const running = [...this.#running.get(serverKey(server)) ?? []]
      .filter((attempt) => isAffected(attempt) && this.#hasWaited(attempt));
    const ended = [...this.#unresolved.recordEnd(server, isAffected), ...running.map(toEnded)];
    return ended.filter((attempt) => this.#strike(attempt, CrashEvidence.Unreachable)).length;
  }

  /**
   * Withdraws the strikes for connections that were lost a moment ago, because this instance has lost its links to all
   * servers and others have not. The attempts count as unresolved, as any of the servers may have ended as well.
   */
  reconsiderLosses(): void {
    const oldestMs = this.#opts.now() - LINK_LOSS_LOOKBACK_MS;
    const losses = this.#recentLosses.filter(({ atMs }) => atMs >= oldestMs);
    this.#recentLosses = [];
    for (const { attempt, strike } of losses) {
      this.#withdraw(strike, WithdrawalReason.LinksLost);
      this.#awaitServer(attempt);
    }
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
    // All other instances see the same heartbeats, so that nothing needs to be published.
    for (const strike of this.#reportedStrikes.recordHeartbeat(server)) {
      const isCounted = this.#ledger.withdraw(strikeKey(strike)) !== undefined;
      if (isCounted) this.#logWithdrawal(strike, WithdrawalReason.ServerAlive);
    }
  }

  /** Waits until this instance has attempts that {@link reportAtRisk} may have to report. */
  get awaitAttempts(): Effect.Effect<void> {
    return this.#active.await;
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
    const isAtRisk = ({ server, level, suspectedKeys }: IEndedAttempt) => {
      const heartbeatMs = this.#heartbeats.get(serverKey(server)) ?? now;
      return level > 0 || suspectedKeys.length > 0 ||
        (isListLive && now - heartbeatMs > OVERDUE_HEARTBEAT_MS);
    };
    const observed = [...this.#running.values()].flatMap((attempts) => [...attempts]);
    for (const attempt of observed) {
      if (this.#hasWaited(attempt)) this.#reportPending(toEnded(attempt));
    }
    const running = observed.map(toEnded);
    const own = [...running, ...this.#unresolved.values()].filter(({ requestId }) => requestId !== undefined);
    if (own.length === 0) Latch.closeUnsafe(this.#active);
    const atRisk = own.filter(isAtRisk);
    for (const attempt of atRisk) this.#reportPending(attempt);
    return atRisk.map((attempt) => this.#toStrike(attempt));
  }

  /** Applies a change that another instance has made; returns whether it was new. */
  merge({ strike, isWithdrawn, isPending }: IStrikeChange): boolean {
    if (isPending) return this.#mergePending(strike);
    if (isWithdrawn) return this.#ledger.withdraw(strikeKey(strike)) !== undefined;
    const isKnown = this.#ledger.has(strikeKey(strike));
    if (!this.#ledger.add(strike)) return false;
    if (!isKnown) this.#reportedStrikes.add(strike, strike, strike.atMs + CLOCK_TOLERANCE_MS);
    return true;
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
    const { fingerprint, backendId, startedAtMs, level, atMs, sentAtMs = atMs, keys = [] } = strike;
    const server = { backendId, startedAtMs };
    const suspectedKeys = keys.filter(({ wasSuspected }) => wasSuspected);
    const rest = { sentAtMs, suspectedKeys, keys: () => keys };
    const attempt = { requestId: undefined, fingerprint, server, level: level - 1, ...rest };
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

  /** Returns a copy of a known strike without the parts that are acquitted; other strikes unchanged. */
  narrow(strike: IStrike): IStrike {
    return this.#ledger.narrow(strike);
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
    this.#reportedStrikes.evict();
    for (const strike of this.#ledger.evict()) this.#recordWithdrawal(strike, WithdrawalReason.Expired);
  }

  #toStrike({ fingerprint, server, level, sentAtMs, keys }: IEndedAttempt): IStrike {
    const isProven = this.#ledger.isProven(fingerprint);
    const rest = { level: level + 1, atMs: this.#opts.now(), sentAtMs, keys: keys(), isProven };
    return { ...server, fingerprint, ...rest };
  }

  /** Returns whether the strike is new. */
  #strike(attempt: IEndedAttempt, evidence: CrashEvidence): boolean {
    const { requestId, fingerprint, server } = attempt;
    const strike = this.#toStrike(attempt);
    if (!this.#ledger.add(strike)) return false;
    this.#refutableStrikes.add(server, strike);
    if (evidence === CrashEvidence.ConnectionLost) this.#rememberLoss(attempt, strike);
    this.#opts.metrics.incrementCounter("strikes", { evidence });
    this.#opts.logger.warn("strike-added", {
      request: requestId,
      fingerprint: formatFingerprint(fingerprint),
      backend: server.backendId,
      strikeLevel: strike.level,
      suspected: this.#ledger.suspectedAmong(strike.keys ?? []).map(formatKey),
      evidence,
    });
    this.#publish({ strike: this.#ledger.narrow(strike), isWithdrawn: false, isPending: false });
    return true;
  }

  #rememberLoss(attempt: IEndedAttempt, strike: IStrike): void {
    const atMs = this.#opts.now();
    this.#recentLosses = this.#recentLosses.filter((loss) => loss.atMs >= atMs - LINK_LOSS_LOOKBACK_MS);
    this.#recentLosses.push({ attempt, strike, atMs });
  }

  #clear({ identity, sentAtMs }: IObservedAttempt): void {
    this.#ledger.recordProven(identity.fingerprint);
    // Requests whose end is unknown may have crashed a server unnoticed.
    if (this.#ledger.size === 0 && this.#unresolved.size === 0) return;
    for (const strike of this.#ledger.strikesOf(identity.fingerprint)) {
      this.#withdraw(strike, WithdrawalReason.Succeeded);
    }
    for (const { strike, isUrgent } of this.#ledger.acquit(identity.sharedKeys, sentAtMs)) {
      if (isUrgent) this.#publish({ strike, isWithdrawn: false, isPending: false });
      else this.#onDidNarrow.fire(strike);
    }
  }

  #withdraw(strike: IStrike, reason: WithdrawalReason): void {
    if (this.#ledger.withdraw(strikeKey(strike)) !== undefined) this.#recordWithdrawal(strike, reason);
  }

  #recordWithdrawal(strike: IStrike, reason: WithdrawalReason): void {
    this.#logWithdrawal(strike, reason);
    this.#publish({ strike, isWithdrawn: true, isPending: false });
  }

  #logWithdrawal(strike: IStrike, reason: WithdrawalReason): void {
    this.#loggedQuarantines.delete(strike.fingerprint);
    this.#opts.logger.info("strike-withdrawn", {
      fingerprint: formatFingerprint(strike.fingerprint),
      backend: strike.backendId,
      reason,
    });
  }

  #publish(change: IStrikeChange): void {
    this.#report(change);
    this.#onDidChange.fire(change);
  }

  #report(change: IStrikeChange): void {
    this.#recentChanges.delete(strikeKey(change.strike));
    this.#recentChanges.set(strikeKey(change.strike), { change, atMs: this.#opts.now() });
  }

  /** Logs the first refusal because of a content or of a shared part of it since its last strike was withdrawn. */
  #logQuarantine(hash: bigint, strikes: readonly IStrike[], key?: IRequestKey): void {
    if (this.#loggedQuarantines.has(hash)) return;
    this.#loggedQuarantines.add(hash);
    this.#opts.logger.warn("request-quarantined", {
      fingerprint: key === undefined ? formatFingerprint(hash) : undefined,
      key: key === undefined ? undefined : formatKey(key),
      strikeLevel: key === undefined ? this.#ledger.levelOf(hash) : undefined,
      servers: strikes.map(serverKey),
    });
  }
}

/** Names a shared part and its value, for example "target:0123456789abcdef". */
function formatKey({ parts, hash }: IRequestKey): string {
  return `${formatParts(parts)}:${formatFingerprint(hash)}`;
}
