/**
 * Takes over the slices that a view assigns to this instance. A slice is ready once its previous owner
 * has reported which of its programs still have a call running, or can no longer dispatch calls.
 */
import type { Scope } from "effect";
import { Deferred, Effect, Option } from "effect";
import type { BusyProgram, ReleaseSlicesResponse } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { DaemonSettings } from "../../services/settings/common/gen/daemon_settings.ts";
import type { PeerClients } from "./peer_client.ts";
import type { IViewChange, View, ViewTracker } from "./view.ts";
import { isSameIncarnation } from "./view.ts";

const RELEASE_TIMEOUT_MS = 500;
const RELEASE_RETRY_INTERVAL_MS = 20;

/** Whether the previous owner of a slice took part in the handover. */
export enum HandoverKind {
  /** There was no previous owner, or it reported its running calls. */
  Clean = "clean",
  /** The previous owner left the view or did not respond, so the budget that it had reserved is unknown. */
  Unclean = "unclean",
}

/** Prepares newly assigned slices before they are served. */
export interface ISliceRecovery {
  /** Registers the calls that a previous owner is still running. */
  registerRunningCalls(owner: Member, busy: readonly BusyProgram[]): void;
  /** Restores the state of the slices' programs that the journal does not contain yet. */
  recover(slices: readonly number[], kind: HandoverKind): Effect.Effect<void>;
}

interface IOwnedSlice {
  readonly epoch: number;
  readonly ready: Deferred.Deferred<void>;
}

export interface ISliceHandoverOptions {
  readonly self: Member;
  readonly views: ViewTracker;
  readonly peers: PeerClients;
  readonly timing: DaemonSettings["timing"];
  /** Time since the last heartbeat of an incarnation of an instance, in ms. */
  readonly heartbeatAgeMs: (member: Member) => Effect.Effect<number>;
}

export class SliceHandover {
  readonly #opts: ISliceHandoverOptions;
  readonly #slices = new Map<number, IOwnedSlice>();

  constructor(opts: ISliceHandoverOptions) {
    this.#opts = opts;
  }

  /** Takes over slices at each view change until the scope ends. */
  start(recovery: ISliceRecovery): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      const context = yield* Effect.context<never>();
      this.#opts.views.onDidChangeView((change) => {
        const acquired = this.#updateOwnedSlices(change);
        Effect.runForkWith(context)(Effect.forkIn(this.#takeOver(change, { acquired, recovery }), scope));
      });
    });
  }

  /** Waits until a slice may be served. Returns false if this instance does not own it, or loses it first. */
  awaitReady(slice: number): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const entry = this.#slices.get(slice);
      if (entry === undefined) return false;
      yield* Deferred.await(entry.ready);
      return this.#slices.get(slice) === entry;
    });
  }

  /** Whether all slices that this instance owns are ready. */
  get isComplete(): boolean {
    return [...this.#slices.values()].every(({ ready }) => Deferred.isDoneUnsafe(ready));
  }

  /**
   * Updates the owned slices synchronously with the view change, so that no call is admitted before the
   * handover has begun. Returns the newly assigned slices.
   */
  #updateOwnedSlices({ previous, current }: IViewChange): number[] {
    const owned = new Set(current.slicesOf(this.#opts.self));
    for (const [slice, { ready }] of this.#slices) {
      if (owned.has(slice) && previous?.epochOf(slice) === current.epochOf(slice)) continue;
      this.#slices.delete(slice);
      // Wakes the callers that wait for a lost slice, so that they look up its new owner.
      Deferred.doneUnsafe(ready, Effect.void);
    }
    const acquired = [...owned].filter((slice) => previous?.epochOf(slice) !== current.epochOf(slice));
    for (const slice of acquired) {
      this.#slices.set(slice, { epoch: current.epochOf(slice), ready: Deferred.makeUnsafe<void>() });
    }
    return acquired;
  }

  #takeOver(
    { previous, current }: IViewChange,
    { acquired, recovery }: { acquired: readonly number[]; recovery: ISliceRecovery },
  ): Effect.Effect<void> {
    const groups = groupByOwner(acquired, previous);
    const handovers = [...groups].map(([owner, slices]) =>
      Effect.gen({ self: this }, function* () {
        const kind = yield* this.#awaitRelease(owner, { slices, current, recovery });
        yield* recovery.recover(slices, kind);
        for (const slice of slices) this.#markReady(slice, current);
      })
    );
    return Effect.asVoid(Effect.all(handovers, { concurrency: "unbounded" }));
  }

  #markReady(slice: number, view: View): void {
    const entry = this.#slices.get(slice);
    if (entry?.epoch === view.epochOf(slice)) Deferred.doneUnsafe(entry.ready, Effect.void);
  }

  /** Asks the previous owner for its running calls, or waits until its lease has expired. */
  #awaitRelease(
    owner: Member | undefined,
    request: { slices: readonly number[]; current: View; recovery: ISliceRecovery },
  ): Effect.Effect<HandoverKind> {
    return Effect.gen({ self: this }, function* () {
      if (owner === undefined) return HandoverKind.Clean;
      const leaseMs = this.#opts.timing.leaseMs;
      const isMember = request.current.members.some((member) => isSameIncarnation(member, owner));
      if (!isMember) {
        // An owner that can read the log sees the new view itself. For one that cannot, the time since its
        // last heartbeat counts towards the expiry of its lease.
        const heartbeatAgeMs = yield* this.#opts.heartbeatAgeMs(owner);
        yield* Effect.sleep(Math.max(0, leaseMs - heartbeatAgeMs));
        return HandoverKind.Unclean;
      }
      const timeoutMs = this.#opts.timing.failureTimeoutMs + leaseMs;
      const response = yield* Effect.timeoutOption(this.#requestRelease(owner, request), timeoutMs);
      if (Option.isNone(response)) return HandoverKind.Unclean;
      request.recovery.registerRunningCalls(owner, response.value.busy);
      return HandoverKind.Clean;
    });
  }

  /** Repeats the request until the owner has seen the view and responds. */
  #requestRelease(
    owner: Member,
    { slices, current }: { slices: readonly number[]; current: View },
  ): Effect.Effect<ReleaseSlicesResponse> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const call = this.#opts.peers.call(owner.peerAddress, {
          timeoutMs: RELEASE_TIMEOUT_MS,
          invoke: (client, signal) =>
            client.releaseSlices({ viewNumber: current.number, slices: [...slices] }, { signal }),
        });
        const res = yield* Effect.catch(call, () => Effect.succeed(undefined));
        if (res !== undefined && !res.behind) return res;
        yield* Effect.sleep(RELEASE_RETRY_INTERVAL_MS);
      }
    });
  }
}

function groupByOwner(
  slices: readonly number[],
  previous: View | undefined,
): Map<Member | undefined, number[]> {
  const groups = new Map<Member | undefined, number[]>();
  for (const slice of slices) {
    const owner = previous?.ownerOf(slice);
    groups.set(owner, [...groups.get(owner) ?? [], slice]);
  }
  return groups;
}
