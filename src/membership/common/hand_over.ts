/**
 * Takes over slices that a view gives to this instance. A slice is ready once its earlier owner has
 * said which of its programs still have a call running, or can no longer dispatch.
 */
import type { Scope } from "effect";
import { Deferred, Effect, Option } from "effect";
import type { BusyProgram, ReleaseSlicesResponse } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { DaemonSettings } from "../../services/settings/common/gen/daemon_settings.ts";
import type { PeerClients } from "./peer_client.ts";
import type { IViewChange, View, ViewTable } from "./view.ts";
import { isSameRun } from "./view.ts";

const RELEASE_TIMEOUT_MS = 500;
const RELEASE_RETRY_MS = 20;

/** How a slice came to this instance. */
export enum Inheritance {
  /** No earlier owner, or one that handed over in person. */
  Clean = "clean",
  /** The earlier owner is gone; what it had reserved is unknown. */
  Unclean = "unclean",
}

/** Work to be done for a gained slice before it is served. */
export interface ISliceReceiver {
  /** Notes the calls that an earlier owner is still finishing. */
  expect(from: Member, busy: readonly BusyProgram[]): void;
  /** Brings in what is known of the slice's programs outside the journal. */
  recover(slices: readonly number[], inheritance: Inheritance): Effect.Effect<void>;
}

interface IGainedSlice {
  readonly epoch: number;
  readonly ready: Deferred.Deferred<void>;
}

export interface IHandOverOptions {
  readonly self: Member;
  readonly views: ViewTable;
  readonly peers: PeerClients;
  readonly timing: DaemonSettings["timing"];
  /** Time for which a run of an instance has been silent, in ms. */
  readonly silenceOf: (member: Member) => Effect.Effect<number>;
}

export class HandOver {
  readonly #opts: IHandOverOptions;
  readonly #slices = new Map<number, IGainedSlice>();

  constructor(opts: IHandOverOptions) {
    this.#opts = opts;
  }

  /** Follows the views until the scope ends. */
  start(receiver: ISliceReceiver): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      const context = yield* Effect.context<never>();
      this.#opts.views.onDidChangeView((change) => {
        const gained = this.#takeNote(change);
        Effect.runForkWith(context)(Effect.forkIn(this.#takeOver(change, { gained, receiver }), scope));
      });
    });
  }

  /** Waits until a slice may be served. Returns false if this instance does not own it. */
  awaitReady(slice: number): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const gained = this.#slices.get(slice);
      if (gained === undefined) return false;
      yield* Deferred.await(gained.ready);
      return this.#slices.get(slice) === gained;
    });
  }

  /** Whether all slices of this instance are served. */
  get isSettled(): boolean {
    return [...this.#slices.values()].every(({ ready }) => Deferred.isDoneUnsafe(ready));
  }

  /** Updates the owned slices at once, so that no call slips in between a view and its take-over. */
  #takeNote({ previous, current }: IViewChange): number[] {
    const owned = new Set(current.slicesOf(this.#opts.self));
    for (const [slice, { ready }] of this.#slices) {
      if (owned.has(slice) && previous?.epochOf(slice) === current.epochOf(slice)) continue;
      this.#slices.delete(slice);
      // Whoever waits for a slice that was lost again must look for its new owner.
      Deferred.doneUnsafe(ready, Effect.void);
    }
    const gained = [...owned].filter((slice) => previous?.epochOf(slice) !== current.epochOf(slice));
    for (const slice of gained) {
      this.#slices.set(slice, { epoch: current.epochOf(slice), ready: Deferred.makeUnsafe<void>() });
    }
    return gained;
  }

  #takeOver(
    { previous, current }: IViewChange,
    { gained, receiver }: { gained: readonly number[]; receiver: ISliceReceiver },
  ): Effect.Effect<void> {
    const groups = groupByOwner(gained, previous);
    const each = [...groups].map(([owner, slices]) =>
      Effect.gen({ self: this }, function* () {
        const inheritance = yield* this.#release(owner, { slices, current, receiver });
        yield* receiver.recover(slices, inheritance);
        for (const slice of slices) this.#markReady(slice, current);
      })
    );
    return Effect.asVoid(Effect.all(each, { concurrency: "unbounded" }));
  }

  #markReady(slice: number, view: View): void {
    const gained = this.#slices.get(slice);
    if (gained?.epoch === view.epochOf(slice)) Deferred.doneUnsafe(gained.ready, Effect.void);
  }

  /** Asks the earlier owner for its running calls, or waits until its lease has lapsed. */
  #release(
    owner: Member | undefined,
    ask: { slices: readonly number[]; current: View; receiver: ISliceReceiver },
  ): Effect.Effect<Inheritance> {
    return Effect.gen({ self: this }, function* () {
      if (owner === undefined) return Inheritance.Clean;
      const lapse = this.#opts.timing.leaseMs;
      const isMember = ask.current.members.some((member) => isSameRun(member, owner));
      if (!isMember) {
        // An owner that reads the log sees the view itself; one that does not has been silent since.
        const silentMs = yield* this.#opts.silenceOf(owner);
        yield* Effect.sleep(Math.max(0, lapse - silentMs));
        return Inheritance.Unclean;
      }
      const limit = this.#opts.timing.failureTimeoutMs + lapse;
      const answer = yield* Effect.timeoutOption(this.#askUntilAnswered(owner, ask), limit);
      if (Option.isNone(answer)) return Inheritance.Unclean;
      ask.receiver.expect(owner, answer.value.busy);
      return Inheritance.Clean;
    });
  }

  #askUntilAnswered(
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
        yield* Effect.sleep(RELEASE_RETRY_MS);
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
