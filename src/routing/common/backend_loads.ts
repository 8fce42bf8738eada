/** What this instance knows of the load and the health of backend servers. */
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";

/** Age from which another instance's report of its load no longer counts, in ms: several reports missed. */
const DIGEST_LIFETIME_MS = 1500;
/** Pause of a server after a first failure, in ms; doubled with each further one. */
const FIRST_PAUSE_MS = 200;
const MAX_PAUSE_MS = 3000;
/** Weight of the newest observation in the smoothed pace of a server. */
const SMOOTHING = 0.2;

/** Load that one instance puts on servers, by their identity. */
export interface ILoadReport {
  readonly instance: string;
  readonly running: ReadonlyMap<string, number>;
}

interface IServerState {
  /** Requests of this instance that the server has. */
  running: number;
  failures: number;
  pausedUntilMs: number;
  /** Smoothed time of a unit of work, in ms; undefined before the first observation. */
  paceMs: number | undefined;
}

interface IPeerReport extends ILoadReport {
  readonly receivedAtMs: number;
}

export class BackendLoads {
  readonly #now: () => number;
  readonly #servers = new Map<string, IServerState>();
  readonly #reports = new Map<string, IPeerReport>();

  constructor(now: () => number) {
    this.#now = now;
  }

  /** Requests on a server: those of this instance, and those that the others reported last. */
  running(id: string): number {
    let sum = this.#servers.get(id)?.running ?? 0;
    const oldest = this.#now() - DIGEST_LIFETIME_MS;
    for (const { receivedAtMs, running } of this.#reports.values()) {
      if (receivedAtMs >= oldest) sum += running.get(id) ?? 0;
    }
    return sum;
  }

  /** Load of this instance alone, for the others. */
  own(): Map<string, number> {
    const loads = new Map<string, number>();
    for (const [id, { running }] of this.#servers) if (running > 0) loads.set(id, running);
    return loads;
  }

  noteReport(report: ILoadReport): void {
    this.#reports.set(report.instance, { ...report, receivedAtMs: this.#now() });
  }

  noteStart(id: string): void {
    this.#state(id).running += 1;
  }

  noteEnd(id: string): void {
    const state = this.#state(id);
    state.running = Math.max(0, state.running - 1);
  }

  /** Notes an answer of any kind: the server is there. */
  noteAnswer(id: string): void {
    const state = this.#state(id);
    state.failures = 0;
    state.pausedUntilMs = 0;
  }

  /** Notes that a server broke off, refused a connection or kept silent. */
  noteFailure(id: string): void {
    const state = this.#state(id);
    state.failures += 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (state.failures - 1));
    state.pausedUntilMs = this.#now() + pauseMs;
  }

  /** Notes how long a unit of work took: a token of an engine, a request of a plain service. */
  notePace(id: string, paceMs: number): void {
    const state = this.#state(id);
    state.paceMs = state.paceMs === undefined ? paceMs : state.paceMs + (paceMs - state.paceMs) * SMOOTHING;
  }

  paceMs(id: string): number | undefined {
    return this.#servers.get(id)?.paceMs;
  }

  isPaused(id: string): boolean {
    return (this.#servers.get(id)?.pausedUntilMs ?? 0) > this.#now();
  }

  /** When a paused server may be tried again, in ms of the clock. */
  pausedUntilMs(id: string): number {
    return this.#servers.get(id)?.pausedUntilMs ?? 0;
  }

  forget({ id }: IBackendEntry): void {
    this.#servers.delete(id);
  }

  #state(id: string): IServerState {
    let state = this.#servers.get(id);
    if (state === undefined) {
      state = { running: 0, failures: 0, pausedUntilMs: 0, paceMs: undefined };
      this.#servers.set(id, state);
    }
    return state;
  }
}
