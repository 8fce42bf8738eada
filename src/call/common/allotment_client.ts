/** Tokens for the requests of organisations whose number is limited over all instances together. */
import { create } from "@bufbuild/protobuf";
import { Effect } from "effect";
import {
  AcquireAllotmentRequestSchema,
  AllotmentSchema,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { hash64 } from "../../base/common/hash.ts";
import { RequestProgress } from "../../routing/common/allotment_limiter.ts";
import type { AllotmentShare } from "../../routing/common/allotment_share.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { IOrganisation } from "../../services/organisations/common/organisation.ts";
import type { AllotmentOwner, IOwnerDecisionInput } from "./allotment_owner.ts";
import { toProgressMessage } from "./allotment_message.ts";
import type { OwnerCaller, TurnServiceClient } from "./owner_caller.ts";

/** Number of instances that are asked one after the other if the owner does not respond. */
const MAX_FALLBACKS = 2;
/** Time after its last request at which a program is forgotten. */
const PROGRAM_TTL_MS = 60_000;
/** Number of programs that are remembered. */
const MAX_PROGRAMS = 50_000;
/** Time for which unused tokens are kept for the next message to the instance that granted them. */
const RETURN_TTL_MS = 5000;
/** Time for which the statement counts that an organisation is near its allotment. */
const LOW_TTL_MS = 1000;
/** Time after which a refused request may come back if no other instance responds. */
const OWN_RETRY_AFTER_MS = 1000;

/** The instances that decide on an allotment. */
export interface IAllotmentOwners {
  /** Peer address of the owner of an organisation's allotment; empty if none is known. */
  ownerOf(organisation: string): string;
  /** Peer addresses of all owners of slices, this instance included if it is one. */
  readonly addresses: readonly string[];
  /** Number of instances that are known to this one, itself included. */
  readonly instanceCount: number;
}

/** One request that an organisation's allotment must cover. */
export interface IAllotmentRequest {
  readonly organisation: IOrganisation;
  /** Version of the configuration that states the organisation. */
  readonly version: number;
  readonly programId: string | undefined;
  readonly progress: RequestProgress;
}

/** Decision on one request, and the token if it was granted. */
export interface IAllotmentDecision {
  readonly isGranted: boolean;
  /** Time after which there will be capacity, in ms; 0 if granted. */
  readonly retryAfterMs: number;
  readonly organisation: string;
  /** Peer address of the instance that decided; empty if this one did without the others. */
  readonly decidedBy: string;
  /** Requests per second of the allotment that the decision was based on. */
  readonly perSecond: number;
  /** Version of the configuration that states it. */
  readonly version: number;
}

export interface IAllotmentClient {
  /** Acquires the token for sending one request. Returns undefined if the organisation has no allotment. */
  acquire(req: IAllotmentRequest): Effect.Effect<IAllotmentDecision | undefined>;
  /** Returns a token that was not used, with the next message to the instance that granted it. */
  giveBack(token: IAllotmentDecision): void;
  /** Whether an organisation is known to be near its allotment. */
  isLow(organisation: IOrganisation): boolean;
}

export interface IAllotmentClientOptions {
  readonly owner: AllotmentOwner;
  readonly owners: IAllotmentOwners;
  /** Decides while no other instance responds. */
  readonly share: AllotmentShare;
  readonly caller: OwnerCaller;
  readonly metrics: Metrics;
  readonly now: () => number;
  /** Address at which peers reach this instance. */
  readonly address: string;
}

interface IReturnedTokens {
  count: number;
  lastAtMs: number;
}

/**
 * Acquires tokens from one owner for each organisation. While the owner does not respond, other instances decide in
 * an order that all instances agree on, and finally each instance with a share of its own.
 */
export class AllotmentClient implements IAllotmentClient {
  readonly #opts: IAllotmentClientOptions;
  /** Unused tokens by organisation and the address of the instance that granted them. */
  readonly #returned = new Map<string, IReturnedTokens>();
  /** Time of the last granted request of each program, least recent first. */
  readonly #programs = new Map<string, number>();
  readonly #lowUntilMs = new Map<string, number>();
  /** Number of instances as last reported by an owner, which receives the reports of all. */
  #reportedInstances = 1;

  constructor(opts: IAllotmentClientOptions) {
    this.#opts = opts;
  }

  acquire(req: IAllotmentRequest): Effect.Effect<IAllotmentDecision | undefined> {
    return Effect.gen({ self: this }, function* () {
      const { organisation: { name, allotment }, version, programId } = req;
      if (allotment === undefined) return undefined;
      const question: Omit<IOwnerDecisionInput, "returned" | "isFallback" | "asker"> = {
        organisation: name,
        allotment,
        version,
        programId,
        progress: this.#progressOf(req),
        count: 1,
      };
      const asked = yield* this.#opts.caller.askFirst(this.#decidersOf(name), {
        here: (position) => this.#decideHere(question, position),
        there: (client, { position, signal, address }) =>
          this.#askOther(client, { question, position, signal, address }),
      });
      const decision = asked ?? this.#decideAlone(req);
      if (decision.isGranted && programId !== undefined) this.#recordProgram(keyOf(name, programId));
      return decision;
    });
  }

  giveBack({ organisation, decidedBy }: IAllotmentDecision): void {
    if (decidedBy === "") return;
    const key = keyOf(organisation, decidedBy);
    const returned = this.#returned.get(key) ?? { count: 0, lastAtMs: 0 };
    returned.count += 1;
    returned.lastAtMs = this.#opts.now();
    this.#returned.set(key, returned);
  }

  isLow({ name, allotment }: IOrganisation): boolean {
    return allotment !== undefined && (this.#lowUntilMs.get(name) ?? -Infinity) > this.#opts.now();
  }

  /** Addresses of the owner and of the fallback instances, in the order in which they are asked. */
  *#decidersOf(organisation: string): Generator<string> {
    const { owners } = this.#opts;
    const owner = owners.ownerOf(organisation);
    yield owner;
    // Computed only if the owner does not respond.
    const others = owners.addresses.filter((address) => address !== owner)
      .map((address) => ({ address, rank: hash64(keyOf(organisation, address)) }))
      .sort((a, b) => a.rank < b.rank ? 1 : -1);
    for (const { address } of others.slice(0, MAX_FALLBACKS)) yield address;
  }

  /** A program that this instance has granted requests of has begun, also for an owner that is new. */
  #progressOf({ organisation, programId, progress }: IAllotmentRequest): RequestProgress {
    if (progress !== RequestProgress.First || programId === undefined) return progress;
    const lastAtMs = this.#programs.get(keyOf(organisation.name, programId)) ?? -Infinity;
    return lastAtMs >= this.#opts.now() - PROGRAM_TTL_MS ? RequestProgress.Continued : progress;
  }

  #decideHere(
    question: Omit<IOwnerDecisionInput, "returned" | "isFallback" | "asker">,
    position: number,
  ): IAllotmentDecision | undefined {
    const { owner, address } = this.#opts;
    const { organisation } = question;
    const returned = this.#takeReturned(organisation, address);
    const grant = owner.decide({ ...question, returned, isFallback: position > 0, asker: address });
    if (grant === undefined) return undefined;
    this.#recordLevel(organisation, grant.isLow);
    return {
      isGranted: grant.granted > 0,
      retryAfterMs: grant.retryAfterMs,
      organisation,
      decidedBy: address,
      perSecond: grant.allotment.perSecond,
      version: grant.version,
    };
  }

  /** Returns undefined if the called instance does not own the allotment any more. */
  async #askOther(
    client: TurnServiceClient,
    { question, position, signal, address }: {
      question: Omit<IOwnerDecisionInput, "returned" | "isFallback" | "asker">;
      position: number;
      signal: AbortSignal;
      address: string;
    },
  ): Promise<IAllotmentDecision | undefined> {
    const { organisation, allotment, version, programId, progress, count } = question;
    const { perSecond, burst } = allotment;
    const req = create(AcquireAllotmentRequestSchema, {
      instance: this.#opts.address,
      organisation,
      allotment: create(AllotmentSchema, { perSecond, burst, version }),
      programId: programId ?? "",
      progress: toProgressMessage(progress),
      count,
      returned: this.#takeReturned(organisation, address),
      isFallback: position > 0,
    });
    const res = await client.acquireAllotment(req, { signal });
    if (!res.isOwner) return undefined;
    this.#reportedInstances = res.instances;
    this.#recordLevel(organisation, res.isLow);
    return {
      isGranted: res.granted > 0,
      retryAfterMs: res.retryAfterMs,
      organisation,
      decidedBy: address,
      perSecond: res.allotment?.perSecond ?? perSecond,
      version: res.allotment?.version ?? version,
    };
  }

  #decideAlone({ organisation: { name, allotment }, version }: IAllotmentRequest): IAllotmentDecision {
    const { share, owners, metrics } = this.#opts;
    const instances = Math.max(owners.instanceCount, this.#reportedInstances);
    const isGranted = share.acquire(name, { allotment: allotment!, instances });
    const outcome = isGranted ? "granted" : "refused";
    metrics.incrementCounter("allotment_requests_without_owner", { outcome });
    this.#recordLevel(name, true);
    return {
      isGranted,
      retryAfterMs: isGranted ? 0 : OWN_RETRY_AFTER_MS,
      organisation: name,
      decidedBy: "",
      perSecond: allotment!.perSecond,
      version,
    };
  }

  #takeReturned(organisation: string, address: string): number {
    const key = keyOf(organisation, address);
    const returned = this.#returned.get(key);
    if (returned === undefined) return 0;
    this.#returned.delete(key);
    return returned.lastAtMs >= this.#opts.now() - RETURN_TTL_MS ? returned.count : 0;
  }

  #recordLevel(organisation: string, isLow: boolean): void {
    if (isLow) this.#lowUntilMs.set(organisation, this.#opts.now() + LOW_TTL_MS);
    else this.#lowUntilMs.delete(organisation);
  }

  #recordProgram(key: string): void {
    const now = this.#opts.now();
    this.#programs.delete(key);
    this.#programs.set(key, now);
    for (const [program, atMs] of this.#programs) {
      if (this.#programs.size <= MAX_PROGRAMS && atMs >= now - PROGRAM_TTL_MS) return;
      this.#programs.delete(program);
    }
  }
}

function keyOf(organisation: string, name: string): string {
  return `${organisation}\u0000${name}`;
}
