/** Decides at the owner of an organisation's allotment which of its requests may run. */
import type { IAllotment } from "../../services/organisations/common/organisation.ts";
import { ProgramActivity } from "./program_activity.ts";

const MS_PER_SECOND = 1000;
/** Time after the last question at which the state of an organisation is discarded by default. */
const RETENTION_MS = 60_000;
/** Share of the slack that is added to the burst; the rest absorbs what two owners may grant at the same time. */
const BURST_SLACK_SHARE = 0.5;
/** Share of the burst, and of the slack, by which repeated requests may overdraw the bucket. */
const OVERDRAFT_BURST_SHARE = 0.05;
const OVERDRAFT_SLACK_SHARE = 0.125;
/** Many programs last longer than the mean; a multiple of it covers most. */
const DURATION_MARGIN = 2;
/** Part of the bucket that is kept for programs that have begun: their requests in this time, and at most this share. */
const RESERVE_S = 0.4;
const MAX_RESERVE_SHARE = 0.4;
/** Share of the capacity below which an organisation is near its allotment. */
const LOW_SHARE = 0.25;
/** Share of a token by which rounding errors may reduce a level. */
const ROUNDING_TOLERANCE = 1e-9;
/** Upper bound of the time to come back; later ones are spread over it. */
const MAX_RETRY_AFTER_MS = 5000;

/** What is known of the program that a request belongs to. */
export enum RequestProgress {
  /** The request may be the first of its program. */
  First = "first",
  /** The program has begun: the instance has sent requests of it before. */
  Continued = "continued",
  /** The request was sent before and may have run; it is sent once more. */
  Repeated = "repeated",
}

export interface IAllotmentQuestion {
  readonly organisation: string;
  readonly allotment: IAllotment;
  /** Version of the configuration that states the allotment. */
  readonly version: number;
  /** Undefined for a request that belongs to no program. */
  readonly programId: string | undefined;
  readonly progress: RequestProgress;
  /** Number of requests. */
  readonly count: number;
  /** Number of tokens that were granted earlier and have not been used. */
  readonly returned: number;
  /** Time since which tokens accrue, in ms of the clock; by default the time of the first question. */
  readonly accruesFromMs?: number | undefined;
  /** Share of the rate that this limiter grants for now; 1 by default. */
  readonly rateShare?: number;
}

export interface IAllotmentGrant {
  /** Number of requests that may run: the number in the question, or 0. */
  readonly granted: number;
  /** Time after which there will be capacity, in ms; 0 if granted. */
  readonly retryAfterMs: number;
  /** Whether the organisation is near its allotment. */
  readonly isLow: boolean;
  /** The allotment that the decision was based on, and the version of the configuration that states it. */
  readonly allotment: IAllotment;
  readonly version: number;
  /** Tokens in the bucket after the decision. */
  readonly level: number;
  readonly activePrograms: number;
}

export interface IAllotmentLimiterOptions {
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Number of requests by which the total of all instances may exceed the allotments. */
  readonly slackRequests: number;
  /** Share of the rate and the burst that this limiter grants. */
  readonly share: number;
  /** Number of tokens at the time from which tokens accrue; 0 by default. */
  readonly initialTokens?: number;
  /** Time after the last question at which the state of an organisation is discarded, in ms. */
  readonly retentionMs?: number;
}

interface IBucket {
  allotment: IAllotment;
  version: number;
  level: number;
  rateShare: number;
  updatedAtMs: number;
  askedAtMs: number;
  readonly accruesFromMs: number;
  readonly programs: ProgramActivity;
  /** Latest time at which a refused request was told to come back, in ms of the clock. */
  retryAtMs: number;
}

/**
 * Keeps a token bucket for each organisation. When the bucket runs low, requests of programs that have begun are
 * granted before the first request of a new program, and a new program begins only if the active ones leave it
 * enough of the rate. Designed for organisations that send several times their allotment in programs of about a
 * dozen requests: as many programs complete as the allotment covers, instead of all being refused somewhere in between.
 */
export class AllotmentLimiter {
  readonly #opts: IAllotmentLimiterOptions;
  readonly #buckets = new Map<string, IBucket>();
  #evictedAtMs = -Infinity;

  constructor(opts: IAllotmentLimiterOptions) {
    this.#opts = opts;
  }

  acquire(question: IAllotmentQuestion): IAllotmentGrant {
    const now = this.#opts.now();
    const bucket = this.#bucketOf(question, now);
    this.#refill(bucket, now);
    bucket.rateShare = question.rateShare ?? 1;
    bucket.level = Math.min(this.#capacityOf(bucket), bucket.level + question.returned);
    const { programId, count } = question;
    const required = count + this.#keptLevel(bucket, { question, now });
    const isGranted = bucket.level >= required - ROUNDING_TOLERANCE;
    if (isGranted) bucket.level -= count;
    const hasBegun = programId !== undefined &&
      (bucket.programs.hasBegun(programId, now) || question.progress !== RequestProgress.First);
    if (programId !== undefined && (isGranted || hasBegun)) {
      bucket.programs.record(programId, { isGranted, now });
    }
    const { allotment, version, level } = bucket;
    return {
      granted: isGranted ? count : 0,
      retryAfterMs: isGranted ? 0 : this.#retryAfterMs(bucket, { required, now }),
      isLow: level < this.#capacityOf(bucket) * LOW_SHARE,
      allotment,
      version,
      level,
      activePrograms: bucket.programs.activeCount(now),
    };
  }

  #bucketOf({ organisation, allotment, version, accruesFromMs }: IAllotmentQuestion, now: number): IBucket {
    this.#evict(now);
    const known = this.#buckets.get(organisation);
    if (known !== undefined && known.accruesFromMs >= (accruesFromMs ?? -Infinity)) {
      this.#applyVersion(known, { allotment, version, now });
      known.askedAtMs = now;
      return known;
    }
    const bucket: IBucket = {
      allotment,
      version,
      level: this.#opts.initialTokens ?? 0,
      rateShare: 1,
      updatedAtMs: accruesFromMs ?? now,
      askedAtMs: now,
      accruesFromMs: accruesFromMs ?? now,
      programs: new ProgramActivity(now),
      retryAtMs: now,
    };
    this.#buckets.set(organisation, bucket);
    return bucket;
  }

  /** Applies an allotment of a newer version at once. The bucket stays as full as it was, in proportion. */
  #applyVersion(
    bucket: IBucket,
    { allotment, version, now }: { allotment: IAllotment; version: number; now: number },
  ): void {
    if (version <= bucket.version) return;
    this.#refill(bucket, now);
    const former = this.#capacityOf(bucket);
    bucket.allotment = allotment;
    bucket.version = version;
    if (bucket.level > 0) bucket.level *= this.#capacityOf(bucket) / former;
  }

  #refill(bucket: IBucket, now: number): void {
    const elapsedS = Math.max(0, now - bucket.updatedAtMs) / MS_PER_SECOND;
    bucket.level = Math.min(this.#capacityOf(bucket), bucket.level + elapsedS * this.#rateOf(bucket));
    bucket.updatedAtMs = now;
  }

  #rateOf({ allotment, rateShare }: IBucket): number {
    return allotment.perSecond * this.#opts.share * rateShare;
  }

  #capacityOf({ allotment }: IBucket): number {
    const { slackRequests, share } = this.#opts;
    return Math.max(1, (allotment.burst + slackRequests * BURST_SLACK_SHARE) * share);
  }

  /** Number of tokens that must be left after a request is granted; negative if it may overdraw the bucket. */
  #keptLevel(bucket: IBucket, { question, now }: { question: IAllotmentQuestion; now: number }): number {
    const { programId, progress, count } = question;
    const { programs, allotment } = bucket;
    const { slackRequests, share } = this.#opts;
    if (progress === RequestProgress.Repeated) {
      const overdraft = allotment.burst * OVERDRAFT_BURST_SHARE + slackRequests * OVERDRAFT_SLACK_SHARE;
      return -overdraft * share;
    }
    if (progress === RequestProgress.Continued) return 0;
    if (programId !== undefined && programs.hasBegun(programId, now)) return 0;
    const active = programs.activeCount(now);
    const perProgram = programs.requestsPerSecond(now);
    const capacity = this.#capacityOf(bucket);
    const reserve = Math.min(capacity * MAX_RESERVE_SHARE, active * perProgram * RESERVE_S);
    if (programId === undefined) return reserve;
    // The bucket must cover what the active programs and the new one use beyond the rate until they end.
    const missing = Math.max(0, (active + 1) * perProgram - this.#rateOf(bucket)) * programs.durationS *
      DURATION_MARGIN;
    return Math.max(reserve, Math.min(missing, capacity) - count);
  }

  /** Time after which a refused request may come back. The times of several are spread by the rate. */
  #retryAfterMs(bucket: IBucket, { required, now }: { required: number; now: number }): number {
    const intervalMs = MS_PER_SECOND / this.#rateOf(bucket);
    const missing = Math.max(1, Math.min(required, this.#capacityOf(bucket)) - bucket.level);
    const earliestMs = Math.min(MAX_RETRY_AFTER_MS, missing * intervalMs);
    const retryAtMs = Math.max(now + earliestMs, bucket.retryAtMs + intervalMs);
    if (retryAtMs > now + MAX_RETRY_AFTER_MS) {
      return earliestMs + this.#opts.random() * (MAX_RETRY_AFTER_MS - earliestMs);
    }
    bucket.retryAtMs = retryAtMs;
    return retryAtMs - now;
  }

  /** Discards the states of organisations that have not asked lately; at most once a second. */
  #evict(now: number): void {
    if (now < this.#evictedAtMs + MS_PER_SECOND) return;
    this.#evictedAtMs = now;
    const oldestMs = now - (this.#opts.retentionMs ?? RETENTION_MS);
    for (const [organisation, { askedAtMs }] of this.#buckets) {
      if (askedAtMs < oldestMs) this.#buckets.delete(organisation);
    }
  }
}
