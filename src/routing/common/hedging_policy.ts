/** Decides when a repeatable request is sent to a second server because the first one is slow. */
import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";
import { Emitter } from "../../base/common/emitter.ts";
import { hash64 } from "../../base/common/hash.ts";
import type { BackendLoadTracker } from "./backend_load_tracker.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";

/** Period of one histogram; the latencies of the current and the previous period are used. */
const PERIOD_MS = 10_000;
/** Number of samples below which the quantile of a route is not used. */
const MIN_SAMPLES = 50;
/** Number of samples that must be expected beyond the quantile. */
const MIN_SAMPLES_BEYOND = 2;
/** Validity of a computed delay. */
const DELAY_TTL_MS = 250;
/** Number of samples in one report; bounds the size of the datagram. */
const MAX_REPORTED_SAMPLES = 32;
const MAX_LATENCY_MS = 60_000;
/** Latencies are recorded in whole ms. */
const RESOLUTION_MS = 1;
const SIGNIFICANT_DIGITS = 2;

/** The gateway's settings of hedged requests. */
export interface IHedgingSettings {
  /** Hedged requests as a share of the sends of requests that may be hedged. */
  readonly maxExtraSends: number;
  readonly quantile: number;
  readonly minDelayMs: number;
  readonly maxUtilization: number;
  /** Hosts and path prefixes of the requests that may be hedged; empty for all. */
  readonly routes: readonly string[];
}

/** Why a request that was slow enough was not hedged. */
export enum HedgeDenial {
  FewSamples = "few-samples",
  /** The instance that keeps the limit does not respond or is not known. */
  Owner = "owner",
  /** The share of extra sends is used up. */
  Limit = "limit",
  /** The servers of the service are too busy. */
  Utilization = "utilization",
  /** No other server has a free slot and is not in back-off. */
  NoServer = "no-server",
  /** The second server grants no permit at once. */
  ServerLimit = "server-limit",
  /** The organisation's allotment is used up. */
  Allotment = "allotment",
  /** The request has come under suspicion of crashing servers. */
  Suspect = "suspect",
}

export interface IHedgingPolicy {
  /** Whether requests to a host and path may be hedged, by the settings. */
  includes(host: string, path: string): boolean;
  /** Records the latency of a first send, in ms; for a cancelled one the time until then. */
  recordLatency(route: string, latencyMs: number): void;
  /** Time after the first send at which a hedged request may be sent, in ms; undefined with too few samples. */
  delayMs(route: string): number | undefined;
  /** Whether the servers of a service are idle enough for hedged requests. */
  isIdleEnough(backends: readonly IBackendEntry[], loads: Pick<BackendLoadTracker, "running">): boolean;
}

/** Latency of one request, as instances report it to each other. */
export interface ILatencySample {
  /** Hash of the route's key. */
  readonly routeHash: bigint;
  readonly latencyMs: number;
}

interface IRouteLatencies {
  current: Histogram;
  previous: Histogram;
  delayMs: number | undefined;
  /** Time until which the delay is valid, in ms of the clock. */
  validUntilMs: number;
}

/**
 * Hedges after a quantile of the route's recent latency at all instances. Designed for three load patterns: a server
 * that pauses while the others are sound, where its requests go elsewhere after the usual time; a slow phase of all
 * servers, in which all requests become worth hedging at once and `HedgeLimiter` keeps the extra sends at the share;
 * and overload, in which nothing is hedged.
 */
export class HedgingPolicy implements IHedgingPolicy {
  readonly #settings: IHedgingSettings;
  readonly #now: () => number;
  /** Latencies by the hash of the route's key. */
  readonly #routes = new Map<bigint, IRouteLatencies>();
  /** Samples of this instance that no report contains yet, oldest first. */
  #unreported: ILatencySample[] = [];
  readonly #onDidDropSample = new Emitter<void>();
  /** A sample of this instance was too old to fit into the next report. */
  readonly onDidDropSample = this.#onDidDropSample.event;
  #periodEndsAtMs = 0;

  /** `now` returns the time in ms. */
  constructor(settings: IHedgingSettings, now: () => number) {
    this.#settings = settings;
    this.#now = now;
  }

  includes(host: string, path: string): boolean {
    const { routes } = this.#settings;
    return routes.length === 0 || routes.some((prefix) => `${host}${path}`.startsWith(prefix));
  }

  recordLatency(route: string, latencyMs: number): void {
    const sample = {
      routeHash: hash64(route),
      latencyMs: Math.min(MAX_LATENCY_MS, Math.max(0, Math.round(latencyMs))),
    };
    this.#add(sample);
    this.#unreported.push(sample);
    if (this.#unreported.length <= MAX_REPORTED_SAMPLES) return;
    this.#unreported.shift();
    this.#onDidDropSample.fire();
  }

  /** Returns the samples of this instance since the last call, for its next report. */
  takeUnreportedSamples(): ILatencySample[] {
    const samples = this.#unreported;
    this.#unreported = [];
    return samples;
  }

  /** Adds samples of another instance. */
  recordReportedSamples(samples: readonly ILatencySample[]): void {
    for (const sample of samples) this.#add(sample);
  }

  delayMs(route: string): number | undefined {
    this.#rotate();
    const latencies = this.#routes.get(hash64(route));
    if (latencies === undefined) return undefined;
    const now = this.#now();
    if (now >= latencies.validUntilMs) {
      latencies.delayMs = this.#computeDelayMs(latencies);
      latencies.validUntilMs = now + DELAY_TTL_MS;
    }
    return latencies.delayMs;
  }

  isIdleEnough(backends: readonly IBackendEntry[], loads: Pick<BackendLoadTracker, "running">): boolean {
    const slots = backends.reduce((sum, backend) => sum + backend.slots, 0);
    const running = backends.reduce((sum, { id }) => sum + loads.running(id), 0);
    return slots > 0 && running <= slots * this.#settings.maxUtilization;
  }

  #add({ routeHash, latencyMs }: ILatencySample): void {
    this.#rotate();
    let latencies = this.#routes.get(routeHash);
    if (latencies === undefined) {
      latencies = {
        current: makeHistogram(),
        previous: makeHistogram(),
        delayMs: undefined,
        validUntilMs: 0,
      };
      this.#routes.set(routeHash, latencies);
    }
    latencies.current.recordValue(Math.min(MAX_LATENCY_MS, latencyMs));
  }

  #computeDelayMs({ current, previous }: IRouteLatencies): number | undefined {
    const { quantile, minDelayMs } = this.#settings;
    const samples = current.totalCount + previous.totalCount;
    if (samples < MIN_SAMPLES || samples * (1 - quantile) < MIN_SAMPLES_BEYOND) return undefined;
    const recent = makeHistogram();
    recent.add(current);
    recent.add(previous);
    // Where most latencies are equal, the quantile is the usual latency itself, and half of the requests would reach it.
    return Math.max(minDelayMs, recent.getValueAtPercentile(quantile * 100) + RESOLUTION_MS);
  }

  /** Begins a new period if the current one has ended, and forgets routes without requests. */
  #rotate(): void {
    const now = this.#now();
    if (now < this.#periodEndsAtMs) return;
    const isPreviousRecent = now < this.#periodEndsAtMs + PERIOD_MS;
    this.#periodEndsAtMs = now + PERIOD_MS;
    for (const [route, latencies] of this.#routes) {
      if (!isPreviousRecent || latencies.current.totalCount === 0) {
        this.#routes.delete(route);
        continue;
      }
      const { current, previous } = latencies;
      previous.reset();
      latencies.previous = current;
      latencies.current = previous;
      latencies.validUntilMs = 0;
    }
  }
}

function makeHistogram(): Histogram {
  return build({
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}
