/** Permits to send requests to backend servers that state a limit, which holds for all instances together. */
import { Clock, Effect } from "effect";
import { Signal } from "../../base/common/signal.ts";
import { AcquirePermitRequestSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { create } from "@bufbuild/protobuf";
import type { IPermit } from "../../routing/common/send_rate_limiter.ts";
import { SendRateLimiter } from "../../routing/common/send_rate_limiter.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IServerRun } from "../../services/backends/common/leaving_servers.ts";
import type { IServerLimit, ServerLimits } from "../../services/backends/common/server_limits.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import { toLimitMessage } from "./limit_message.ts";
import type { OwnerCaller, TurnServiceClient } from "./owner_caller.ts";
import { toUsableLimit } from "./usable_messages.ts";

/** Time after which a permit that was not used, because the instance stood still, is void. */
const PERMIT_TTL_MS = 300;
/** Time for which the refusal of a permit is remembered, at most. */
const MAX_REFUSAL_TTL_MS = 5000;

/**
 * Part of a limit that all instances without the owner's response use together: the owner may still grant the
 * whole limit to those that reach it.
 */
const OWNERLESS_PART = 0.5;

/** The instance that grants the permits of a server. */
export interface IPermitOwner {
  /** Peer address of the owner of a server's limit; empty if none is known. */
  ownerOf(backendId: string): string;
  /** Number of instances that are known to this one, itself included. */
  readonly instanceCount: number;
}

/** What a request can expect of a limited server. */
export interface IPermitDecision {
  readonly isGranted: boolean;
  /** Time until the permit is valid, or until the next one may be available if none was granted, in ms. */
  readonly waitMs: number;
  /** Limit by which the permit was granted, in requests per second; undefined without a limit. */
  readonly perSecond?: number | undefined;
}

export interface IPermitClient {
  /** Acquires the permit to send one request. Servers without a limit always grant it at once. */
  acquire(backend: IBackendEntry, maxWaitMs: number): Effect.Effect<IPermitDecision>;
  /**
   * Waits until a permit of a server is valid. Returns false if it is void, because the server has lowered its limit
   * meanwhile or this instance stood still, so that another permit must be acquired.
   */
  awaitValid(backend: IBackendEntry, permit: IPermitDecision): Effect.Effect<boolean>;
  /** Whether a server is known to have no permit now. */
  isExhausted(backend: IBackendEntry): boolean;
}

export interface IPermitClientOptions {
  readonly limits: ServerLimits;
  /** Grants the permits of the servers that this instance owns. */
  readonly limiter: SendRateLimiter;
  readonly owners: IPermitOwner;
  readonly caller: OwnerCaller;
  readonly metrics: Metrics;
  /** Name of this instance. */
  readonly instance: string;
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

interface IRefusedPermit {
  readonly startedAtMs: number;
  /** Time at which the next permit becomes available, in ms of the clock. */
  readonly nextAtMs: number;
  /** Time before which a request that cannot wait does not ask again, in ms of the clock. */
  readonly askAgainAtMs: number;
}

const UNLIMITED: IPermitDecision = { isGranted: true, waitMs: 0 };

/**
 * Acquires permits from one owner for each server, so that what all instances send stays within the server's limit and
 * no instance keeps a share that others need. While the owner does not respond, each instance keeps to an equal
 * share of a part of the limit.
 */
export class PermitClient implements IPermitClient {
  readonly #opts: IPermitClientOptions;
  readonly #ownShare: SendRateLimiter;
  readonly #refused = new Map<string, IRefusedPermit>();
  /** Number of instances that competed for a server, as last reported by its owner. */
  readonly #askers = new Map<string, number>();

  /** Notified when the limit of any server changes. */
  readonly #changed = new Signal();

  constructor(opts: IPermitClientOptions) {
    this.#opts = opts;
    opts.limits.onDidChange(() => this.#changed.notify());
    this.#ownShare = new SendRateLimiter({ now: opts.now, firstDelay: opts.random });
  }

  isExhausted({ id, startedAtMs }: IBackendEntry): boolean {
    const { limits, now } = this.#opts;
    const refused = this.#refused.get(id);
    const isLimited = limits.perSecond({ backendId: id, startedAtMs }) !== undefined;
    return isLimited && refused?.startedAtMs === startedAtMs && refused.nextAtMs > now();
  }

  acquire({ id: backendId, startedAtMs }: IBackendEntry, maxWaitMs: number): Effect.Effect<IPermitDecision> {
    return Effect.gen({ self: this }, function* () {
      const run = { backendId, startedAtMs };
      const limit = this.#opts.limits.get(run);
      if (limit?.perSecond === undefined) return UNLIMITED;
      const knownWaitMs = this.#knownWaitMs(run, maxWaitMs);
      if (knownWaitMs > maxWaitMs) return { isGranted: false, waitMs: knownWaitMs };
      const permit = (yield* this.#askOwner(limit, maxWaitMs)) ?? this.#takeOwnShare(limit, maxWaitMs);
      const outcome = permit.isGranted ? "granted" : "refused";
      this.#opts.metrics.incrementCounter("send_permits", { outcome });
      if (permit.isGranted) this.#refused.delete(backendId);
      else this.#remember(run, permit);
      return { isGranted: permit.isGranted, waitMs: permit.waitMs, perSecond: limit.perSecond };
    });
  }

  awaitValid(
    { id: backendId, startedAtMs }: IBackendEntry,
    { waitMs, perSecond: grantedPerSecond = Infinity }: IPermitDecision,
  ): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { limits } = this.#opts;
      const isVoid = () => (limits.perSecond({ backendId, startedAtMs }) ?? Infinity) < grantedPerSecond;
      const validAtMs = (yield* Clock.currentTimeMillis) + waitMs;
      while (!isVoid()) {
        const now = yield* Clock.currentTimeMillis;
        if (now >= validAtMs) return now <= validAtMs + PERMIT_TTL_MS;
        yield* Effect.raceFirst(Effect.sleep(Math.ceil(validAtMs - now)), this.#changed.wait());
      }
      return false;
    });
  }

  remove({ id }: IBackendEntry): void {
    this.#refused.delete(id);
    this.#askers.delete(id);
  }

  /** Time until the owner may grant a permit, by its last refusal; 0 if it can be asked now. */
  #knownWaitMs({ backendId, startedAtMs }: IServerRun, maxWaitMs: number): number {
    const refused = this.#refused.get(backendId);
    if (refused?.startedAtMs !== startedAtMs) return 0;
    const readyAtMs = maxWaitMs > 0 ? refused.nextAtMs : refused.askAgainAtMs;
    return Math.max(0, readyAtMs - this.#opts.now());
  }

  #remember({ backendId, startedAtMs }: IServerRun, { waitMs, retryAfterMs }: IPermit): void {
    const now = this.#opts.now();
    this.#refused.set(backendId, {
      startedAtMs,
      nextAtMs: now + Math.min(MAX_REFUSAL_TTL_MS, waitMs),
      askAgainAtMs: now + Math.min(MAX_REFUSAL_TTL_MS, retryAfterMs),
    });
  }

  /** Returns undefined if no owner responds. */
  #askOwner(limit: IServerLimit, maxWaitMs: number): Effect.Effect<IPermit | undefined> {
    const { owners, caller, limiter, instance } = this.#opts;
    const { run, perSecond } = limit;
    return caller.askFirst([owners.ownerOf(run.backendId)], {
      here: () => limiter.acquire({ run, perSecond: perSecond!, instance, maxWaitMs }),
      there: (client, { signal }) => this.#callOwner(client, { limit, maxWaitMs, signal }),
    });
  }

  /** Returns undefined if the called instance does not own the limit any more. */
  async #callOwner(
    client: TurnServiceClient,
    { limit, maxWaitMs, signal }: { limit: IServerLimit; maxWaitMs: number; signal: AbortSignal },
  ): Promise<IPermit | undefined> {
    const { instance, limits } = this.#opts;
    const req = create(AcquirePermitRequestSchema, { instance, limit: toLimitMessage(limit), maxWaitMs });
    const res = await client.acquirePermit(req, { signal });
    if (!res.isOwner) return undefined;
    const newest = toUsableLimit(res.limit, this.#opts.now());
    if (newest !== undefined) limits.merge(newest);
    this.#askers.set(limit.run.backendId, res.askers);
    return res;
  }

  /** Grants a permit from an equal part of the limit, which needs no owner. */
  #takeOwnShare({ run, perSecond }: IServerLimit, maxWaitMs: number): IPermit {
    const { owners, instance } = this.#opts;
    const instances = Math.max(owners.instanceCount, this.#askers.get(run.backendId) ?? 1);
    const parts = instances / OWNERLESS_PART;
    return this.#ownShare.acquire({ run, perSecond: perSecond!, instance, parts, maxWaitMs });
  }
}
