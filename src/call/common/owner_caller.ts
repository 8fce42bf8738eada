/** Questions to the instances that own a limit: their time limit, back-off and order. */
import type { Client } from "@connectrpc/connect";
import { Clock, Effect } from "effect";
import type { PeerError } from "../../base/common/errors.ts";
import type { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { PeerRpcClients } from "../../membership/common/peer_client.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";

/** Time limit for the owner of a limit; a live one responds within a few milliseconds. */
const OWNER_TIMEOUT_MS = 250;
/** Time after a failure for which an instance is not asked again. Then one question finds out whether it responds. */
const OWNER_BACKOFF_MS = 1000;

export type TurnServiceClient = Client<typeof TurnService>;

export interface ICallContext {
  /** Peer address of the instance that is asked. */
  readonly address: string;
  /** Its position in the order in which instances are asked; 0 is the owner. */
  readonly position: number;
  readonly signal: AbortSignal;
}

export interface IOwnerQuestion<T> {
  /** Decides on this instance. */
  readonly here: (position: number) => T | undefined;
  /** Asks another instance. Returns undefined if it does not decide. */
  readonly there: (client: TurnServiceClient, context: ICallContext) => Promise<T | undefined>;
}

export interface IOwnerCallerOptions {
  readonly peers: PeerRpcClients<typeof TurnService>;
  readonly logger: ILogger;
  /** Address at which peers reach this instance. */
  readonly address: string;
}

/** Asks the instances that may decide on a limit, one after the other, and skips those that do not respond. */
export class OwnerCaller {
  readonly #opts: IOwnerCallerOptions;
  /** Time until which an instance is not asked after a failure, by peer address. */
  readonly #lostUntilMs = new Map<string, number>();

  constructor(opts: IOwnerCallerOptions) {
    this.#opts = opts;
  }

  /** Returns the first decision; undefined if none of the instances decides. Empty addresses are skipped. */
  askFirst<T>(addresses: Iterable<string>, question: IOwnerQuestion<T>): Effect.Effect<T | undefined> {
    return Effect.gen({ self: this }, function* () {
      let position = -1;
      for (const address of addresses) {
        position += 1;
        const decision = address === this.#opts.address
          ? question.here(position)
          : yield* this.#ask(address, { question, position });
        if (decision !== undefined) return decision;
      }
      return undefined;
    });
  }

  #ask<T>(
    address: string,
    { question, position }: { question: IOwnerQuestion<T>; position: number },
  ): Effect.Effect<T | undefined> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const lostUntilMs = this.#lostUntilMs.get(address) ?? 0;
      if (address === "" || lostUntilMs > now) return undefined;
      if (lostUntilMs > 0) this.#lostUntilMs.set(address, now + OWNER_BACKOFF_MS);
      const call = this.#opts.peers.call(address, {
        timeoutMs: OWNER_TIMEOUT_MS,
        invoke: (client, signal) => question.there(client, { address, position, signal }),
      });
      const responded = Effect.map(call, (decision) => {
        if (this.#lostUntilMs.delete(address)) {
          this.#opts.logger.info("permit-owner-regained", { owner: address });
        }
        return decision;
      });
      return yield* Effect.catchTag(responded, "PeerError", (err) => this.#recordLost(address, err));
    });
  }

  #recordLost(address: string, err: PeerError): Effect.Effect<undefined> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      if (!this.#lostUntilMs.has(address)) {
        this.#opts.logger.warn("permit-owner-lost", { owner: address, error: err.message });
      }
      this.#lostUntilMs.set(address, now + OWNER_BACKOFF_MS);
      return undefined;
    });
  }
}
