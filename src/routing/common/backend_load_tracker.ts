/** Load, health and latency of backend servers as tracked by this instance. */
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IServerFailureRates } from "./server_failure_rates.ts";
import { ServerFailureRates } from "./server_failure_rates.ts";

/** Age at which another instance's load report expires; several consecutive reports were then lost. */
const PEER_REPORT_TTL_MS = 1500;
/** Back-off after the first failure of a server; doubled with each consecutive failure. */
const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 3000;
/** Weight of the newest sample in the moving average of a server's latency. */
const LATENCY_SMOOTHING = 0.2;

/** Requests that one instance is running on backend servers, by server id. */
export interface IInstanceLoadReport {
  readonly instance: string;
  readonly running: ReadonlyMap<string, number>;
}

interface IServerState {
  /** Requests of this instance running on the server. */
  running: number;
  failures: number;
  backoffUntilMs: number;
  /** Times of the last response head, and of the last request that was given up without one, in ms. */
  respondedAtMs: number;
  silenceRecordedAtMs: number;
  /** Moving average of the time per unit of work; undefined before the first sample. */
  unitLatencyMs: number | undefined;
}

interface IPeerReport extends IInstanceLoadReport {
  readonly receivedAtMs: number;
}

export class BackendLoadTracker {
  /** Share of its requests that each server fails, which back-off does not show once a single answer succeeds. */
  readonly failureRates: IServerFailureRates;
  readonly #now: () => number;
  readonly #servers = new Map<string, IServerState>();
  readonly #peerReports = new Map<string, IPeerReport>();

  constructor(now: () => number) {
    this.#now = now;
    this.failureRates = new ServerFailureRates(now);
  }

  /** Requests running on a server: those of this instance plus those last reported by other instances. */
  running(id: string): number {
    let sum = this.localRunning(id);
    const oldestMs = this.#now() - PEER_REPORT_TTL_MS;
    for (const { receivedAtMs, running } of this.#peerReports.values()) {
      if (receivedAtMs >= oldestMs) sum += running.get(id) ?? 0;
    }
    return sum;
  }

  /** Requests of this instance running on a server. */
  localRunning(id: string): number {
    return this.#servers.get(id)?.running ?? 0;
  }

  /** Whether other instances have recently reported requests on servers. */
  hasPeerLoad(): boolean {
    const oldestMs = this.#now() - PEER_REPORT_TTL_MS;
    for (const { receivedAtMs, running } of this.#peerReports.values()) {
      if (receivedAtMs >= oldestMs && running.size > 0) return true;
    }
    return false;
  }

  /** Load on servers from this instance's own requests, to be reported to the other instances. */
  localLoads(): Map<string, number> {
    const loads = new Map<string, number>();
    for (const [id, { running }] of this.#servers) if (running > 0) loads.set(id, running);
    return loads;
  }

  recordPeerReport(report: IInstanceLoadReport): void {
    this.#peerReports.set(report.instance, { ...report, receivedAtMs: this.#now() });
  }

  /** Replaces the reports of all other instances by one that contains the loads of all. */
  replacePeerReports(report: IInstanceLoadReport): void {
    this.#peerReports.clear();
    this.recordPeerReport(report);
  }

  removePeerReport(instance: string): void {
    this.#peerReports.delete(instance);
  }

  recordRequestStart(id: string): void {
    this.#state(id).running += 1;
  }

  recordRequestEnd(id: string): void {
    const state = this.#state(id);
    state.running = Math.max(0, state.running - 1);
  }

  /** Records a response of any status, which shows that the server is reachable. */
  recordResponse(id: string): void {
    const state = this.#state(id);
    state.failures = 0;
    state.backoffUntilMs = 0;
    state.respondedAtMs = this.#now();
  }

  /**
   * Records that a request was given up on a server that had been silent since a time in ms, and returns whether that is a
   * further failure of the server. All requests that wait during one silence show the same one: a sound server that pauses
   * for a second would otherwise count as failing for half a minute.
   */
  recordSilence(id: string, sinceMs: number): boolean {
    const state = this.#state(id);
    const { silenceRecordedAtMs, respondedAtMs } = state;
    if (silenceRecordedAtMs >= sinceMs && respondedAtMs < silenceRecordedAtMs) return false;
    state.silenceRecordedAtMs = this.#now();
    return true;
  }

  /** Records that a server dropped or refused a connection or timed out. */
  recordFailure(id: string): void {
    const state = this.#state(id);
    state.failures += 1;
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (state.failures - 1));
    state.backoffUntilMs = this.#now() + backoffMs;
  }

  /** Ends the back-off of all servers and forgets their failures, which were due to the links of this instance. */
  clearFailures(): void {
    this.failureRates.clear();
    for (const state of this.#servers.values()) {
      state.failures = 0;
      state.backoffUntilMs = 0;
    }
  }

  /** Records the time per unit of work: a token for an engine, a request for a plain service. */
  recordUnitLatency(id: string, latencyMs: number): void {
    const state = this.#state(id);
    state.unitLatencyMs = state.unitLatencyMs === undefined
      ? latencyMs
      : state.unitLatencyMs + (latencyMs - state.unitLatencyMs) * LATENCY_SMOOTHING;
  }

  unitLatencyMs(id: string): number | undefined {
    return this.#servers.get(id)?.unitLatencyMs;
  }

  isInBackoff(id: string): boolean {
    return (this.#servers.get(id)?.backoffUntilMs ?? 0) > this.#now();
  }

  /** Clock time in ms at which a server's back-off ends; 0 if its last request did not fail. */
  backoffUntilMs(id: string): number {
    return this.#servers.get(id)?.backoffUntilMs ?? 0;
  }

  remove(server: IBackendEntry): void {
    this.#servers.delete(server.id);
    this.failureRates.remove(server);
  }

  #state(id: string): IServerState {
    let state = this.#servers.get(id);
    if (state === undefined) {
      state = {
        running: 0,
        failures: 0,
        backoffUntilMs: 0,
        respondedAtMs: -Infinity,
        silenceRecordedAtMs: -Infinity,
        unitLatencyMs: undefined,
      };
      this.#servers.set(id, state);
    }
    return state;
  }
}
