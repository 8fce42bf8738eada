/** Decisions on allotments by the instance that owns them, or that decides in place of the owner. */
import { create } from "@bufbuild/protobuf";
import type {
  AcquireAllotmentRequest,
  AcquireAllotmentResponse,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { AllotmentSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IAllotmentGrant, IAllotmentQuestion } from "../../routing/common/allotment_limiter.ts";
import { AllotmentLimiter } from "../../routing/common/allotment_limiter.ts";
import { AskerActivity } from "../../routing/common/asker_activity.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { BoundedLabel } from "../../services/metrics/common/bounded_label.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { IOrganisation } from "../../services/organisations/common/organisation.ts";
import { fromProgressMessage } from "./allotment_message.ts";
import { isUsableAllotment } from "./usable_messages.ts";

/** Share of the rate that an instance grants in place of an owner that does not respond, but may still grant. */
const FALLBACK_SHARE = 0.5;
/** Part of the slack that a fallback instance may grant at once. */
const FALLBACK_SLACK_SHARE = 0.125;
/** Time after the last question at which a fallback instance forgets an organisation: longer than the change of an owner takes. */
const FALLBACK_TTL_MS = 10_000;
/** Interval at which the parts of the rate are computed, whose cost grows with the number of instances. */
const SHARES_INTERVAL_MS = 50;
/** Time for which further refusals of an organisation are not logged. */
const REFUSAL_LOG_INTERVAL_MS = 10_000;
/** Number of organisations that have their own metrics; further ones are counted together. */
const MAX_COUNTED_ORGANISATIONS = 256;

/** Longest part of a name that is logged; callers and other instances may send longer ones. */
const MAX_LOGGED_CHARS = 255;

export interface IAllotmentOwnerOptions {
  /** Time since which this instance owns an organisation's allotment, in ms of the clock; undefined if it does not. */
  readonly ownedSinceMs: (organisation: string) => number | undefined;
  /** The organisation as this instance's configuration states it; undefined if it states none of the name. */
  readonly organisation: (name: string) => IOrganisation | undefined;
  /** Version of that configuration. */
  readonly configurationVersion: () => number;
  /** Number of instances that are known to this one, itself included. */
  readonly instanceCount: () => number;
  readonly logger: ILogger;
  readonly metrics: Metrics;
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly slackRequests: number;
  /** Address at which peers reach this instance. */
  readonly address: string;
}

/** A question, and whether this instance is asked because the owner does not respond. */
export interface IOwnerDecisionInput extends Omit<IAllotmentQuestion, "accruesFromMs" | "rateShare"> {
  readonly isFallback: boolean;
  /** Peer address of the instance that asks. */
  readonly asker: string;
}

export class AllotmentOwner {
  readonly #opts: IAllotmentOwnerOptions;
  readonly #own: AllotmentLimiter;
  readonly #fallback: AllotmentLimiter;
  readonly #askers: AskerActivity;
  #sharesAtMs = -Infinity;
  #ownShare = 1;
  #fallbackShare = 0;
  readonly #loggedAtMs = new Map<string, number>();
  readonly #label = new BoundedLabel(MAX_COUNTED_ORGANISATIONS);

  constructor(opts: IAllotmentOwnerOptions) {
    this.#opts = opts;
    const { now, random, slackRequests } = opts;
    this.#askers = new AskerActivity(opts.address);
    this.#own = new AllotmentLimiter({ now, random, slackRequests, share: 1 });
    this.#fallback = new AllotmentLimiter({
      now,
      random,
      slackRequests,
      share: FALLBACK_SHARE,
      initialTokens: slackRequests * FALLBACK_SLACK_SHARE,
      retentionMs: FALLBACK_TTL_MS,
    });
  }

  /** Answers the question of another instance. */
  answer(req: AcquireAllotmentRequest): Partial<Omit<AcquireAllotmentResponse, "$typeName">> {
    const { organisation, allotment, programId, count, returned, isFallback } = req;
    if (!isUsableAllotment(allotment)) return { isOwner: false };
    const grant = this.decide({
      organisation,
      allotment,
      version: allotment.version,
      programId: programId === "" ? undefined : programId,
      progress: fromProgressMessage(req.progress),
      count,
      returned,
      isFallback,
      asker: req.instance,
    });
    if (grant === undefined) return { isOwner: false };
    const { granted, retryAfterMs, isLow, version } = grant;
    const { perSecond, burst } = grant.allotment;
    return {
      isOwner: true,
      granted,
      retryAfterMs,
      isLow,
      allotment: create(AllotmentSchema, { perSecond, burst, version }),
      instances: this.#opts.instanceCount(),
    };
  }

  /** Decides on requests of an organisation. Returns undefined if this instance does not own its allotment. */
  decide({ isFallback, asker, ...question }: IOwnerDecisionInput): IAllotmentGrant | undefined {
    const newest = this.#withNewestAllotment(question);
    const accruesFromMs = this.#opts.ownedSinceMs(question.organisation);
    // A fallback instance that has become the owner meanwhile decides as the owner.
    const isOwner = accruesFromMs !== undefined;
    if (!isOwner && !isFallback) return undefined;
    const now = this.#opts.now();
    this.#askers.record(asker, now);
    this.#updateShares(now);
    if (!isOwner && this.#fallbackShare === 0) return undefined;
    const grant = isOwner
      ? this.#own.acquire({ ...newest, accruesFromMs, rateShare: this.#ownShare })
      : this.#fallback.acquire({ ...newest, rateShare: this.#fallbackShare });
    this.#count(question, { grant, isOwner });
    if (grant.granted === 0) this.#logRefusal(question, { grant, isOwner });
    return grant;
  }

  /**
   * Updates the parts of the rate that this instance grants. As the owner it grants less if it no longer hears some of the
   * senders, for which a fallback instance may decide. As a fallback instance it grants less if it hears only a few
   * instances, as there may be others like it, and nothing if it hears no other instance.
   */
  #updateShares(now: number): void {
    if (now < this.#sharesAtMs + SHARES_INTERVAL_MS) return;
    this.#sharesAtMs = now;
    this.#ownShare = Math.max(1 - FALLBACK_SHARE, this.#askers.heardShare(now));
    const heard = this.#askers.heardCount(now);
    const heardShare = heard / this.#opts.instanceCount();
    this.#fallbackShare = heard === 1 ? 0 : Math.min(1, heardShare / FALLBACK_SHARE);
  }

  /** Replaces the sender's allotment by the one of this instance's configuration, if that is newer. */
  #withNewestAllotment<T extends Pick<IAllotmentQuestion, "organisation" | "allotment" | "version">>(
    question: T,
  ): T {
    const version = this.#opts.configurationVersion();
    if (version <= question.version) return question;
    const allotment = this.#opts.organisation(question.organisation)?.allotment;
    return allotment === undefined ? question : { ...question, allotment, version };
  }

  #count(
    { organisation, count }: Pick<IAllotmentQuestion, "organisation" | "count">,
    { grant, isOwner }: { grant: IAllotmentGrant; isOwner: boolean },
  ): void {
    const label = this.#label.labelOf(organisation);
    const outcome = grant.granted > 0 ? "granted" : "refused";
    const by = isOwner ? "owner" : "fallback";
    this.#opts.metrics.incrementCounter("allotment_requests", { organisation: label, outcome, by }, count);
  }

  /** Logs the first refusal of an organisation in each period. */
  #logRefusal(
    { organisation, programId, progress }: Omit<IAllotmentQuestion, "accruesFromMs">,
    { grant, isOwner }: { grant: IAllotmentGrant; isOwner: boolean },
  ): void {
    const now = this.#opts.now();
    if ((this.#loggedAtMs.get(organisation) ?? -Infinity) > now - REFUSAL_LOG_INTERVAL_MS) return;
    for (const [name, atMs] of this.#loggedAtMs) {
      if (atMs <= now - REFUSAL_LOG_INTERVAL_MS) this.#loggedAtMs.delete(name);
    }
    this.#loggedAtMs.set(organisation, now);
    const { allotment, version, level, activePrograms, retryAfterMs } = grant;
    this.#opts.logger.info("allotment-exhausted", {
      organisation: organisation.slice(0, MAX_LOGGED_CHARS),
      owner: this.#opts.address,
      isFallback: !isOwner,
      perSecond: allotment.perSecond,
      burst: allotment.burst,
      version,
      level: Math.round(level * 100) / 100,
      activePrograms,
      program: programId?.slice(0, MAX_LOGGED_CHARS),
      progress,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }
}
