/** Finds the instances that can forward requests. */
import { Clock, Effect } from "effect";
import type { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { PeerRpcClients } from "../../membership/common/peer_client.ts";
import type { IForwarderFinder } from "./forwarding_upstream.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { isUsablePeerAddress } from "./usable_messages.ts";

/** Interval between two questions for forwarders. */
const ASK_INTERVAL_MS = 1000;
const PEER_TIMEOUT_MS = 250;
/** Time for which what an owner has named counts. */
const NAMED_TTL_MS = 3000;

export interface IForwarderFinderOptions {
  readonly peers: PeerRpcClients<typeof TurnService>;
  /** Addresses of the instances that own slices. */
  readonly owners: () => readonly string[];
  /** Address at which peers reach this instance. */
  readonly address: string;
  readonly logger: ILogger;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Beside the owners of slices, which every instance knows, any instance can forward. An owner names some of those
 * that reach servers, as it receives the reports of all: the owners may all be in the same zone, or be few
 * for the number of instances that need them.
 */
export class ForwarderFinder implements IForwarderFinder {
  readonly #opts: IForwarderFinderOptions;
  #named: readonly string[] = [];
  #namedAtMs = -Infinity;
  #askedAtMs = -Infinity;

  constructor(opts: IForwarderFinderOptions) {
    this.#opts = opts;
  }

  /** Addresses of instances that may forward. Asks an owner first if the last answer is not recent. */
  find(): Effect.Effect<readonly string[]> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const owners = this.#opts.owners();
      if (now - this.#askedAtMs >= ASK_INTERVAL_MS && owners.length > 0) {
        this.#askedAtMs = now;
        yield* this.#ask(owners[Math.floor(this.#opts.random() * owners.length)]);
      }
      const named = (yield* Clock.currentTimeMillis) - this.#namedAtMs <= NAMED_TTL_MS ? this.#named : [];
      return [...new Set([...owners, ...named])].filter((address) => address !== this.#opts.address);
    });
  }

  #ask(owner: string): Effect.Effect<void> {
    const { peers, logger } = this.#opts;
    const call = peers.call(owner, {
      timeoutMs: PEER_TIMEOUT_MS,
      invoke: (client, signal) => client.findForwarders({}, { signal }),
    });
    const recorded = Effect.flatMap(call, ({ addresses }) =>
      Effect.map(Clock.currentTimeMillis, (now) => {
        this.#named = addresses.filter(isUsablePeerAddress);
        this.#namedAtMs = now;
      }));
    return recorded.pipe(
      Effect.catchTag(
        "PeerError",
        (err) => Effect.sync(() => logger.info("forwarders-unknown", { peer: owner, error: err.message })),
      ),
    );
  }
}
