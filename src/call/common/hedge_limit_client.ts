/** Questions for hedged requests, whose number is limited over all instances together. */
import { Effect, Fiber } from "effect";
import type { HedgeLimiter, IHedgeQuestion } from "../../routing/common/hedge_limiter.ts";
import { HedgeDenial } from "../../routing/common/hedging_policy.ts";
import type { OwnerCaller, TurnServiceClient } from "./owner_caller.ts";

/** The right to send one hedged request. */
export interface IHedgeToken {
  readonly service: string;
  /** Peer address of the instance that granted it. */
  readonly grantedBy: string;
}

export interface IHedgeLimitClient {
  /** Records a first send to a service, which earns a part of a hedged request. */
  recordSend(service: string): void;
  /** Acquires the right to send one hedged request; returns the reason if there is none. */
  acquire(service: string): Effect.Effect<IHedgeToken | HedgeDenial>;
  /** Returns a right that was not used, with the next question to the instance that granted it. */
  refund(token: IHedgeToken): void;
}

/** Decides on the services whose slice this instance owns. */
export class HedgeLimitOwner {
  readonly #limiter: HedgeLimiter;
  readonly #ownedSinceMs: (service: string) => number | undefined;

  /** `ownedSinceMs` returns the start of this instance's ownership of a service, in ms; undefined if it has none. */
  constructor(limiter: HedgeLimiter, ownedSinceMs: (service: string) => number | undefined) {
    this.#limiter = limiter;
    this.#ownedSinceMs = ownedSinceMs;
  }

  /** Whether a hedged request is granted. Returns undefined if this instance does not own the service. */
  decide(question: Omit<IHedgeQuestion, "ownedSinceMs">): boolean | undefined {
    const ownedSinceMs = this.#ownedSinceMs(question.service);
    return ownedSinceMs === undefined ? undefined : this.#limiter.acquire({ ...question, ownedSinceMs });
  }
}

export interface IHedgeLimitClientOptions {
  readonly owner: HedgeLimitOwner;
  /** Peer address of the owner of a service; empty if none is known. */
  readonly ownerOf: (service: string) => string;
  readonly caller: OwnerCaller;
  /** Address at which peers reach this instance. */
  readonly address: string;
  /** Unix time of this instance's start, in ms. */
  readonly startedAtMs: number;
}

interface IServiceCounts {
  sends: number;
  /** `sends` of the last answered question. */
  answeredSends: number;
  /** Rights that were not used, by the address of the instance that granted them. */
  readonly returned: Map<string, number>;
}

interface IAnswer {
  readonly isGranted: boolean;
  readonly decidedBy: string;
}

/** Asks the one owner of each service; there is no fallback, since hedged requests can be done without. */
export class HedgeLimitClient implements IHedgeLimitClient {
  readonly #opts: IHedgeLimitClientOptions;
  readonly #services = new Map<string, IServiceCounts>();

  constructor(opts: IHedgeLimitClientOptions) {
    this.#opts = opts;
  }

  recordSend(service: string): void {
    this.#countsOf(service).sends += 1;
  }

  acquire(service: string): Effect.Effect<IHedgeToken | HedgeDenial> {
    return Effect.gen({ self: this }, function* () {
      let isAbandoned = false;
      let granted: IHedgeToken | undefined;
      const question = Effect.map(this.#ask(service), (answer) => {
        if (answer === undefined) return HedgeDenial.Owner;
        if (!answer.isGranted) return HedgeDenial.Limit;
        granted = { service, grantedBy: answer.decidedBy };
        if (isAbandoned) this.refund(granted);
        return granted;
      });
      // A question that has been sent is completed, so that what it grants can be returned.
      const asking = yield* Effect.forkDetach(question);
      return yield* Effect.onInterrupt(Fiber.join(asking), () =>
        Effect.sync(() => {
          isAbandoned = true;
          if (granted !== undefined) this.refund(granted);
        }));
    });
  }

  refund({ service, grantedBy }: IHedgeToken): void {
    const { returned } = this.#countsOf(service);
    returned.set(grantedBy, (returned.get(grantedBy) ?? 0) + 1);
  }

  #ask(service: string): Effect.Effect<IAnswer | undefined> {
    const { address, caller, owner, ownerOf } = this.#opts;
    return caller.askFirst([ownerOf(service)], {
      here: () => {
        const question = this.#takeQuestion(service, address);
        return this.#recordAnswer(question, { isGranted: owner.decide(question), decidedBy: address });
      },
      there: async (client, { address: decidedBy, signal }) => {
        const question = this.#takeQuestion(service, decidedBy);
        const isGranted = await this.#askOther(client, { question, signal });
        return this.#recordAnswer(question, { isGranted, decidedBy });
      },
    });
  }

  /** Returns undefined if the called instance does not own the service any more. */
  async #askOther(
    client: TurnServiceClient,
    { question, signal }: { question: Omit<IHedgeQuestion, "ownedSinceMs">; signal: AbortSignal },
  ): Promise<boolean | undefined> {
    const { asker: instance, ...counts } = question;
    const { isOwner, isGranted } = await client.acquireHedge({ instance, ...counts }, { signal });
    return isOwner ? isGranted : undefined;
  }

  /** The returned rights are taken out: if the question is lost, they are lost too, which keeps the limit. */
  #takeQuestion(service: string, address: string): Omit<IHedgeQuestion, "ownedSinceMs"> {
    const { sends, answeredSends, returned } = this.#countsOf(service);
    const question = { service, sends, answeredSends, returned: returned.get(address) ?? 0 };
    // Rights of an earlier owner are void.
    returned.clear();
    return { ...question, asker: this.#opts.address, startedAtMs: this.#opts.startedAtMs };
  }

  #recordAnswer(
    { service, sends }: Omit<IHedgeQuestion, "ownedSinceMs">,
    { isGranted, decidedBy }: { isGranted: boolean | undefined; decidedBy: string },
  ): IAnswer | undefined {
    if (isGranted === undefined) return undefined;
    const counts = this.#countsOf(service);
    counts.answeredSends = Math.max(counts.answeredSends, sends);
    return { isGranted, decidedBy };
  }

  #countsOf(service: string): IServiceCounts {
    let counts = this.#services.get(service);
    if (counts === undefined) {
      counts = { sends: 0, answeredSends: 0, returned: new Map() };
      this.#services.set(service, counts);
    }
    return counts;
  }
}
