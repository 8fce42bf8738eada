/** Finds out which software began a stream that a caller resumes at this instance. */
import { Deferred, Effect } from "effect";
import type { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { PeerRpcClients } from "../../membership/common/peer_client.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { IBegunStream, StreamOriginRegistry } from "./stream_origin_registry.ts";

/** Time limit for asking the other instances; a live one responds within a few milliseconds. */
const PEER_TIMEOUT_MS = 300;

/** Access to the origins of streams, whichever instance began them. */
export interface IStreamOriginFinder {
  /** Returns undefined if no instance that responds knows the stream. */
  find(attemptId: string): Effect.Effect<IBegunStream | undefined>;
}

export interface IStreamOriginFinderOptions {
  readonly registry: StreamOriginRegistry;
  readonly peers: PeerRpcClients<typeof TurnService>;
  /** Addresses of the other instances. */
  readonly peerAddresses: () => readonly string[];
  readonly logger: ILogger;
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

  find(attemptId: string): Effect.Effect<IBegunStream | undefined> {
    return Effect.suspend(() => {
      const known = this.#opts.registry.get(attemptId);
      return known === undefined ? this.#askPeers(attemptId) : Effect.succeed(known);
    });
  }

  /** Asks all peers. The first one that knows the stream ends the search, so that a lost one does not delay it. */
  #askPeers(attemptId: string): Effect.Effect<IBegunStream | undefined> {
    return Effect.gen({ self: this }, function* () {
      const { registry, peerAddresses } = this.#opts;
      const found = Deferred.makeUnsafe<void>();
      const ask = (address: string) =>
        Effect.map(this.#ask(address, attemptId), (stream) => {
          if (stream === undefined) return;
          registry.add(stream);
          Deferred.doneUnsafe(found, Effect.void);
        });
      const askAll = Effect.forEach(peerAddresses(), ask, { concurrency: "unbounded", discard: true });
      yield* Effect.raceFirst(askAll, Deferred.await(found));
      return registry.get(attemptId);
    });
  }

  #ask(address: string, attemptId: string): Effect.Effect<IBegunStream | undefined> {
    const call = this.#opts.peers.call(address, {
      timeoutMs: PEER_TIMEOUT_MS,
      invoke: (client, signal) => client.findStream({ attemptId }, { signal }),
    });
    return call.pipe(
      Effect.map(({ stream }) => stream),
      Effect.catchTag("PeerError", (err) => {
        this.#opts.logger.info("stream-lookup-failed", { peer: address, error: err.message });
        return Effect.succeed(undefined);
      }),
    );
  }
}
