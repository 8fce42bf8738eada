/**
 * Runs requests under suspicion apart from each other: at most one on an engine at a time, on all
 * instances together, so that a crash condemns the request that caused it and no other.
 */
import { Clock, Effect } from "effect";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { PeerClients } from "../../membership/common/peer_client.ts";
import type { ViewTable } from "../../membership/common/view.ts";
import { isSameRun } from "../../membership/common/view.ts";

const ASK_TIMEOUT_MS = 500;
const ASK_RETRY_MS = 50;
/** Time after which a grant lapses, should its holder not give it back. */
const GRANT_LIFETIME_MS = 60_000;

export interface ISuspectIsolation {
  /** Runs work on an engine while no other request under suspicion runs there. */
  runApart<A, E>(engineId: string, work: Effect.Effect<A, E>): Effect.Effect<A, E>;
}

/** Asks for an engine, or gives it back. */
export interface IGrantRequest {
  readonly engineId: string;
  /** Unique for each request under suspicion. */
  readonly holder: string;
}

interface IGrant {
  readonly holder: string;
  readonly lapsesAtMs: number;
}

export interface ISuspectIsolationOptions {
  readonly self: Member;
  readonly views: ViewTable;
  readonly peers: PeerClients;
}

/** Each engine has one member of the view that grants it; every instance can be that member. */
export class SuspectIsolation implements ISuspectIsolation {
  readonly #opts: ISuspectIsolationOptions;
  readonly #grants = new Map<string, IGrant>();
  #lastHolder = 0;

  constructor(opts: ISuspectIsolationOptions) {
    this.#opts = opts;
  }

  runApart<A, E>(engineId: string, work: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.suspend(() => {
      this.#lastHolder += 1;
      const req = { engineId, holder: `${this.#opts.self.incarnation}-${this.#lastHolder}` };
      return Effect.ensuring(Effect.andThen(this.#acquire(req), work), this.#release(req));
    });
  }

  /** Grants an engine to a holder, if nobody else has it. */
  grant({ engineId, holder }: IGrantRequest): Effect.Effect<boolean> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      const held = this.#grants.get(engineId);
      if (held !== undefined && held.holder !== holder && held.lapsesAtMs > now) return false;
      this.#grants.set(engineId, { holder, lapsesAtMs: now + GRANT_LIFETIME_MS });
      return true;
    });
  }

  /** Takes a grant back. */
  withdraw({ engineId, holder }: IGrantRequest): void {
    if (this.#grants.get(engineId)?.holder === holder) this.#grants.delete(engineId);
  }

  #acquire(req: IGrantRequest): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!(yield* this.#ask(req))) yield* Effect.sleep(ASK_RETRY_MS);
    });
  }

  #ask(req: IGrantRequest): Effect.Effect<boolean> {
    const { self, peers } = this.#opts;
    const granter = this.#opts.views.current?.actorFor(req.engineId);
    if (granter === undefined || isSameRun(granter, self)) return this.grant(req);
    const answer = peers.call(granter.peerAddress, {
      timeoutMs: ASK_TIMEOUT_MS,
      invoke: (client, signal) => client.acquireEngine(req, { signal }),
    });
    return answer.pipe(Effect.map(({ granted }) => granted), Effect.catch(() => Effect.succeed(false)));
  }

  #release(req: IGrantRequest): Effect.Effect<void> {
    return Effect.suspend(() => {
      const { self, peers } = this.#opts;
      this.withdraw(req);
      const granter = this.#opts.views.current?.actorFor(req.engineId);
      if (granter === undefined || isSameRun(granter, self)) return Effect.void;
      return Effect.ignore(peers.call(granter.peerAddress, {
        timeoutMs: ASK_TIMEOUT_MS,
        invoke: (client, signal) => client.releaseEngine(req, { signal }),
      }));
    });
  }
}
