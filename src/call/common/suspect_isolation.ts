/**
 * Isolates suspect requests, during which a backend server has crashed before. At most one of them runs on
 * an engine at a time across all instances, so that a crash is attributed only to the one that caused it.
 */
import { Clock, Effect } from "effect";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { PeerClients } from "../../membership/common/peer_client.ts";
import type { ViewTracker } from "../../membership/common/view.ts";
import { isSameIncarnation } from "../../membership/common/view.ts";

const GRANT_REQUEST_TIMEOUT_MS = 500;
const GRANT_RETRY_INTERVAL_MS = 50;
/** Time after which a grant expires if its holder does not release it. */
const GRANT_TTL_MS = 60_000;

export interface ISuspectIsolation {
  /** Runs work on an engine while no other suspect request runs there. */
  runIsolated<A, E>(engineId: string, work: Effect.Effect<A, E>): Effect.Effect<A, E>;
}

/** Acquires or releases the grant of an engine. */
export interface IGrantRequest {
  readonly engineId: string;
  /** Unique for each suspect request. */
  readonly holder: string;
}

interface IGrant {
  readonly holder: string;
  readonly expiresAtMs: number;
}

export interface ISuspectIsolationOptions {
  readonly self: Member;
  readonly views: ViewTracker;
  readonly peers: PeerClients;
}

/** One member of the current view issues the grants of an engine. Any instance can be that member. */
export class SuspectIsolation implements ISuspectIsolation {
  readonly #opts: ISuspectIsolationOptions;
  readonly #grants = new Map<string, IGrant>();
  #lastHolder = 0;

  constructor(opts: ISuspectIsolationOptions) {
    this.#opts = opts;
  }

  runIsolated<A, E>(engineId: string, work: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.suspend(() => {
      this.#lastHolder += 1;
      const req = { engineId, holder: `${this.#opts.self.incarnation}-${this.#lastHolder}` };
      return Effect.ensuring(Effect.andThen(this.#acquireEngine(req), work), this.#releaseEngine(req));
    });
  }

  /** Grants an engine to a holder unless another holder has an unexpired grant. */
  tryAcquire({ engineId, holder }: IGrantRequest): Effect.Effect<boolean> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      const current = this.#grants.get(engineId);
      if (current !== undefined && current.holder !== holder && current.expiresAtMs > now) return false;
      this.#grants.set(engineId, { holder, expiresAtMs: now + GRANT_TTL_MS });
      return true;
    });
  }

  /** Releases the grant of an engine if the holder has it. */
  release({ engineId, holder }: IGrantRequest): void {
    if (this.#grants.get(engineId)?.holder === holder) this.#grants.delete(engineId);
  }

  #acquireEngine(req: IGrantRequest): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!(yield* this.#requestGrant(req))) yield* Effect.sleep(GRANT_RETRY_INTERVAL_MS);
    });
  }

  #requestGrant(req: IGrantRequest): Effect.Effect<boolean> {
    const { self, peers } = this.#opts;
    const coordinator = this.#opts.views.current?.coordinatorFor(req.engineId);
    if (coordinator === undefined || isSameIncarnation(coordinator, self)) return this.tryAcquire(req);
    const response = peers.call(coordinator.peerAddress, {
      timeoutMs: GRANT_REQUEST_TIMEOUT_MS,
      invoke: (client, signal) => client.acquireEngine(req, { signal }),
    });
    return response.pipe(Effect.map(({ granted }) => granted), Effect.catch(() => Effect.succeed(false)));
  }

  #releaseEngine(req: IGrantRequest): Effect.Effect<void> {
    return Effect.suspend(() => {
      const { self, peers } = this.#opts;
      this.release(req);
      const coordinator = this.#opts.views.current?.coordinatorFor(req.engineId);
      if (coordinator === undefined || isSameIncarnation(coordinator, self)) return Effect.void;
      return Effect.ignore(peers.call(coordinator.peerAddress, {
        timeoutMs: GRANT_REQUEST_TIMEOUT_MS,
        invoke: (client, signal) => client.releaseEngine(req, { signal }),
      }));
    });
  }
}
