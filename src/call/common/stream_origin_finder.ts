/** Finds out which software began a stream that a caller resumes at this instance. */
import { Deferred, Effect } from "effect";
import type { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { PeerRpcClients } from "../../membership/common/peer_client.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { IResumedStream, IStreamOrigin } from "./stream_origin.ts";
import type { IBegunStream, StreamOriginRegistry } from "./stream_origin_registry.ts";

/** Time limit for asking the other instances; a live one responds within a few milliseconds. */
const PEER_TIMEOUT_MS = 300;

/** Access to the origins of streams, whichever instance began them. */
export interface IStreamOriginFinder {
  /**
   * Returns undefined if no instance that responds knows the stream, if it is ambiguous, or if the caller names no attempt
   * and a newer try than those that are known may have been lost with its instance.
   */
  find(resumed: IResumedStream): Effect.Effect<IStreamOrigin | undefined>;
  /** Returns the origin of the earlier tries of a request, as far as this instance knows; undefined if they differ. */
  findEarlier(contentKey: bigint): IStreamOrigin | undefined;
}

export interface IStreamOriginFinderOptions {
  readonly registry: StreamOriginRegistry;
  readonly peers: PeerRpcClients<typeof TurnService>;
  /** Addresses of the other instances. */
  readonly peerAddresses: () => readonly string[];
  readonly logger: ILogger;
}

/** What a peer knows of a stream. */
interface IPeerKnowledge {
  readonly streams: readonly IBegunStream[];
  /** Unix time in ms from which the peer knows all streams that any instance begins; `Infinity` if it does not say. */
  readonly completeSinceMs: number;
}

/**
 * Looks a stream up here, then at all other instances at once. Expected load pattern: an instance is lost, and
 * the callers of its streams return within milliseconds through the others, which know the streams from its reports.
 */
export class StreamOriginFinder implements IStreamOriginFinder {
  readonly #opts: IStreamOriginFinderOptions;

  constructor(opts: IStreamOriginFinderOptions) {
    this.#opts = opts;
  }

  find(resumed: IResumedStream): Effect.Effect<IStreamOrigin | undefined> {
    return Effect.suspend(() => {
      const { registry } = this.#opts;
      if (registry.isConclusive(resumed, registry.completeSinceMs)) {
        return Effect.succeed(registry.find(resumed));
      }
      return Effect.map(
        this.#askPeers(resumed),
        (isConclusive) => isConclusive ? registry.find(resumed) : undefined,
      );
    });
  }

  findEarlier(contentKey: bigint): IStreamOrigin | undefined {
    return this.#opts.registry.find({ attemptId: undefined, contentKey });
  }

  /**
   * Adds what the peers know, and returns whether one of them knows all tries that the caller may mean. The first one that
   * knows a named attempt ends the search, so that it waits for no lost peer.
   */
  #askPeers(resumed: IResumedStream): Effect.Effect<boolean> {
    const { registry, peerAddresses } = this.#opts;
    const found = Deferred.makeUnsafe<void>();
    let isConclusive = false;
    const ask = (address: string) =>
      Effect.map(this.#ask(address, resumed), ({ streams, completeSinceMs }) => {
        for (const stream of streams) registry.add(stream);
        isConclusive ||= registry.isConclusive(resumed, completeSinceMs);
        // Without a named attempt, each peer may know another try.
        if (streams.length > 0 && resumed.attemptId !== undefined) Deferred.doneUnsafe(found, Effect.void);
      });
    const askAll = Effect.forEach(peerAddresses(), ask, { concurrency: "unbounded", discard: true });
    return Effect.map(Effect.raceFirst(askAll, Deferred.await(found)), () => isConclusive);
  }

  #ask(
    address: string,
    { attemptId = "", contentKey }: IResumedStream,
  ): Effect.Effect<IPeerKnowledge> {
    const call = this.#opts.peers.call(address, {
      timeoutMs: PEER_TIMEOUT_MS,
      invoke: (client, signal) => client.findStream({ attemptId, contentKey }, { signal }),
    });
    return call.pipe(
      Effect.map(({ streams, completeSinceMs = Infinity }) => ({ streams, completeSinceMs })),
      Effect.catchTag("PeerError", (err) => {
        this.#opts.logger.info("stream-lookup-failed", { peer: address, error: err.message });
        return Effect.succeed({ streams: [], completeSinceMs: Infinity });
      }),
    );
  }
}
